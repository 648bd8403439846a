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

// Guards against wrong values, and against failures taken for an answer.
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
		t.Fatalf("got %+v, %v", object, err)
	}
	if _, err := adapter.Stat(ctx, "other"); !errors.Is(err, weightstore.ErrNotFound) {
		t.Fatalf("got %v", err)
	}
	if _, err := adapter.Stat(ctx, "empty"); !errors.Is(err, weightstore.ErrInvalidResponse) {
		t.Fatalf("got %v", err)
	}
	if perSecond, err := adapter.ReadRateLimit(ctx); err != nil || perSecond != 1000 {
		t.Fatalf("got %d, %v", perSecond, err)
	}
	_ = store.Set(fake.Switches{BytesPerSecond: 1, Outage: true})
	if _, err := adapter.ReadRateLimit(ctx); err == nil {
		t.Fatal("no error in an outage")
	}
}

// Guards against readers that each get the whole rate.
func TestReadersShareTheRate(t *testing.T) {
	store, _ := fake.New(fake.Switches{BytesPerSecond: 1000, Objects: map[string]int64{"m": 300}})
	s := httptest.NewServer(store.Handler())
	defer s.Close()
	begin := time.Now()
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
	// 600 bytes at 1000 a second, of which a burst of 100 is immediate.
	if took := time.Since(begin); took < 450*time.Millisecond {
		t.Errorf("two reads took %s", took)
	}
}
