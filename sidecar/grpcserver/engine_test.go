package grpcserver

import (
	"context"
	"fmt"
	"sync"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/group"
	"siskinstand.example/coord/verdict"
)

// memoryEngine answers each request with one chunk per output token.
type memoryEngine struct {
	mu          sync.Mutex
	incarnation int
	down        bool
	runs        map[string]int
	cancelled   []string
	pieces      map[string]engine.Allocation
	freed       []string
	// step is the pause before each chunk; block, if set, holds runs up.
	step  time.Duration
	block chan struct{}
	// refuse is the number of runs that the engine does not take.
	refuse int
	// deliver is the receiver of the latest run.
	deliver func(engine.Chunk) error
}

// fakeMembers answers for the other members of a group.
type fakeMembers struct {
	mu       sync.Mutex
	lost     bool
	renewed  int
	released int
}

func (m *fakeMembers) RenewHold(context.Context, group.Member, string, time.Duration) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.renewed++
	return !m.lost, nil
}

func (m *fakeMembers) ReleaseHold(context.Context, group.Member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released++
	return nil
}

func newMemoryEngine() *memoryEngine {
	return &memoryEngine{runs: map[string]int{}, pieces: map[string]engine.Allocation{}}
}

func (e *memoryEngine) Run(ctx context.Context, r engine.Request, deliver func(engine.Chunk) error) (engine.Result, error) {
	e.mu.Lock()
	if e.refuse > 0 {
		e.refuse--
		e.mu.Unlock()
		return engine.Result{}, verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "engine is full")
	}
	incarnation, block := e.incarnation, e.block
	e.runs[r.AttemptID]++
	e.deliver = deliver
	e.pieces[r.AttemptID] = engine.Allocation{ID: r.AttemptID, Kind: engine.AllocationRunning, Owner: r.AttemptID, Tokens: r.PromptTokens + r.MaxOutputTokens}
	e.mu.Unlock()
	defer e.drop(r.AttemptID)
	if block != nil {
		select {
		case <-block:
		case <-ctx.Done():
			return engine.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "cancelled")
		}
	}
	for i := range r.MaxOutputTokens {
		if !e.alive(incarnation) {
			return engine.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonEngineDown, "connection reset")
		}
		time.Sleep(e.step)
		if err := deliver(engine.Chunk{Data: fmt.Appendf(nil, "%d ", i), Tokens: 1}); err != nil {
			return engine.Result{}, err
		}
	}
	return engine.Result{FinishReason: "stop", PromptTokens: r.PromptTokens, OutputTokens: r.MaxOutputTokens}, nil
}

func (e *memoryEngine) alive(incarnation int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.down && e.incarnation == incarnation
}

func (e *memoryEngine) drop(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pieces, id)
}

func (e *memoryEngine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, id)
	delete(e.pieces, id)
	return nil
}

func (e *memoryEngine) State(context.Context) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return engine.State{}, verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "connection refused")
	}
	s := engine.State{Incarnation: fmt.Sprint(e.incarnation), Model: "m", Ready: true, TotalTokens: 100_000}
	for _, p := range e.pieces {
		s.Allocations = append(s.Allocations, p)
		s.UsedTokens += p.Tokens
	}
	return s, nil
}

func (e *memoryEngine) Load(context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return engine.Load{}, verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "connection refused")
	}
	return engine.Load{PrefillTokensPerSec: 10_000, DecodeTokensPerSec: 1_000, TotalTokens: 100_000}, nil
}

func (e *memoryEngine) Free(_ context.Context, id string) error {
	e.drop(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freed = append(e.freed, id)
	return nil
}

func (e *memoryEngine) Hold(_ context.Context, id string, tokens int64, _ time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pieces[id] = engine.Allocation{ID: id, Kind: engine.AllocationHold, Owner: id, Tokens: tokens}
	return nil
}

func (e *memoryEngine) Apply(context.Context, engine.Order) error { return nil }

// crash loses everything that runs and comes back as another incarnation.
func (e *memoryEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.pieces = map[string]engine.Allocation{}
}

func (e *memoryEngine) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
