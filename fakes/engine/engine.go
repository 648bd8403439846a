// Package engine is a small fake of a model engine for tests and the demo. It
// simulates token-by-token streams, chunked prefill, continuous batching,
// memory with a prefix cache, and the failures listed in Switches. Its answer
// to a prompt is the one that Expected returns.
package engine

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	engineapi "siskinstand.example/adapters/engine"
	"siskinstand.example/fakes/server"
)

// Config holds what is fixed at start.
type Config struct {
	Model        string
	MemoryTokens int64
	// MaxBatch is the most requests that run at once.
	MaxBatch int
	// ChunkTokens is the most prefill work of one step.
	ChunkTokens int64
	// OnCrash, if set, makes the address refuse connections for a time. Without
	// it the handler breaks every connection meanwhile.
	OnCrash  func(down time.Duration)
	Switches Switches
}

// Switches is the behaviour that can change while the engine runs.
type Switches struct {
	PrefillTokensPerSecond int64 `json:"prefill_tokens_per_second"`
	// TokenTime is the length of a step without prefill.
	TokenTime server.Duration `json:"token_time"`
	// Cold makes the engine cold. A cold engine collapses to 1/CollapseFactor of
	// its speed while it runs several requests with more than ColdTokens, and is
	// warm after it prefilled WarmAfterTokens without a collapse.
	Cold            bool  `json:"cold"`
	ColdTokens      int64 `json:"cold_tokens"`
	WarmAfterTokens int64 `json:"warm_after_tokens"`
	CollapseFactor  int64 `json:"collapse_factor"`
	// CrashMarker crashes the engine when it starts a prompt that contains it.
	CrashMarker string          `json:"crash_marker"`
	CrashDown   server.Duration `json:"crash_down"`
	Frozen      bool            `json:"frozen"`
	IgnoreFence bool            `json:"ignore_fence"`
	// LoadLag is the age of load reports.
	LoadLag server.Duration `json:"load_lag"`
	// LeakTokens is the memory that each finished request leaves behind.
	LeakTokens int64 `json:"leak_tokens"`
	// ModelLoadTime is how long a change of model takes.
	ModelLoadTime server.Duration `json:"load_time"`
}

// DefaultConfig returns a fast warm engine without failures.
func DefaultConfig() Config {
	return Config{
		Model:        "siskin-small",
		MemoryTokens: 600_000,
		MaxBatch:     64,
		ChunkTokens:  2048,
		Switches: Switches{
			PrefillTokensPerSecond: 200_000,
			TokenTime:              server.Duration(5 * time.Millisecond),
			ColdTokens:             16_000,
			WarmAfterTokens:        100_000,
			CollapseFactor:         50,
			CrashMarker:            "crash-this-engine",
			CrashDown:              server.Duration(2 * time.Second),
			ModelLoadTime:          server.Duration(500 * time.Millisecond),
		},
	}
}

// Counters is what the engine has counted since its process started.
type Counters struct {
	Started   int64 `json:"started"`
	Completed int64 `json:"whole"`
	Crashes   int64 `json:"crashes"`
	// CollapsedSteps counts steps of a cold engine under full load.
	CollapsedSteps int64 `json:"collapsed_steps"`
	// StaleOrders counts orders with an old fencing number that took effect.
	StaleOrders int64 `json:"stale_orders"`
	// Attempts counts submissions by attempt, so that a test sees repeats.
	Attempts map[string]int `json:"attempts"`
}

// Engine is the fake. Its methods are safe for concurrent use.
type Engine struct {
	config Config
	mux    *http.ServeMux

	mu          sync.Mutex
	changed     *sync.Cond
	closed      bool
	switches    Switches
	counters    Counters
	incarnation int
	downUntil   time.Time
	readyAt     time.Time
	model       string
	fence       uint64
	memory      *memory
	waiting     []*sequence
	running     []*sequence
	warmed      int64
	arrivals    int64
	samples     []engineapi.Load
}

// maxAttempts bounds the counter by attempt.
const maxAttempts = 100_000

// New starts an engine; Close stops it.
func New(c Config) *Engine {
	e := &Engine{config: c, switches: c.Switches, model: c.Model, memory: newMemory(c.MemoryTokens), incarnation: 1}
	e.changed = sync.NewCond(&e.mu)
	e.counters.Attempts = map[string]int{}
	e.routes()
	go e.run()
	return e
}

// Close stops the engine and ends its streams.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.loseState()
	e.changed.Broadcast()
}

func (e *Engine) routes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/completions", e.completions)
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("POST /engine/cancel", e.cancel)
	e.mux.HandleFunc("GET /engine/state", e.stateHandler)
	e.mux.HandleFunc("GET /engine/load", e.loadHandler)
	e.mux.HandleFunc("POST /engine/free", e.freeHandler)
	e.mux.HandleFunc("POST /engine/hold", e.holdHandler)
	e.mux.HandleFunc("POST /engine/order", e.orderHandler)
	e.mux.HandleFunc("POST /engine/export", e.transferHandler(engineapi.AllocationExport))
	e.mux.HandleFunc("POST /engine/import", e.transferHandler(engineapi.AllocationImport))
}

