// Package engine is a fake LLM inference engine for tests and the demo. It
// simulates token streaming, chunked prefill, continuous batching, memory with
// a prefix cache, and the failures listed in Switches. Its output for a prompt
// is deterministic; ExpectedOutput returns it.
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

// Config holds the parameters that are fixed when the engine starts.
type Config struct {
	Model        string
	MemoryTokens int64
	// MaxBatch is the maximum number of requests that run at once.
	MaxBatch int
	// ChunkTokens is the maximum number of prefill tokens per step.
	ChunkTokens int64
	// OnCrash, if set, is called on a crash and makes the server refuse
	// connections for the given time. Without it, the handler only aborts the calls
	// during that time, except those to /control.
	OnCrash  func(down time.Duration)
	Switches Switches
}

// Switches holds the settings that can be changed while the engine runs.
type Switches struct {
	PrefillTokensPerSecond int64 `json:"prefill_tokens_per_second"`
	// TokenTime is the duration of a step without prefill.
	TokenTime server.Duration `json:"token_time"`
	// Cold makes the engine cold. The speed of a cold engine collapses to
	// 1/CollapseFactor while it runs several requests that together reserve more
	// than ColdTokens. The engine is warm once it has prefilled WarmAfterTokens in
	// steps without a collapse.
	Cold            bool  `json:"cold"`
	ColdTokens      int64 `json:"cold_tokens"`
	WarmAfterTokens int64 `json:"warm_after_tokens"`
	CollapseFactor  int64 `json:"collapse_factor"`
	// CrashMarker is a text that crashes the engine when it starts to run a prompt
	// that contains it.
	CrashMarker string `json:"crash_marker"`
	// CrashDown is how long the engine is unreachable after a crash.
	CrashDown server.Duration `json:"crash_down"`
	// Frozen blocks calls and running requests until it is reset.
	Frozen bool `json:"frozen"`
	// IgnoreFence makes orders with an outdated fencing number take effect.
	IgnoreFence bool `json:"ignore_fence"`
	// LoadLag is the minimum age of the load reports; 0 reports the current load.
	LoadLag server.Duration `json:"load_lag"`
	// LeakTokens is the memory, in tokens, that each completed request leaks.
	LeakTokens int64 `json:"leak_tokens"`
	// ModelLoadTime is how long it takes to switch to another model.
	ModelLoadTime server.Duration `json:"load_time"`
}

// DefaultConfig returns the configuration of a fast, warm engine. Its only failure
// is the crash on a prompt that contains CrashMarker.
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

// Counters are totals since New. They survive a simulated crash.
type Counters struct {
	Started   int64 `json:"started"`
	Completed int64 `json:"whole"`
	Crashes   int64 `json:"crashes"`
	// CollapsedSteps counts the steps at collapsed speed; see Switches.Cold.
	CollapsedSteps int64 `json:"collapsed_steps"`
	// StaleOrders counts orders with an outdated fencing number that took effect.
	StaleOrders int64 `json:"stale_orders"`
	// Attempts counts the submissions of each attempt ID, so that a test can
	// detect repeated ones.
	Attempts map[string]int `json:"attempts"`
}

// Engine is the fake engine. Its methods are safe for concurrent use.
type Engine struct {
	config Config
	mux    *http.ServeMux

	mu           sync.Mutex
	changed      *sync.Cond
	closed       bool
	switches     Switches
	counters     Counters
	incarnation  int
	downUntil    time.Time
	readyAt      time.Time
	model        string
	highestFence uint64
	memory       *memory
	waiting      []*sequence
	running      []*sequence
	warmupTokens int64
	arrivals     int64
	loadSamples  []engineapi.Load
}

// maxCountedAttempts limits the size of Counters.Attempts. Once it is reached, no
// more submissions are counted, not even repeated ones.
const maxCountedAttempts = 100_000

// New starts an engine; Close stops it.
func New(c Config) *Engine {
	e := &Engine{config: c, switches: c.Switches, model: c.Model, memory: newMemory(c.MemoryTokens), incarnation: 1}
	e.changed = sync.NewCond(&e.mu)
	e.counters.Attempts = map[string]int{}
	e.registerRoutes()
	go e.runSteps()
	return e
}

// Close stops the engine and aborts its requests.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.resetState()
	e.changed.Broadcast()
}

