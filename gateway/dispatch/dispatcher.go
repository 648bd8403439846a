package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskinstand.example/coord/assembly"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/verdict"
)

// lateMargin is how far past its deadline a request may end without violating
// invariant.RequestOutcome. It allows for scheduling delays on a busy machine.
const lateMargin = 250 * time.Millisecond

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	config  Config
	metrics *metrics
	// claimUpdates counts the claim updates in progress, some of which outlast their
	// request.
	claimUpdates sync.WaitGroup

	mu      sync.Mutex
	budgets map[string]retry.Budget
}

// New returns a dispatcher with full retry budgets.
func New(c Config) *Dispatcher {
	return &Dispatcher{config: c, metrics: newMetrics(c.Scope), budgets: map[string]retry.Budget{}}
}

// Run runs a request to completion. Every error is a *verdict.Error.
func (d *Dispatcher) Run(ctx context.Context, r *Request, sink Sink) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	var result Result
	var err error
	if r.Route.Repeatable {
		result, err = d.execute(ctx, r, sink)
	} else {
		result, err = d.runClaimed(ctx, r, sink)
	}
	late := time.Since(r.Deadline)
	d.config.Invariants.Check(late < lateMargin, invariant.RequestOutcome, "request %s ended %v after its deadline", r.ID, late)
	d.metrics.countOutcome(err)
	return result, err
}

func (d *Dispatcher) execute(ctx context.Context, r *Request, sink Sink) (Result, error) {
	d.recordFirstAttempt(r.Pool.Name)
	now := time.Now()
	x := &execution{
		dispatcher: d, request: r, sink: sink, assembler: assembly.New(r.ID), started: now,
		objectives: newRequestObjectives(d.config.Objectives, r, now),
	}
	result, failure := x.run(ctx)
	// A request cancelled by the caller does not count towards the objective of
	// answered requests. Its first token and token gaps have already been recorded for
	// their own objectives.
	if !errors.Is(ctx.Err(), context.Canceled) {
		x.objectives.recordEnd(time.Now(), failure == nil, r.Deadline)
	}
	if failure != nil {
		return Result{}, x.finalError(ctx, failure)
	}
	return result, nil
}

func (d *Dispatcher) recordFirstAttempt(pool string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budgets[pool] = d.budget(pool, now).RecordFirstAttempt(d.config.Retry, now)
}

// takeRetry consumes one retry from the pool's budget. It returns false if the
// budget is exhausted.
func (d *Dispatcher) takeRetry(pool string) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budget(pool, now).Take(d.config.Retry, now)
	d.budgets[pool] = b
	return ok
}

func (d *Dispatcher) budget(pool string, now time.Time) retry.Budget {
	b, ok := d.budgets[pool]
	if !ok {
		b = retry.NewBudget(d.config.Retry, now)
	}
	return b
}

// asVerdictError returns the *verdict.Error that err wraps, or an internal error
// with the verdict may_have_run.
func asVerdictError(err error) *verdict.Error {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "unexpected failure").WithCause(err)
}
