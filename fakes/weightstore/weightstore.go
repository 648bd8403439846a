// Package weightstore is a small fake of the rate-limited store of model
// weights.
package weightstore

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"siskinstand.example/fakes/server"
)

// Switches is the behaviour that can change while the store runs.
type Switches struct {
	// BytesPerSecond is the rate that all readers share.
	BytesPerSecond int64            `json:"bytes_per_second"`
	Objects        map[string]int64 `json:"objects"`
	Outage         bool             `json:"outage"`
	Delay          server.Duration  `json:"delay"`
}

// Counters is the number of reads of weights.
type Counters struct {
	Reads int64 `json:"reads"`
	// MaxReaders is the most reads that ran at once.
	MaxReaders int64 `json:"max_readers"`
}

// Store is the fake. Its methods are safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	switches Switches
	counters Counters
	readers  int64
	shared   *rate.Limiter
}

// New returns a store.
func New(s Switches) (*Store, error) {
	store := &Store{}
	return store, store.Set(s)
}

// Switches returns the switches in force.
func (s *Store) Switches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// Set changes the switches.
func (s *Store) Set(switches Switches) error {
	if switches.BytesPerSecond <= 0 {
		return errors.New("bytes_per_second must be positive")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
	s.shared = rate.NewLimiter(rate.Limit(switches.BytesPerSecond), int(max(1, switches.BytesPerSecond/10)))
	return nil
}

// Counters returns a copy of the counters.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Handler returns the store's HTTP interface with its control endpoint. A read
// is simulated: POST /weights/{model}/read answers when the shared rate would
// have carried the weights.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}", s.available(func(w http.ResponseWriter, _ *http.Request, model string, bytes int64) {
		server.WriteJSON(w, map[string]any{"model": model, "bytes": bytes})
	}))
	mux.HandleFunc("POST /weights/{model}/read", s.available(s.read))
	mux.HandleFunc("GET /rate", func(w http.ResponseWriter, r *http.Request) {
		switches := s.slowed(r)
		server.WriteJSON(w, map[string]int64{"bytes_per_second": switches.BytesPerSecond})
	})
	control := server.ControlHandler(s.Switches, s.Set)
	mux.HandleFunc("GET /control", control)
	mux.HandleFunc("POST /control", control)
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) { server.WriteJSON(w, s.Counters()) })
	return mux
}

// slowed applies the switches that concern every call.
func (s *Store) slowed(r *http.Request) Switches {
	switches := s.Switches()
	if switches.Outage {
		panic(server.ErrAbortConnection)
	}
	select {
	case <-r.Context().Done():
		panic(server.ErrAbortConnection)
	case <-time.After(time.Duration(switches.Delay)):
	}
	return switches
}

func (s *Store) available(handle func(http.ResponseWriter, *http.Request, string, int64)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		model := r.PathValue("model")
		bytes, ok := s.slowed(r).Objects[model]
		if !ok {
			http.Error(w, "unknown model", http.StatusNotFound)
			return
		}
		handle(w, r, model, bytes)
	}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, _ string, bytes int64) {
	s.mu.Lock()
	s.counters.Reads++
	s.readers++
	s.counters.MaxReaders = max(s.counters.MaxReaders, s.readers)
	shared := s.shared
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.readers--
	}()
	if transfer(r.Context(), shared, bytes) != nil {
		panic(server.ErrAbortConnection)
	}
	server.WriteJSON(w, struct{}{})
}

func transfer(ctx context.Context, shared *rate.Limiter, bytes int64) error {
	for bytes > 0 {
		part := min(bytes, int64(shared.Burst()))
		if err := shared.WaitN(ctx, int(part)); err != nil {
			return err
		}
		bytes -= part
	}
	return nil
}
