package storewatch

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	fake "siskinstand.example/fakes/platform"
	"siskinstand.example/platform"
)

// countingSink counts the calls and changes that it receives, and keeps the refused parts.
type countingSink struct {
	mu        sync.Mutex
	snapshots int
	changes   int
	failures  int
	parts     map[uint64]bool
}

func (s *countingSink) ApplySnapshot(ctx context.Context, list []platform.Change, asOf time.Duration) error {
	s.mu.Lock()
	s.snapshots++
	s.mu.Unlock()
	return s.ApplyChanges(ctx, list, asOf)
}

func (s *countingSink) ApplyChanges(_ context.Context, list []platform.Change, _ time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes += len(list)
	for _, c := range list {
		if c.Kind == platform.ChangeCrashPart {
			if s.parts == nil {
				s.parts = map[uint64]bool{}
			}
			s.parts[c.CrashPart.Part] = !c.Deleted
		}
	}
	return nil
}

func (s *countingSink) RecordStoreFailure(context.Context, error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	return nil
}

func (s *countingSink) counts() (snapshots, changes, failures int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshots, s.changes, s.failures
}

func newTestWatcher(t *testing.T, c Config) (*Watcher, *fake.Store, *countingSink) {
	t.Helper()
	store := fake.NewStore()
	t.Cleanup(store.Close)
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	sink := &countingSink{}
	c.Store = platform.NewStore(platform.StoreConfig{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: time.Second})
	t.Cleanup(c.Store.Close)
	c.Sink, c.Name, c.LeaseTime = sink, "edge-1", time.Second
	c.Peer = platform.Peer{Address: "127.0.0.1:1"}
	return New(c), store, sink
}

func TestBusyStoreAtStartup(t *testing.T) {
	// Guards against overloading the store when all hosts restart: a refused page must not make a host read
	// everything again.
	w, store, sink := newTestWatcher(t, Config{MaxWatchWait: 100 * time.Millisecond})
	for i := range 20 {
		store.Put(fmt.Sprintf("%si-%d", fake.ReplicaPrefix, i), map[string]any{"backend": "app"})
	}
	store.LimitCalls(3)
	time.AfterFunc(200*time.Millisecond, func() { store.LimitCalls(1 << 20) })
	revision, err := w.readAll(t.Context())
	if err != nil || revision == 0 {
		t.Fatalf("readAll = %d, %v", revision, err)
	}
	if snapshots, changes, _ := sink.counts(); snapshots != 1 || changes != 20 {
		t.Errorf("%d full reads with %d changes, want 1 with 20", snapshots, changes)
	}
	// 4 pages, and up to 4 calls refused within 0.2 s.
	if n := store.Calls("/siskinstand/kv-range"); n > 4+4 {
		t.Errorf("%d calls, want at most 8, since no page is read twice", n)
	}
}

func TestWatchOutgrowsLimit(t *testing.T) {
	// Guards against a host that asks for the same changes again and again after it has missed more of them than it can
	// read: it used an old configuration until the store had dropped its history.
	w, store, sink := newTestWatcher(t, Config{MaxWatchWait: 100 * time.Millisecond})
	// The response is prepared, because encoding that many changes takes seconds beside other work.
	tooLong := append([]byte(`{"current_rev":99,"events":[`), bytes.Repeat([]byte(" "), 9<<20)...)
	var isBehind atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if isBehind.Load() && r.URL.Path == "/siskinstand/kv-watch" {
			_, _ = rw.Write(tooLong) // the client closes the connection at its limit
			return
		}
		store.ServeHTTP(rw, r)
	}))
	t.Cleanup(server.CloseClientConnections)
	w.config.Store = platform.NewStore(platform.StoreConfig{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: time.Second})
	t.Cleanup(w.config.Store.Close)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	if !waitUntil(time.Second, func() bool { snapshots, _, _ := sink.counts(); return snapshots == 1 }) {
		t.Fatal("no full read")
	}
	isBehind.Store(true)
	store.Put("op/other", "changed")
	if !waitUntil(2*time.Second, func() bool { snapshots, _, _ := sink.counts(); return snapshots > 1 }) {
		t.Error("no full read within 2s, although the response to the watch is too long")
	}
	if _, _, failures := sink.counts(); failures > 0 {
		t.Errorf("%d failures of the store recorded, want none", failures)
	}
}

func TestWatchDelayGrowsWithHosts(t *testing.T) {
	// Guards against a number of watch calls that grows with the square of the number of hosts, since each change of
	// one host's entry completes the watches of all hosts.
	tests := map[string]struct {
		hosts int
		at    time.Duration
		want  time.Duration
	}{
		"few":             {5, time.Minute, 250 * time.Millisecond},
		"few, just read":  {5, 500 * time.Millisecond, 30 * time.Millisecond},
		"many, just read": {100, 500 * time.Millisecond, 200 * time.Millisecond},
		"design size":     {378, time.Minute, 756 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := New(Config{ReadsPerSecond: 2000})
			for i := range tc.hosts {
				w.hosts[fmt.Sprint(i)] = platform.Peer{}
			}
			if got := w.watchDelay(tc.at); got != tc.want {
				t.Errorf("watchDelay with %d hosts = %v, want %v", tc.hosts, got, tc.want)
			}
		})
	}
}

func TestWatchDelayWithFollowers(t *testing.T) {
	// Guards against a delay that grows with hosts that do not watch the store: with 378 hosts, a replica that left was
	// known 0.75 s later, beside the time for which its entry may be missing.
	for name, tc := range map[string]struct {
		cores float64
		want  time.Duration
	}{
		"watches for its zone":          {8, 250 * time.Millisecond},
		"has lost the hosts it follows": {0.1, 756 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(Config{ReadsPerSecond: 2000, Name: "0", Peer: platform.Peer{Zone: "z0", Cores: tc.cores}, Following: Following{Watchers: 2}})
			for i := range 378 {
				w.hosts[fmt.Sprint(i)] = platform.Peer{Zone: fmt.Sprintf("z%d", i%10), Cores: 1}
			}
			w.hosts["0"] = w.config.Peer
			if got := w.watchDelay(time.Minute); got != tc.want {
				t.Errorf("watchDelay = %v, want %v", got, tc.want)
			}
		})
	}
}
