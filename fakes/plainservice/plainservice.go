// Package plainservice is a small fake of a plain service whose calls must not
// be repeated. It counts the runs of each idempotency key.
package plainservice

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinstand.example/fakes/server"
)

// Switches is the behaviour that can change while the service runs.
type Switches struct {
	// RunTime is how long each call takes.
	RunTime server.Duration `json:"run_time"`
	// BreakBefore and BreakAfter are the numbers of next calls whose connection
	// breaks before or after the call ran.
	BreakBefore int `json:"break_before"`
	BreakAfter  int `json:"break_after"`
	// FailStatus, if not 0, is the status with which calls fail without running.
	FailStatus int  `json:"fail_status"`
	Frozen     bool `json:"frozen"`
}

// Counters is the number of calls and runs since the start.
type Counters struct {
	Calls int64 `json:"calls"`
	Runs  int64 `json:"runs"`
	// RepeatedKeys is the number of keys that ran more than once.
	RepeatedKeys int64 `json:"repeated"`
}

// Service is the fake. Its methods are safe for concurrent use.
type Service struct {
	mu       sync.Mutex
	switches Switches
	counters Counters
	runs     map[string]int
}

// New returns a service.
func New(s Switches) *Service { return &Service{switches: s, runs: map[string]int{}} }

// ExpectedResponse returns the whole answer to a call.
func ExpectedResponse(key string, body []byte) string {
	return fmt.Sprintf(`{"key":%q,"digest":"%016x"}`, key, xxhash.Sum64(body))
}

// Switches returns the switches in force.
func (s *Service) Switches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// SetSwitches changes the switches.
func (s *Service) SetSwitches(switches Switches) error {
	if switches.FailStatus != 0 && (switches.FailStatus < 400 || switches.FailStatus > 599) {
		return fmt.Errorf("fail_status must be 0 or from 400 to 599")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
	return nil
}

// Counters returns a copy of the counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// RunCount returns how often the call with a key ran.
func (s *Service) RunCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// RunCounts returns how often the call of each key ran.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Handler returns the service's HTTP interface with its control endpoint.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	control := server.ControlHandler(s.Switches, s.SetSwitches)
	mux.HandleFunc("GET /control", control)
	mux.HandleFunc("POST /control", control)
	mux.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) { server.WriteJSON(w, s.Counters()) })
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, r *http.Request) {
		server.WriteJSON(w, s.RunCount(r.URL.Query().Get("key")))
	})
	mux.HandleFunc("GET /control/all_runs", func(w http.ResponseWriter, _ *http.Request) { server.WriteJSON(w, s.RunCounts()) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		s.thawed(r.Context())
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("/", s.call)
	return mux
}

// step is what happens to one call.
type step struct {
	breakBefore, breakAfter bool
	status                  int
	runTime                 time.Duration
}

func (s *Service) next() step {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Calls++
	next := step{status: s.switches.FailStatus, runTime: time.Duration(s.switches.RunTime)}
	switch {
	case s.switches.BreakBefore > 0:
		s.switches.BreakBefore--
		next.breakBefore = true
	case s.switches.BreakAfter > 0:
		s.switches.BreakAfter--
		next.breakAfter = true
	}
	return next
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, server.MaxBodyBytes))
	if err != nil {
		panic(server.ErrAbortConnection)
	}
	s.thawed(r.Context())
	next := s.next()
	if next.breakBefore {
		panic(server.ErrAbortConnection)
	}
	if next.status != 0 {
		http.Error(w, "refused", next.status)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.count(key)
	time.Sleep(next.runTime)
	if next.breakAfter {
		panic(server.ErrAbortConnection)
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, ExpectedResponse(key, body))
}

func (s *Service) count(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Runs++
	if key == "" {
		return
	}
	s.runs[key]++
	if s.runs[key] == 2 {
		s.counters.RepeatedKeys++
	}
}

// thawed waits while the service is frozen.
func (s *Service) thawed(ctx context.Context) {
	const pollInterval = 5 * time.Millisecond
	for s.Switches().Frozen {
		select {
		case <-ctx.Done():
			panic(server.ErrAbortConnection)
		case <-time.After(pollInterval):
		}
	}
}
