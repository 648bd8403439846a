// Package modelload makes the engine load the model of its pool. It first asks
// the gateways for a permit, a share of the weight store's bandwidth, and loads
// without one only if the requests get no response. Without permits, the
// endpoints of a returning availability zone would all load at once and exceed
// the store's rate. Each order to the engine carries a fencing number, so that an
// order of an earlier sidecar process cannot override a newer one. See also
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

const (
	// defaultLeaseTTL bounds the use of a permit. The margin that is kept at its
	// end for engines that ignore fencing numbers, a third of it, is longer than
	// one call to the engine (by default at most 2 s).
	defaultLeaseTTL = 15 * time.Second
	// defaultPermitTimeout is the time without a response to permit requests
	// after which the load starts without a permit, at a random time within
	// defaultMaxStartDelay.
	defaultPermitTimeout = 60 * time.Second
	defaultMaxStartDelay = 5 * time.Minute
	// retryInterval is the time between an order that failed and its repetition,
	// and between permit requests to which no gateway responded. It is also the
	// shortest wait after a refused permit.
	retryInterval = time.Second
	// repeatOrderInterval is the time after which a permit for another order is
	// requested if the engine accepted the previous order but does not serve the
	// model, or refused it as stale. It is also the wait after a permit is refused
	// because a newer sidecar process has requested one.
	repeatOrderInterval = time.Minute
)

// PermitSource requests permits from the holder of the weight-load budget.
type PermitSource interface {
	RequestPermit(ctx context.Context, model string) (budget.Permit, error)
	// GatewayConnected reports whether a gateway has an open control stream to
	// this sidecar. Gateways close the stream to a sidecar that has been
	// replaced.
	GatewayConnected() bool
}

// Engine accepts orders. An order states the desired state, so repeating it is
// harmless.
type Engine interface {
	Apply(ctx context.Context, order engine.Order) error
}

// Config configures a Loader. Durations that are 0 use their defaults.
type Config struct {
	Loop    *control.Loop
	Engine  Engine
	Permits PermitSource
	// Incarnation is the start time of the process in nanoseconds. Fencing
	// numbers count up from it; the first one is higher by one.
	Incarnation   uint64
	FenceMode     fence.Mode
	Scope         tally.Scope
	LeaseTTL      time.Duration
	PermitTimeout time.Duration
	MaxStartDelay time.Duration
	// RandomDuration returns a random duration below its argument; nil uses
	// rand.N.
	RandomDuration func(time.Duration) time.Duration
}

// Loader sends the model load orders of one sidecar.
type Loader struct {
	config      Config
	startedAt   time.Time
	lease       *fence.Holder
	fenceNumber uint64
}

// New returns a loader. If the engine ignores fencing numbers, the wait for the
// lease of a previous sidecar process starts now.
func New(c Config) *Loader {
	for d, value := range map[*time.Duration]time.Duration{
		&c.LeaseTTL: defaultLeaseTTL, &c.PermitTimeout: defaultPermitTimeout, &c.MaxStartDelay: defaultMaxStartDelay,
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
	return &Loader{config: c, startedAt: time.Now(), lease: fence.NewHolder(c.FenceMode), fenceNumber: c.Incarnation}
}

// Run sends orders until the context ends.
func (l *Loader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s := l.config.Loop.Snapshot()
		if s.ModelToLoad == "" {
			select {
			case <-ctx.Done():
			case <-s.Changed:
			}
			continue
		}
		if l.awaitPredecessorLease(ctx, s.ModelToLoad) && l.acquireLease(ctx, s.ModelToLoad) {
			l.sendOrder(ctx, s.ModelToLoad)
		}
	}
	return nil
}

// predecessorLeaseLeft returns the remaining time in which a previous sidecar
// process of the endpoint may still send orders. It is 0 if the engine checks
// fencing numbers, because the engine then refuses those orders.
func (l *Loader) predecessorLeaseLeft() time.Duration {
	if l.config.FenceMode == fence.ModeChecks {
		return 0
	}
	return max(l.config.LeaseTTL-time.Since(l.startedAt), 0)
}

// awaitPredecessorLease waits before the permit is requested, because a permit
// would expire during the wait.
func (l *Loader) awaitPredecessorLease(ctx context.Context, model string) bool {
	return l.waitWhileNeeded(ctx, model, l.predecessorLeaseLeft())
}

