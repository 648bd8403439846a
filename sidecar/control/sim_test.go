package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/verdict"
)

// simEngine simulates an engine in virtual time. The memory of a run whose
// receiver has gone stays allocated until the run is cancelled, as after a
// crash of the sidecar.
type simEngine struct {
	mu            sync.Mutex
	incarnation   int
	unreachable   bool
	crashed       chan struct{}
	runs          map[string]int
	starts        []time.Time
	allocations   map[string]engine.Allocation
	cancels       map[string]chan struct{}
	poisonCrashes int
}

const poisonBody = "poison"

func newSimEngine() *simEngine {
	return &simEngine{crashed: make(chan struct{}), runs: map[string]int{}, allocations: map[string]engine.Allocation{}, cancels: map[string]chan struct{}{}}
}

func (e *simEngine) startRun(r engine.Request) (crashed, cancelled chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.AttemptID]++
	e.starts = append(e.starts, time.Now())
	cancelled = make(chan struct{})
	e.cancels[r.AttemptID] = cancelled
	e.allocations[r.AttemptID] = engine.Allocation{ID: r.AttemptID, Kind: engine.AllocationRunning, Owner: r.AttemptID, Tokens: r.PromptTokens}
	return e.crashed, cancelled
}

func (e *simEngine) endRun(id string, crashed chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == crashed {
		delete(e.allocations, id)
		delete(e.cancels, id)
	}
}

func (e *simEngine) Run(ctx context.Context, r engine.Request, deliver func(engine.Chunk) error) (engine.Result, error) {
	crashed, cancelled := e.startRun(r)
	prefill := time.Duration(r.PromptTokens) * time.Second / 50_000
	for i := range r.MaxOutputTokens {
		step := 20 * time.Millisecond
		if i == 0 {
			step += prefill
		}
		select {
		case <-crashed:
			return engine.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "connection reset")
		case <-cancelled:
			return engine.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "cancelled")
		case <-ctx.Done():
			return engine.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "receiver is gone")
		case <-time.After(step):
		}
		if string(r.Body) == poisonBody {
			e.mu.Lock()
			e.poisonCrashes++
			e.mu.Unlock()
			e.crash()
		}
		if err := deliver(engine.Chunk{Tokens: 1}); err != nil {
			return engine.Result{}, err
		}
	}
	e.endRun(r.AttemptID, crashed)
	return engine.Result{OutputTokens: r.MaxOutputTokens}, nil
}

func (e *simEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.incarnation++
	clear(e.allocations)
	clear(e.cancels)
}

func (e *simEngine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.cancels[id]; c != nil {
		close(c)
	}
	delete(e.cancels, id)
	delete(e.allocations, id)
	return nil
}

func (e *simEngine) State(context.Context) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreachable {
		return engine.State{}, verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "connection refused")
	}
	s := engine.State{Incarnation: fmt.Sprint(e.incarnation), Ready: true, TotalTokens: 200_000}
	for _, a := range e.allocations {
		s.Allocations = append(s.Allocations, a)
	}
	return s, nil
}

func (e *simEngine) Load(context.Context) (engine.Load, error) {
	return engine.Load{PrefillTokensPerSec: 50_000}, nil
}

func (e *simEngine) Free(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.allocations, id)
	return nil
}

func (e *simEngine) Hold(_ context.Context, id string, tokens int64, _ time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allocations[id] = engine.Allocation{ID: id, Kind: engine.AllocationHold, Owner: id, Tokens: tokens}
	return nil
}

func (e *simEngine) Apply(context.Context, engine.Order) error { return nil }

func (e *simEngine) withLock(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// simAttempt is one attempt and the behaviour of its gateway. It ends with
// exactly one verdict.
type simAttempt struct {
	offer      Offer
	body       string
	startDelay time.Duration
	verdict    verdict.Verdict
	outcomes   int
	endedAt    time.Time
}

// simEndpoint is one endpoint with its sidecar, which can be restarted.
type simEndpoint struct {
	engine     *simEngine
	invariants *invariant.Registry
	loop       *Loop
	stop       context.CancelFunc
	ctx        context.Context
	stopped    chan struct{}
	mu         sync.Mutex
	attempts   []*simAttempt
	handlers   sync.WaitGroup
}

func newSimEndpoint() *simEndpoint {
	s := &simEndpoint{engine: newSimEngine(), invariants: invariant.NewRegistry(nil)}
	s.startSidecar()
	return s
}

func (s *simEndpoint) startSidecar() {
	c := DefaultConfig()
	c.Endpoint, c.Zone, c.Engine, c.Invariants = "e1", "z1", s.engine, s.invariants
	s.loop = New(c)
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.stopped = make(chan struct{})
	go func(l *Loop, ctx context.Context, stopped chan struct{}) {
		defer close(stopped)
		_ = l.Run(ctx)
	}(s.loop, s.ctx, s.stopped)
}

func (s *simEndpoint) stopSidecar() {
	s.stop()
	<-s.stopped
	s.handlers.Wait()
}

// startAttempt runs an attempt in the same steps as package grpcserver.
func (s *simEndpoint) startAttempt(sim *simAttempt) {
	s.attempts = append(s.attempts, sim)
	loop, ctx := s.loop, s.ctx
	s.handlers.Go(func() {
		v := runAttempt(ctx, loop, s.engine, sim)
		s.mu.Lock()
		defer s.mu.Unlock()
		sim.verdict, sim.endedAt = v, time.Now()
		sim.outcomes++
	})
}

func runAttempt(ctx context.Context, loop *Loop, e *simEngine, sim *simAttempt) verdict.Verdict {
	attempt, err := loop.Offer(sim.offer)
	if err != nil {
		return verdict.NotRun
	}
	ctx, cancel := context.WithDeadline(ctx, sim.offer.Deadline)
	defer cancel()
	for admitted := false; !admitted; {
		select {
		case d := <-attempt.Decisions():
			if d.Refusal != nil {
				return d.Refusal.Verdict
			}
			admitted = true
		case <-ctx.Done():
			return cancelAttempt(loop, attempt)
		}
	}
	if sim.offer.StartRequired() {
		select {
		case <-time.After(sim.startDelay):
		case <-ctx.Done():
			return cancelAttempt(loop, attempt)
		}
	}
	if refusal := loop.AuthorizeDispatch(attempt); refusal != nil {
		return refusal.Verdict
	}
	return runEngine(ctx, loop, attempt, e, sim)
}

func cancelAttempt(loop *Loop, attempt *Attempt) verdict.Verdict {
	if loop.Cancel(attempt) {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func runEngine(ctx context.Context, loop *Loop, attempt *Attempt, e *simEngine, sim *simAttempt) verdict.Verdict {
	first := true
	result, err := e.Run(ctx, engine.Request{
		AttemptID: sim.offer.ID(), Body: []byte(sim.body), PromptTokens: sim.offer.PromptTokens, MaxOutputTokens: sim.offer.MaxOutputTokens,
	}, func(engine.Chunk) error {
		if first {
			first = false
			loop.RecordFirstToken(attempt)
		}
		return nil
	})
	if err != nil && !errors.Is(context.Cause(ctx), context.Canceled) {
		_ = e.Cancel(ctx, sim.offer.ID())
	}
	loop.EndAttempt(attempt, result.OutputTokens, err)
	if err != nil {
		return verdict.FromError(err)
	}
	return verdict.Ran
}