func (e *Engine) registerRoutes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/completions", e.completionsHandler)
	e.mux.HandleFunc("POST /v1/chat/completions", e.chatHandler)
	e.mux.HandleFunc("POST /engine/cancel", e.cancelHandler)
	e.mux.HandleFunc("GET /engine/state", e.stateHandler)
	e.mux.HandleFunc("GET /engine/load", e.loadHandler)
	e.mux.HandleFunc("POST /engine/free", e.freeHandler)
	e.mux.HandleFunc("POST /engine/hold", e.holdHandler)
	e.mux.HandleFunc("POST /engine/order", e.orderHandler)
	e.mux.HandleFunc("POST /engine/export", e.transferHandler(engineapi.AllocationExport))
	e.mux.HandleFunc("POST /engine/import", e.transferHandler(engineapi.AllocationImport))
}

// Handler returns the engine's HTTP API, including the control endpoint.
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
		if !e.awaitReachable(r.Context()) {
			panic(server.ErrAbortConnection)
		}
		e.mux.ServeHTTP(w, r)
	})
	return outer
}

// awaitReachable blocks while the engine is frozen. It reports false if the
// engine is down or closed, or if the context ends first.
func (e *Engine) awaitReachable(ctx context.Context) bool {
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

// Switches returns the current switches.
func (e *Engine) Switches() Switches {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.switches
}

// SetSwitches replaces the switches. A warm engine that is made cold has to warm
// up from the beginning.
func (e *Engine) SetSwitches(s Switches) error {
	if s.PrefillTokensPerSecond <= 0 || s.CollapseFactor <= 0 || s.TokenTime < 0 || s.LeakTokens < 0 {
		return fmt.Errorf("rates and factors must be positive")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Cold && !e.switches.Cold {
		e.warmupTokens = 0
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

// Crash discards the engine's state, aborts its requests and makes the engine
// unreachable for Switches.CrashDown.
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
	e.resetState()
	if e.config.OnCrash != nil {
		go e.config.OnCrash(down)
	}
}

// resetState aborts all requests and discards everything that a real engine would
// lose with its process. An engine that was configured as cold is cold again.
func (e *Engine) resetState() {
	for _, s := range append(e.running, e.waiting...) {
		close(s.aborted)
	}
	e.running, e.waiting, e.loadSamples = nil, nil, nil
	e.memory = newMemory(e.config.MemoryTokens)
	e.highestFence = 0
	e.model = e.config.Model
	e.switches.Cold = e.switches.Cold || e.config.Switches.Cold
	e.warmupTokens = 0
}

func (e *Engine) cancelHandler(w http.ResponseWriter, r *http.Request) {
	var body struct {
		AttemptID string `json:"attempt_id"`
	}
	if !server.ReadJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	for _, s := range append(append([]*sequence(nil), e.running...), e.waiting...) {
		if s.attemptID == body.AttemptID {
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
		TotalTokens: e.memory.totalTokens,
		UsedTokens:  e.memory.unevictableTokens(now) + e.memory.cachedTokens(),
		Allocations: e.memory.allocations(),
	}
	for _, s := range e.running {
		state.Allocations = append(state.Allocations, engineapi.Allocation{ID: s.attemptID, Kind: engineapi.AllocationRunning, Owner: s.attemptID, Tokens: s.reservedTokens})
	}
	for _, s := range e.waiting {
		state.Allocations = append(state.Allocations, engineapi.Allocation{ID: s.attemptID, Kind: engineapi.AllocationRunning, Owner: s.attemptID})
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
		writeNotRunError(w, http.StatusBadRequest, "bad_request", "hold needs an identifier, tokens and a time to live")
		return
	}
	e.mu.Lock()
	ok := e.memory.setHold(body.HoldID, body.Tokens, time.Duration(body.TimeToLiveMS)*time.Millisecond, time.Now())
	e.mu.Unlock()
	if !ok {
		writeNotRunError(w, http.StatusConflict, "overloaded", "not enough free memory for the hold")
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
	if order.Fence < e.highestFence {
		if !e.switches.IgnoreFence {
			writeNotRunError(w, http.StatusConflict, "stale_fence", "a higher fencing number was seen")
			return
		}
		e.counters.StaleOrders++
	}
	e.highestFence = max(e.highestFence, order.Fence)
	if order.Model != "" && order.Model != e.model {
		e.model = order.Model
		e.readyAt = time.Now().Add(time.Duration(e.switches.ModelLoadTime))
		e.switches.Cold, e.warmupTokens = true, 0
	}
	server.WriteJSON(w, struct{}{})
}

// writeNotRunError responds with an error whose verdict is not_run, so it must only
// be used for calls that were not executed.
func writeNotRunError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"error":{"code":%q,"message":%q,"verdict":"not_run"}}`, code, strings.ReplaceAll(message, `"`, "'"))
}