// acquireLease waits until the engine may load the model, starts a lease and
// returns true. The lease starts with a permit or, if the budget has not
// responded for PermitTimeout, without one at a random time within
// MaxStartDelay. A refusal counts as a response: while the budget refuses, it
// has granted its whole rate to others, and a load without a permit would only
// slow them down. acquireLease returns false if a newer sidecar process has
// requested a permit, startLeaseWithoutPermit refuses, or the model no longer
// needs to be loaded.
func (l *Loader) acquireLease(ctx context.Context, model string) bool {
	var startAt time.Time
	deadline := time.Now().Add(l.config.PermitTimeout)
	for {
		requestedAt := time.Now()
		permit, err := l.requestPermit(ctx, model)
		now := time.Now()
		switch {
		case permit.Granted:
			l.startLease(requestedAt)
			return true
		case permit.Superseded:
			l.countResult("superseded")
			klog.ErrorS(nil, "permit refused: a newer sidecar process of the endpoint loads models", "model", model)
			l.waitWhileNeeded(ctx, model, repeatOrderInterval)
			return false
		case err == nil:
			startAt, deadline = time.Time{}, now.Add(l.config.PermitTimeout)
		case startAt.IsZero() && !now.Before(deadline):
			startAt = now.Add(l.config.RandomDuration(l.config.MaxStartDelay))
			klog.InfoS("no response to permit requests; loading the model without a permit after the delay", "model", model, "delay", startAt.Sub(now))
		case !startAt.IsZero() && !now.Before(startAt):
			return l.startLeaseWithoutPermit(now)
		}
		next := deadline
		if !startAt.IsZero() {
			next = startAt
		}
		if !l.waitWhileNeeded(ctx, model, min(permit.RetryAfter, next.Sub(now))) {
			return false
		}
	}
}

// startLeaseWithoutPermit starts a lease and returns true, unless the engine
// ignores fencing numbers and no gateway is connected: this process may then have
// been replaced, and the engine would not refuse its order.
func (l *Loader) startLeaseWithoutPermit(now time.Time) bool {
	if l.config.FenceMode == fence.ModeIgnores && !l.config.Permits.GatewayConnected() {
		l.countResult("not_connected")
		return false
	}
	l.countResult("without_permit")
	l.startLease(now)
	return true
}

func (l *Loader) requestPermit(ctx context.Context, model string) (budget.Permit, error) {
	permit, err := l.config.Permits.RequestPermit(ctx, model)
	if err != nil {
		klog.V(1).InfoS("permit request failed", "model", model, "err", err)
		return budget.Permit{RetryAfter: retryInterval}, err
	}
	permit.RetryAfter = max(permit.RetryAfter, retryInterval)
	return permit, nil
}

// startLease starts a lease of the engine. Its fencing number is higher than
// that of each earlier order of this process, so that a delayed order cannot undo
// a newer one.
func (l *Loader) startLease(requestedAt time.Time) {
	l.fenceNumber++
	l.lease.RecordGrant(time.Now(), fence.Lease{Fence: l.fenceNumber, RequestedAt: requestedAt, TTL: l.config.LeaseTTL}, l.predecessorLeaseLeft())
}

// sendOrder repeats the order until the engine accepts it or refuses it as stale,
// the lease ends or the model no longer needs to be loaded. After it was accepted
// or refused, sendOrder waits for repeatOrderInterval.
func (l *Loader) sendOrder(ctx context.Context, model string) {
	for {
		err, sent := l.tryOrder(ctx, model)
		switch {
		case !sent:
			return
		case err == nil:
			l.countResult("accepted")
			klog.InfoS("engine accepted the order to load the model", "model", model, "fence", l.lease.Fence())
			l.waitWhileNeeded(ctx, model, repeatOrderInterval)
			return
		case errors.Is(err, engine.ErrStaleFence):
			l.countResult("stale")
			klog.ErrorS(err, "engine refused the order to load the model: stale fencing number", "model", model, "fence", l.lease.Fence())
			l.waitWhileNeeded(ctx, model, repeatOrderInterval)
			return
		}
		l.countResult("failed")
		klog.ErrorS(err, "order to load the model failed", "model", model)
		if !l.waitWhileNeeded(ctx, model, retryInterval) {
			return
		}
	}
}

// tryOrder sends one order if the lease allows it. The clock is read directly
// before the call, whose duration is bounded by the margin of the lease.
func (l *Loader) tryOrder(ctx context.Context, model string) (err error, sent bool) {
	ctx, cancel := context.WithTimeout(ctx, l.config.LeaseTTL/fence.MarginDivisor)
	defer cancel()
	order := engine.Order{Fence: l.lease.Fence(), Model: model}
	if refusal := l.lease.Check(time.Now()); refusal != fence.Allowed {
		l.countResult("withheld")
		klog.InfoS("order to load the model not sent: not allowed by the lease", "model", model, "reason", refusal)
		return nil, false
	}
	return l.config.Engine.Apply(ctx, order), true
}

// waitWhileNeeded waits for d. It returns false early if the model no longer
// needs to be loaded or the context ends.
func (l *Loader) waitWhileNeeded(ctx context.Context, model string, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		s := l.config.Loop.Snapshot()
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

func (l *Loader) countResult(result string) {
	l.config.Scope.Tagged(map[string]string{"result": result}).Counter("model_orders").Inc(1)
}
