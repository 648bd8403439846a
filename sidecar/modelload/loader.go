// Package modelload makes the engine serve the model of its pool. The engine gets
// an order only with a permit for the load and a fencing number; see
// docs/decisions/0006-engine-orders.md.
package modelload

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/budget"
	"siskinstand.example/coord/fence"
	"siskinstand.example/sidecar/control"
)

// Timing of the orders.
const (
	// defaultTimeToLive bounds the use of a permit. Its margin of a third is
	// longer than one call to the engine, which takes at most 2 s by default.
	defaultTimeToLive = 15 * time.Second
	// defaultPatience is the wait for a permit, after which the load begins
	// without one at a random time within defaultSpread.
	defaultPatience = 60 * time.Second
	defaultSpread   = 5 * time.Minute
	// retryPause is the time between orders that got no answer, and between
	// requests for a permit that no gateway answered.
	retryPause = time.Second
	// repeatAfter is the time after which the engine gets another order if it
	// accepted one but does not serve the model, or refused one as old.
	repeatAfter = time.Minute
)

// PermitSource asks the holder of the weight-load budget.
type PermitSource interface {
	RequestPermit(ctx context.Context, model string) (budget.Permit, error)
	// GatewayConnected reports whether a gateway has a control stream to this sidecar.
	// Gateways end the stream to a sidecar that has a successor.
	GatewayConnected() bool
}

// Engine takes orders. Each states an end state, so repeating it is harmless.
type Engine interface {
	Apply(ctx context.Context, order engine.Order) error
}

// Config builds a Runner. Durations that are 0 take their defaults.
type Config struct {
	Loop    *control.Loop
	Engine  Engine
	Permits PermitSource
	// Incarnation is the start of the process in nanoseconds. It is the base of
	// the fencing numbers.
	Incarnation   uint64
	FenceMode     fence.Mode
	Scope         tally.Scope
	LeaseTTL      time.Duration
	PermitTimeout time.Duration
	MaxStartDelay time.Duration
	// RandomDuration returns a duration below its argument; nil takes rand.N.
	RandomDuration func(time.Duration) time.Duration
}

// Runner gives the orders of one sidecar.
type Runner struct {
	config  Config
	started time.Time
	holder  *fence.Holder
	number  uint64
}

// New returns a runner. The time for which it waits for the orders of a former
// sidecar begins now.
func New(c Config) *Runner {
	for d, value := range map[*time.Duration]time.Duration{
		&c.LeaseTTL: defaultTimeToLive, &c.PermitTimeout: defaultPatience, &c.MaxStartDelay: defaultSpread,
	} {
		if *d == 0 {
			*d = value
		}
	}
	if c.RandomDuration == nil {
		c.RandomDuration = rand.N[time.Duration]
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return &Runner{config: c, started: time.Now(), holder: fence.NewHolder(c.FenceMode), number: c.Incarnation}
}

// Run gives the orders until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s := r.config.Loop.Snapshot()
		if s.ModelToLoad == "" {
			select {
			case <-ctx.Done():
			case <-s.Changed:
			}
			continue
		}
		if r.awaitFormer(ctx, s.ModelToLoad) && r.acquire(ctx, s.ModelToLoad) {
			r.send(ctx, s.ModelToLoad)
		}
	}
	return nil
}

// former is the rest of the time for which a former sidecar of the endpoint may
// still give orders. An engine that checks the number refuses them by itself.
func (r *Runner) former() time.Duration {
	if r.config.FenceMode == fence.ModeChecks {
		return 0
	}
	return max(r.config.LeaseTTL-time.Since(r.started), 0)
}

// awaitFormer waits before the permit is asked for, since it would end
// meanwhile.
func (r *Runner) awaitFormer(ctx context.Context, model string) bool {
	return r.pause(ctx, model, r.former())
}

