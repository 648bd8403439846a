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

// simEngine is an engine in virtual time. A run that loses its receiver stays
// in memory until it is cancelled, as after the death of a sidecar.
type simEngine struct {
	mu          sync.Mutex
	incarnation int
	deaf        bool
	died        chan struct{}
	runs        map[string]int
	starts      []time.Time
	pieces      map[string]engine.Allocation
	cancels     map[string]chan struct{}
	poisonKills int
}

const poisonBody = "poison"

func newSimEngine() *simEngine {
	return &simEngine{died: make(chan struct{}), runs: map[string]int{}, pieces: map[string]engine.Allocation{}, cancels: map[string]chan struct{}{}}
}

func (e *simEngine) begin(r engine.Request) (died, cancelled chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.AttemptID]++
	e.starts = append(e.starts, time.Now())
	cancelled = make(chan struct{})
	e.cancels[r.AttemptID] = cancelled
	e.pieces[r.AttemptID] = engine.Allocation{ID: r.AttemptID, Kind: engine.AllocationRunning, Owner: r.AttemptID, Tokens: r.PromptTokens}
	return e.died, cancelled
}

func (e *simEngine) end(id string, died chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.died == died {
		delete(e.pieces, id)
		delete(e.cancels, id)
	}
}

func (e *simEngine) Run(ctx context.Context, r engine.Request, deliver func(engine.Chunk) error) (engine.Result, error) {
	died, cancelled := e.begin(r)
	prefill := time.Duration(r.PromptTokens) * time.Second / 50_000
	for i := range r.MaxOutputTokens {
		step := 20 * time.Millisecond
		if i == 0 {
			step += prefill
		}
		select {
		case <-died:
			return engine.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "connection reset")
		case <-cancelled:
			return engine.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "cancelled")
		case <-ctx.Done():
			return engine.Result{}, verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "receiver is gone")
		case <-time.After(step):
		}
		if string(r.Body) == poisonBody {
			e.mu.Lock()
			e.poisonKills++
			e.mu.Unlock()
			e.crash()
		}
		if err := deliver(engine.Chunk{Tokens: 1}); err != nil {
			return engine.Result{}, err
		}
	}
	e.end(r.AttemptID, died)
	return engine.Result{OutputTokens: r.MaxOutputTokens}, nil
}

func (e *simEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.died)
	e.died = make(chan struct{})
	e.incarnation++
	clear(e.pieces)
	clear(e.cancels)
}

func (e *simEngine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.cancels[id]; c != nil {
		close(c)
	}
	delete(e.cancels, id)
	delete(e.pieces, id)
	return nil
}

func (e *simEngine) State(context.Context) (engine.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.deaf {
		return engine.State{}, verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "connection refused")
	}
	s := engine.State{Incarnation: fmt.Sprint(e.incarnation), Ready: true, TotalTokens: 200_000}
	for _, p := range e.pieces {
		s.Allocations = append(s.Allocations, p)
	}
	return s, nil
}

func (e *simEngine) Load(context.Context) (engine.Load, error) {
	return engine.Load{PrefillTokensPerSec: 50_000}, nil
}

func (e *simEngine) Free(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pieces, id)
	return nil
}

func (e *simEngine) Hold(_ context.Context, id string, tokens int64, _ time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pieces[id] = engine.Allocation{ID: id, Kind: engine.AllocationHold, Owner: id, Tokens: tokens}
	return nil
}

func (e *simEngine) Apply(context.Context, engine.Order) error { return nil }

func (e *simEngine) locked(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// simCall is one attempt with its gateway. It ends with exactly one verdict.
type simCall struct {
	offer     Offer
	body      string
	startWait time.Duration
	verdict   verdict.Verdict
	outcomes  int
	ended     time.Time
}

// world is one endpoint with its sidecar, which can be replaced.
type world struct {
	engine     *simEngine
	invariants *invariant.Registry
	loop       *Loop
	stop       context.CancelFunc
	ctx        context.Context
	stopped    chan struct{}
	mu         sync.Mutex
	calls      []*simCall
	handlers   sync.WaitGroup
}

func newWorld() *world {
	w := &world{engine: newSimEngine(), invariants: invariant.NewRegistry(nil)}
	w.startSidecar()
	return w
}

func (w *world) startSidecar() {
	c := DefaultConfig()
	c.Endpoint, c.Zone, c.Engine, c.Invariants = "e1", "z1", w.engine, w.invariants
	w.loop = New(c)
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.stopped = make(chan struct{})
	go func(l *Loop, ctx context.Context, stopped chan struct{}) {
		defer close(stopped)
		_ = l.Run(ctx)
	}(w.loop, w.ctx, w.stopped)
}

func (w *world) stopSidecar() {
	w.stop()
	<-w.stopped
	w.handlers.Wait()
}

// call runs an attempt in the way of package gateway.
func (w *world) call(c *simCall) {
	w.calls = append(w.calls, c)
	loop, ctx := w.loop, w.ctx
	w.handlers.Go(func() {
		v := attemptVerdict(ctx, loop, w.engine, c)
		w.mu.Lock()
		defer w.mu.Unlock()
		c.verdict, c.ended = v, time.Now()
		c.outcomes++
	})
}

func attemptVerdict(ctx context.Context, loop *Loop, e *simEngine, c *simCall) verdict.Verdict {
	ticket, err := loop.Offer(c.offer)
	if err != nil {
		return verdict.NotRun
	}
	ctx, cancel := context.WithDeadline(ctx, c.offer.Deadline)
	defer cancel()
	for admitted := false; !admitted; {
		select {
		case d := <-ticket.Decisions():
			if d.Refusal != nil {
				return d.Refusal.Verdict
			}
			admitted = true
		case <-ctx.Done():
			return cancelled(loop, ticket)
		}
	}
	if c.offer.StartRequired() {
		select {
		case <-time.After(c.startWait):
		case <-ctx.Done():
			return cancelled(loop, ticket)
		}
	}
	if refusal := loop.Dispatch(ticket); refusal != nil {
		return refusal.Verdict
	}
	return runVerdict(ctx, loop, ticket, e, c)
}

func cancelled(loop *Loop, ticket *Attempt) verdict.Verdict {
	if loop.Cancel(ticket) {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func runVerdict(ctx context.Context, loop *Loop, ticket *Attempt, e *simEngine, c *simCall) verdict.Verdict {
	first := true
	result, err := e.Run(ctx, engine.Request{
		AttemptID: c.offer.ID(), Body: []byte(c.body), PromptTokens: c.offer.PromptTokens, MaxOutputTokens: c.offer.MaxOutputTokens,
	}, func(engine.Chunk) error {
		if first {
			first = false
			loop.RecordFirstToken(ticket)
		}
		return nil
	})
	if err != nil && !errors.Is(context.Cause(ctx), context.Canceled) {
		_ = e.Cancel(ctx, c.offer.ID())
	}
	loop.EndAttempt(ticket, result.OutputTokens, err)
	if err != nil {
		return verdict.FromError(err)
	}
	return verdict.Ran
}
