// Package weightstore is a fake of the rate-limited store of model weights.
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

// Switches holds the settings that can be changed while the store runs.
type Switches struct {
	// BytesPerSecond is the total read rate, which all readers share.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Objects maps each model to the size of its weights in bytes.
	Objects map[string]int64 `json:"objects"`
	// Outage aborts every connection. Delay is added to the time of every call.
	Outage bool            `json:"outage"`
	Delay  server.Duration `json:"delay"`
}

// Counters are totals since New.
type Counters struct {
	Reads int64 `json:"reads"`
	// MaxReaders is the maximum number of reads that ran at once.
	MaxReaders int64 `json:"max_readers"`
}

// Store is the fake weight store. Its methods are safe for concurrent use.
type Store struct {
	mu            sync.Mutex
	switches      Switches
	counters      Counters
	activeReaders int64
	limiter       *rate.Limiter
}

// New returns a store with the given switches.
func New(s Switches) (*Store, error) {
	store := &Store{}
	return store, store.SetSwitches(s)
}

// Switches returns the current switches.
func (s *Store) Switches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// SetSwitches replaces the switches. New reads use the new rate.
func (s *Store) SetSwitches(switches Switches) error {
	if switches.BytesPerSecond <= 0 {
		return errors.New("bytes_per_second must be positive")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
	s.limiter = rate.NewLimiter(rate.Limit(switches.BytesPerSecond), int(max(1, switches.BytesPerSecond/10)))
	return nil
}

// Counters returns a copy of the counters.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Handler returns the store's HTTP API, including the control endpoint. Reads are
// simulated: POST /weights/{model}/read transfers no weights and responds after
// the time that the transfer would take at the shared rate.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}", s.withObject(func(w http.ResponseWriter, _ *http.Request, model string, bytes int64) {
		server.WriteJSON(w, map[string]any{"model": model, "bytes": bytes})
	}))
	mux.HandleFunc("POST /weights/{model}/read", s.withObject(s.readHandler))
	mux.HandleFunc("GET /rate", func(w http.ResponseWriter, r *http.Request) {
		switches := s.simulateFaults(r)
		server.WriteJSON(w, map[string]int64{"bytes_per_second": switches.BytesPerSecond})
	})
	control := server.ControlHandler(s.Switches, s.SetSwitches)
	mux.HandleFunc("GET /control", control)
	mux.HandleFunc("POST /control", control)
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) { server.WriteJSON(w, s.Counters()) })
	return mux
}

// simulateFaults simulates an outage or delay and returns the current switches.
func (s *Store) simulateFaults(r *http.Request) Switches {
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

// withObject wraps a handler with the switches and the lookup of the model's
// weights.
func (s *Store) withObject(handle func(http.ResponseWriter, *http.Request, string, int64)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		model := r.PathValue("model")
		bytes, ok := s.simulateFaults(r).Objects[model]
		if !ok {
			http.Error(w, "unknown model", http.StatusNotFound)
			return
		}
		handle(w, r, model, bytes)
	}
}

func (s *Store) readHandler(w http.ResponseWriter, r *http.Request, _ string, bytes int64) {
	s.mu.Lock()
	s.counters.Reads++
	s.activeReaders++
	s.counters.MaxReaders = max(s.counters.MaxReaders, s.activeReaders)
	limiter := s.limiter
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeReaders--
	}()
	if waitForTransfer(r.Context(), limiter, bytes) != nil {
		panic(server.ErrAbortConnection)
	}
	server.WriteJSON(w, struct{}{})
}

// waitForTransfer waits for the time that a read of some bytes takes.
func waitForTransfer(ctx context.Context, limiter *rate.Limiter, bytes int64) error {
	for bytes > 0 {
		chunk := min(bytes, int64(limiter.Burst()))
		if err := limiter.WaitN(ctx, int(chunk)); err != nil {
			return err
		}
		bytes -= chunk
	}
	return nil
}