// acquire returns true once the engine may load the model: with a permit, or
// without one at a random time after the budget has not answered for the
// patience. A refusal is an answer: while the budget refuses, it hands out the
// whole rate, and a load without a permit would only delay the others.
func (r *Runner) acquire(ctx context.Context, model string) bool {
	var alone time.Time
	patience := time.Now().Add(r.config.PermitTimeout)
	for {
		requested := time.Now()
		permit, err := r.ask(ctx, model)
		now := time.Now()
		switch {
		case permit.Granted:
			r.grant(requested)
			return true
		case permit.Superseded:
			r.count("superseded")
			klog.ErrorS(nil, "a later sidecar of the endpoint orders loads", "model", model)
			r.pause(ctx, model, repeatAfter)
			return false
		case err == nil:
			alone, patience = time.Time{}, now.Add(r.config.PermitTimeout)
		case alone.IsZero() && !now.Before(patience):
			alone = now.Add(r.config.RandomDuration(r.config.MaxStartDelay))
			klog.InfoS("no answer of the budget, the load begins without a permit", "model", model, "delay", alone.Sub(now))
		case !alone.IsZero() && !now.Before(alone):
			return r.loadAlone(now)
		}
		next := patience
		if !alone.IsZero() {
			next = alone
		}
		if !r.pause(ctx, model, min(permit.RetryAfter, next.Sub(now))) {
			return false
		}
	}
}

func (r *Runner) loadAlone(now time.Time) bool {
	if r.config.FenceMode == fence.ModeIgnores && !r.config.Permits.GatewayConnected() {
		r.count("not_connected")
		return false
	}
	r.count("without_permit")
	r.grant(now)
	return true
}

func (r *Runner) ask(ctx context.Context, model string) (budget.Permit, error) {
	permit, err := r.config.Permits.RequestPermit(ctx, model)
	if err != nil {
		klog.V(1).InfoS("no answer to the request for a permit", "model", model, "err", err)
		return budget.Permit{RetryAfter: retryPause}, err
	}
	permit.RetryAfter = max(permit.RetryAfter, retryPause)
	return permit, nil
}

// grant begins a lease of the engine. Its number is higher than that of each
// earlier order, so that a late order cannot undo a newer one.
func (r *Runner) grant(requested time.Time) {
	r.number++
	r.holder.RecordGrant(time.Now(), fence.Lease{Fence: r.number, RequestedAt: requested, TTL: r.config.LeaseTTL}, r.former())
}

// send repeats the order until the engine has answered it or the lease ends.
func (r *Runner) send(ctx context.Context, model string) {
	for {
		err, sent := r.apply(ctx, model)
		switch {
		case !sent:
			return
		case err == nil:
			r.count("accepted")
			klog.InfoS("engine loads a model", "model", model, "fence", r.holder.Fence())
			r.pause(ctx, model, repeatAfter)
			return
		case errors.Is(err, engine.ErrStaleFence):
			r.count("stale")
			klog.ErrorS(err, "the engine knows a sidecar that started later", "model", model, "fence", r.holder.Fence())
			r.pause(ctx, model, repeatAfter)
			return
		}
		r.count("failed")
		klog.ErrorS(err, "order to the engine failed", "model", model)
		if !r.pause(ctx, model, retryPause) {
			return
		}
	}
}

// apply sends one order unless the lease does not allow it. The clock is read
// directly before the call, whose time is bounded by the margin.
func (r *Runner) apply(ctx context.Context, model string) (err error, sent bool) {
	ctx, cancel := context.WithTimeout(ctx, r.config.LeaseTTL/fence.MarginDivisor)
	defer cancel()
	order := engine.Order{Fence: r.holder.Fence(), Model: model}
	if why := r.holder.Check(time.Now()); why != fence.Allowed {
		r.count("withheld")
		klog.InfoS("order to the engine withheld", "model", model, "reason", why)
		return nil, false
	}
	return r.config.Engine.Apply(ctx, order), true
}

// pause waits and reports whether the model is still to be loaded.
func (r *Runner) pause(ctx context.Context, model string, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		s := r.config.Loop.Snapshot()
		if s.ModelToLoad != model {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-s.Changed:
		}
	}
}

func (r *Runner) count(result string) {
	r.config.Scope.Tagged(map[string]string{"result": result}).Counter("model_orders").Inc(1)
}
