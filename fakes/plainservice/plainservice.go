// Package plainservice is a fake of a plain service, one without a model, whose
// calls must not be repeated. It counts how often each idempotency key ran.
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

// Switches holds the settings that can be changed while the service runs.
type Switches struct {
	// RunTime is how long each call takes.
	RunTime server.Duration `json:"run_time"`
	// BreakBefore and BreakAfter are the numbers of upcoming calls whose connection
	// is aborted before or after the call runs.
	BreakBefore int `json:"break_before"`
	BreakAfter  int `json:"break_after"`
	// FailStatus, if not 0, is the status with which calls fail without running.
	FailStatus int `json:"fail_status"`
	// Frozen makes calls wait.
	Frozen bool `json:"frozen"`
}

// Counters are totals since New.
type Counters struct {
	Calls int64 `json:"calls"`
	Runs  int64 `json:"runs"`
	// RepeatedKeys is the number of idempotency keys that ran more than once.
	RepeatedKeys int64 `json:"repeated"`
}

// Service is the fake service. Its methods are safe for concurrent use.
type Service struct {
	mu       sync.Mutex
	switches Switches
	counters Counters
	runs     map[string]int
}

// New returns a service with the given switches.
func New(s Switches) *Service { return &Service{switches: s, runs: map[string]int{}} }

// ExpectedResponse returns the body of the response to a successful call.
func ExpectedResponse(key string, body []byte) string {
	return fmt.Sprintf(`{"key":%q,"digest":"%016x"}`, key, xxhash.Sum64(body))
}

// Switches returns the current switches.
func (s *Service) Switches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// SetSwitches replaces the switches.
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

// RunCount returns how often an idempotency key ran.
func (s *Service) RunCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// RunCounts returns how often each idempotency key ran.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Handler returns the service's HTTP API, including the control endpoint.
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
		s.waitWhileFrozen(r.Context())
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("/", s.callHandler)
	return mux
}

// callOutcome describes what happens to one call.
type callOutcome struct {
	breakBefore, breakAfter bool
	status                  int
	runTime                 time.Duration
}

// nextOutcome counts a call and determines its outcome from the switches.
func (s *Service) nextOutcome() callOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Calls++
	outcome := callOutcome{status: s.switches.FailStatus, runTime: time.Duration(s.switches.RunTime)}
	switch {
	case s.switches.BreakBefore > 0:
		s.switches.BreakBefore--
		outcome.breakBefore = true
	case s.switches.BreakAfter > 0:
		s.switches.BreakAfter--
		outcome.breakAfter = true
	}
	return outcome
}

func (s *Service) callHandler(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, server.MaxBodyBytes))
	if err != nil {
		panic(server.ErrAbortConnection)
	}
	s.waitWhileFrozen(r.Context())
	outcome := s.nextOutcome()
	if outcome.breakBefore {
		panic(server.ErrAbortConnection)
	}
	if outcome.status != 0 {
		http.Error(w, "refused", outcome.status)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.countRun(key)
	time.Sleep(outcome.runTime)
	if outcome.breakAfter {
		panic(server.ErrAbortConnection)
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, ExpectedResponse(key, body))
}

// countRun counts a run in the total and, unless the key is empty, for its key.
func (s *Service) countRun(key string) {
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

// waitWhileFrozen blocks while the service is frozen, and aborts the connection if
// the context ends.
func (s *Service) waitWhileFrozen(ctx context.Context) {
	const pollInterval = 5 * time.Millisecond
	for s.Switches().Frozen {
		select {
		case <-ctx.Done():
			panic(server.ErrAbortConnection)
		case <-time.After(pollInterval):
		}
	}
}
