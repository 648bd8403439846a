package weightstore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"siskinstand.example/adapters/weightstore"
	fake "siskinstand.example/fakes/weightstore"
)

// Guards against wrong values from the adapter, and against failures that it
// reports as valid responses.
func TestAdapter(t *testing.T) {
	ctx := context.Background()
	store, err := fake.New(fake.Switches{BytesPerSecond: 1000, Objects: map[string]int64{"a/b m": 500, "empty": 0}})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(store.Handler())
	defer s.Close()
	adapter := weightstore.NewClient(s.URL, weightstore.DefaultLimits())
	if object, err := adapter.Stat(ctx, "a/b m"); err != nil || object != (weightstore.Object{Model: "a/b m", Bytes: 500}) {
		t.Fatalf("got %+v, %v; want model a/b m with 500 bytes", object, err)
	}
	if _, err := adapter.Stat(ctx, "other"); !errors.Is(err, weightstore.ErrNotFound) {
		t.Fatalf("got error %v, want ErrNotFound", err)
	}
	if _, err := adapter.Stat(ctx, "empty"); !errors.Is(err, weightstore.ErrInvalidResponse) {
		t.Fatalf("got error %v, want ErrInvalidResponse", err)
	}
	if perSecond, err := adapter.ReadRateLimit(ctx); err != nil || perSecond != 1000 {
		t.Fatalf("got %d, %v; want 1000", perSecond, err)
	}
	_ = store.SetSwitches(fake.Switches{BytesPerSecond: 1, Outage: true})
	if _, err := adapter.ReadRateLimit(ctx); err == nil {
		t.Fatal("no error during an outage, want one")
	}
}

// Guards against a rate limit that applies to each reader instead of to all
// readers together.
func TestReadersShareTheRate(t *testing.T) {
	store, _ := fake.New(fake.Switches{BytesPerSecond: 1000, Objects: map[string]int64{"m": 300}})
	s := httptest.NewServer(store.Handler())
	defer s.Close()
	start := time.Now()
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			response, err := http.Post(s.URL+"/weights/m/read", "", nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("read failed: %v", err)
			}
		})
	}
	group.Wait()
	// The two reads take 600 bytes at 1000 bytes per second, of which a burst of 100
	// is immediate.
	if took := time.Since(start); took < 450*time.Millisecond {
		t.Errorf("two reads took %s, want at least 450ms", took)
	}
}
