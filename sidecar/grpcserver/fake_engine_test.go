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

// fakeEngine sends one chunk per output token for each request.
type fakeEngine struct {
	mu          sync.Mutex
	incarnation int
	down        bool
	runs        map[string]int
	cancelled   []string
	allocations map[string]engine.Allocation
	freed       []string
	// chunkDelay is the pause before each chunk.
	chunkDelay time.Duration
	// unblock, if set, blocks each run before its first chunk until it is closed.
	unblock chan struct{}
	// runsToRefuse is the number of runs that the engine still refuses.
	runsToRefuse int
	// lastDeliver is the callback of the latest run.
	lastDeliver func(engine.Chunk) error
}

// fakeGroupMembers stands in for the sidecars of the other members of a group.
type fakeGroupMembers struct {
	mu        sync.Mutex
	holdsLost bool
	renewals  int
	releases  int
}

func (m *fakeGroupMembers) RenewHold(context.Context, group.Member, string, time.Duration) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.renewals++
	return !m.holdsLost, nil
}

func (m *fakeGroupMembers) ReleaseHold(context.Context, group.Member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releases++
	return nil
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{runs: map[string]int{}, allocations: map[string]engine.Allocation{}}
}

func (e *fakeEngine) Run(ctx context.Context, r engine.Request, deliver func(engine.Chunk) error) (engine.Result, error) {
	e.mu.Lock()
	if e.runsToRefuse > 0 {
		e.runsToRefuse--
		e.mu.Unlock()
		return engine.Result{}, verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "engine is full")
	}
	incarnation, unblock := e.incarnation, e.unblock
	e.runs[r.AttemptID]++
	e.lastDeliver = deliver
	e.allocations[r.AttemptID] = engine.Allocation{ID: r.AttemptID, Kind: engine.AllocationRunning, Owner: r.AttemptID, Tokens: r.PromptTokens + r.MaxOutputTokens}
	e.mu.Unlock()
	defer e.removeAllocation(r.AttemptID)
	if unblock != nil {
		select {
		case <-unblock:
		case <-ctx.Done():
			return engine.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "cancelled")
		}
	}
	for i := range r.MaxOutputTokens {
		if !e.hasIncarnation(incarnation) {
			return engine.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonEngineDown, "connection reset")
		}
		time.Sleep(e.chunkDelay)
		if err := deliver(engine.Chunk{Data: fmt.Appendf(nil, "%d ", i), Tokens: 1}); err != nil {
			return engine.Result{}, err
		}
	}
	return engine.Result{FinishReason: "stop", PromptTokens: r.PromptTokens, OutputTokens: r.MaxOutputTokens}, nil
}

func (e *fakeEngine) hasIncarnation(incarnation int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.down && e.incarnation == incarnation
}

func (e *fakeEngine) removeAllocation(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.allocations, id)
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, id)
	delete(e.allocations, id)
	return nil
}

func (e *fakeEngine) State(context.Context) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return engine.State{}, verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "connection refused")
	}
	s := engine.State{Incarnation: fmt.Sprint(e.incarnation), Model: "m", Ready: true, TotalTokens: 100_000}
	for _, a := range e.allocations {
		s.Allocations = append(s.Allocations, a)
		s.UsedTokens += a.Tokens
	}
	return s, nil
}

func (e *fakeEngine) Load(context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return engine.Load{}, verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "connection refused")
	}
	return engine.Load{PrefillTokensPerSec: 10_000, DecodeTokensPerSec: 1_000, TotalTokens: 100_000}, nil
}

func (e *fakeEngine) Free(_ context.Context, id string) error {
	e.removeAllocation(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.freed = append(e.freed, id)
	return nil
}

func (e *fakeEngine) Hold(_ context.Context, id string, tokens int64, _ time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allocations[id] = engine.Allocation{ID: id, Kind: engine.AllocationHold, Owner: id, Tokens: tokens}
	return nil
}

func (e *fakeEngine) Apply(context.Context, engine.Order) error { return nil }

// crash discards all memory and restarts as another incarnation. Each run fails
// before its next chunk.
func (e *fakeEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.allocations = map[string]engine.Allocation{}
}

func (e *fakeEngine) runCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