// Handler returns the engine's HTTP interface with its control endpoint.
func (e *Engine) Handler() http.Handler {
	outer := http.NewServeMux()
	control := server.ControlHandler(e.Switches, e.SetSwitches)
	outer.HandleFunc("GET /control", control)
	outer.HandleFunc("POST /control", control)
	outer.HandleFunc("GET /control/counters", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, e.Counters())
	})
	outer.HandleFunc("POST /control/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	outer.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if !e.reachable(r.Context()) {
			panic(server.ErrAbortConnection)
		}
		e.mux.ServeHTTP(w, r)
	})
	return outer
}

// reachable waits while the engine is frozen and reports whether it answers.
func (e *Engine) reachable(ctx context.Context) bool {
	const pollInterval = 5 * time.Millisecond
	for {
		e.mu.Lock()
		frozen, down := e.switches.Frozen, e.closed || time.Now().Before(e.downUntil)
		e.mu.Unlock()
		if down || !frozen {
			return !down
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
}

// Switches returns the switches in force.
func (e *Engine) Switches() Switches {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.switches
}

// SetSwitches changes the switches.
func (e *Engine) SetSwitches(s Switches) error {
	if s.PrefillTokensPerSecond <= 0 || s.CollapseFactor <= 0 || s.TokenTime < 0 || s.LeakTokens < 0 {
		return fmt.Errorf("rates and factors must be positive")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Cold && !e.switches.Cold {
		e.warmed = 0
	}
	e.switches = s
	e.changed.Broadcast()
	return nil
}

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.Attempts = map[string]int{}
	for id, n := range e.counters.Attempts {
		c.Attempts[id] = n
	}
	return c
}

// Crash loses the engine's whole state and makes it unreachable for the time
// that the switches set.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	down := time.Duration(e.switches.CrashDown)
	e.counters.Crashes++
	e.incarnation++
	e.downUntil = time.Now().Add(down)
	e.loseState()
	if e.config.OnCrash != nil {
		go e.config.OnCrash(down)
	}
}

func (e *Engine) loseState() {
	for _, s := range append(e.running, e.waiting...) {
		close(s.broken)
	}
	e.running, e.waiting, e.samples = nil, nil, nil
	e.memory = newMemory(e.config.MemoryTokens)
	e.fence = 0
	e.model = e.config.Model
	e.switches.Cold = e.switches.Cold || e.config.Switches.Cold
	e.warmed = 0
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		AttemptID string `json:"attempt_id"`
	}
	if !server.ReadJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	for _, s := range append(append([]*sequence(nil), e.running...), e.waiting...) {
		if s.attempt == body.AttemptID {
			e.remove(s)
			close(s.cancelled)
		}
	}
	e.mu.Unlock()
	server.WriteJSON(w, struct{}{})
}

func (e *Engine) stateHandler(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	state := engineapi.State{
		Incarnation: strconv.Itoa(e.incarnation),
		Model:       e.model,
		Ready:       !now.Before(e.readyAt),
		TotalTokens: e.memory.total,
		UsedTokens:  e.memory.fixed(now) + e.memory.cached(),
		Allocations: e.memory.pieces(),
	}
	for _, s := range e.running {
		state.Allocations = append(state.Allocations, engineapi.Allocation{ID: s.attempt, Kind: engineapi.AllocationRunning, Owner: s.attempt, Tokens: s.reserved})
	}
	for _, s := range e.waiting {
		state.Allocations = append(state.Allocations, engineapi.Allocation{ID: s.attempt, Kind: engineapi.AllocationRunning, Owner: s.attempt})
	}
	e.mu.Unlock()
	server.WriteJSON(w, state)
}

func (e *Engine) freeHandler(w http.ResponseWriter, r *http.Request) {
	var body struct {
		PieceID string `json:"piece_id"`
	}
	if !server.ReadJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	e.memory.free(body.PieceID)
	e.changed.Broadcast()
	e.mu.Unlock()
	server.WriteJSON(w, struct{}{})
}

func (e *Engine) holdHandler(w http.ResponseWriter, r *http.Request) {
	var body struct {
		HoldID       string `json:"hold_id"`
		Tokens       int64  `json:"tokens"`
		TimeToLiveMS int64  `json:"time_to_live_ms"`
	}
	if !server.ReadJSON(w, r, &body) {
		return
	}
	if body.Tokens < 0 || body.TimeToLiveMS <= 0 || body.HoldID == "" {
		writeError(w, http.StatusBadRequest, "bad_request", "hold needs an identifier, tokens and a time to live")
		return
	}
	e.mu.Lock()
	ok := e.memory.setHold(body.HoldID, body.Tokens, time.Duration(body.TimeToLiveMS)*time.Millisecond, time.Now())
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusConflict, "overloaded", "not enough free memory for the hold")
		return
	}
	server.WriteJSON(w, struct{}{})
}

func (e *Engine) orderHandler(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if !server.ReadJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.fence {
		if !e.switches.IgnoreFence {
			writeError(w, http.StatusConflict, "stale_fence", "a higher fencing number was seen")
			return
		}
		e.counters.StaleOrders++
	}
	e.fence = max(e.fence, order.Fence)
	if order.Model != "" && order.Model != e.model {
		e.model = order.Model
		e.readyAt = time.Now().Add(time.Duration(e.switches.ModelLoadTime))
		e.switches.Cold, e.warmed = true, 0
	}
	server.WriteJSON(w, struct{}{})
}

// writeError refuses a request that has not started.
func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"error":{"code":%q,"message":%q,"verdict":"not_run"}}`, code, strings.ReplaceAll(message, `"`, "'"))
}
