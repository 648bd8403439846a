// Package control implements the control loop of a sidecar. One goroutine owns
// all state of the endpoint: the queue, reservations, holds and suspects. Other
// goroutines send it typed messages and read immutable snapshots.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/group"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/memory"
	"siskinstand.example/coord/ramp"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

// tickInterval is the interval of the time-driven work: the ramp, the expiry of
// holds, engine probes and the search for overdue attempts. It also bounds the
// time between two rounds of admission when no message arrives.
const tickInterval = 20 * time.Millisecond

// inboxSize is the buffer between request handlers and the loop. When it is
// full, senders block; no message is dropped while the loop runs.
const inboxSize = 1024

// Config configures a Loop.
type Config struct {
	Endpoint    string
	Zone        string
	ProcessID   string
	Incarnation uint64
	Engine      Engine
	Admission   admission.Config
	Memory      memory.Config
	Suspect     suspect.Config
	Hold        group.Config
	Invariants  *invariant.Registry
	Scope       tally.Scope
	// TotalTokens is the engine memory to assume if the engine reports 0.
	TotalTokens int64
	// PrefillRate is the expected prefill speed in tokens per second; 0 uses
	// the engine's report.
	PrefillRate float64
	// RampEnabled starts the endpoint with a low concurrency limit that grows.
	// It is off for plain services, whose response times don't show a speed per
	// prompt token.
	RampEnabled bool
}

// DefaultConfig returns the default configuration; the caller sets the
// identity, the engine and the metrics scope.
func DefaultConfig() Config {
	return Config{
		Admission: admission.DefaultConfig(), Memory: memory.DefaultConfig(),
		Suspect: suspect.DefaultConfig(), Hold: group.DefaultConfig(),
		Scope: tally.NoopScope, RampEnabled: true,
	}
}

// Loop owns the state of one endpoint. Run must be called to process messages.
type Loop struct {
	config   Config
	inbox    chan message
	stopped  chan struct{}
	snapshot atomic.Pointer[Snapshot]
	// background tracks the engine calls that the loop has started.
	background sync.WaitGroup
	ctx        context.Context

	phase            phase
	draining         bool
	configSlice      ConfigSlice
	zoneOutSince     time.Time
	hostLeavingSince time.Time
	queue            *admission.Queue
	limiter          *ramp.Limiter
	ledger           *memory.Ledger
	suspects         *suspect.Tracker
	holds            *group.Holds
	attempts         map[string]*Attempt
	dispatches       *dispatchLog
	monitor          engineMonitor
	decodeRate       float64
	lastTick         time.Time
	lastReported     *Snapshot
	drainWaiters     []chan struct{}
	metrics          loopMetrics
}

// phase is the state of the engine as seen by the loop.
type phase int

const (
	phaseStarting phase = iota
	phaseServing
	phaseDown
)

// message is an event that the loop's goroutine applies to its state.
type message interface {
	apply(l *Loop, now time.Time)
}

// New returns a loop that admits nothing until Run has reconciled its state
// with the engine.
func New(c Config) *Loop {
	l := &Loop{
		config:     c,
		inbox:      make(chan message, inboxSize),
		stopped:    make(chan struct{}),
		queue:      admission.New(c.Admission),
		limiter:    ramp.New(time.Now(), ramp.DefaultConfig(0, 0)),
		ledger:     memory.New(c.Memory),
		suspects:   suspect.New(c.Suspect),
		holds:      group.NewHolds(c.Hold),
		attempts:   map[string]*Attempt{},
		dispatches: newDispatchLog(),
		metrics:    newLoopMetrics(c.Scope),
	}
	l.snapshot.Store(&Snapshot{State: StateStarting, Changed: make(chan struct{})})
	return l
}

// Run processes messages until the context is cancelled.
func (l *Loop) Run(ctx context.Context) error {
	defer l.background.Wait()
	defer close(l.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.ctx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if now.Sub(l.lastTick) >= tickInterval {
			l.lastTick = now
			l.tick(now)
		}
		l.admitAndPublish(now)
		select {
		case <-ctx.Done():
			l.assertNoAttemptsLeft()
			return nil
		case m := <-l.inbox:
			m.apply(l, time.Now())
		case <-ticker.C:
		}
	}
}

// tick runs the time-driven work.
func (l *Loop) tick(now time.Time) {
	l.limiter.Tick(now)
	l.expireHolds(now)
	l.probeIfDue(now)
	l.assertOutcomes(now)
}

// admitAndPublish admits what the last event has made room for, completes a
// drain that has finished and publishes a new snapshot.
func (l *Loop) admitAndPublish(now time.Time) {
	l.refreshCapacity()
	if l.phase == phaseServing && l.endpointRefusal() == nil {
		l.applyOutcomes(now, l.queue.Admit(now))
	}
	l.finishDrainIfIdle()
	l.publish()
}

func (l *Loop) applyOutcomes(now time.Time, outcomes []admission.Outcome) {
	for _, o := range outcomes {
		a := l.attempts[o.Item.ID]
		if a == nil {
			l.queue.Finish(now, o.Item.ID, 0)
			continue
		}
		if o.Refusal != nil {
			l.refuse(a, o.Refusal)
			l.releaseAttemptHold(a)
			continue
		}
		l.admit(now, a, o)
	}
}

func (l *Loop) admit(now time.Time, a *Attempt, o admission.Outcome) {
	l.assertPlacement(now, a)
	load, limit := l.queue.Load(), l.limiter.Limit()
	l.config.Invariants.Check(load.ReservedTokens <= limit || load.RunningItems == 1 || o.Item.HasHold, invariant.RampLimit,
		"%d tokens are in flight after the admission of %s, above the limit of %d", load.ReservedTokens, a.Offer.ID(), limit)
	a.stage = stageAdmitted
	a.admittedAt = now
	l.metrics.recordAdmission(o.Waited)
	a.sendDecision(Decision{AdmittedAt: now, Priority: o.Priority})
}

// refuse ends an attempt that has not been dispatched and sends the refusal as
// its decision.
func (l *Loop) refuse(a *Attempt, refusal *verdict.Error) {
	l.config.Invariants.Check(refusal.Verdict != verdict.NotRun || !a.mayHaveRun, invariant.NotRunVerdict,
		"attempt %s was dispatched and is refused as not run", a.Offer.ID())
	l.metrics.recordRefusal(refusal)
	if l.attempts[a.Offer.ID()] == a {
		delete(l.attempts, a.Offer.ID())
	}
	a.stage = stageEnded
	a.sendDecision(Decision{Refusal: refusal, Suspects: l.suspectsFor(refusal)})
}

// refreshCapacity passes the current memory and ramp limits, both less the
// holds, to the admission queue.
func (l *Loop) refreshCapacity() {
	c := l.capacity()
	c.LimitTokens = max(c.LimitTokens-l.holds.Tokens(), 0)
	l.queue.SetCapacity(c)
}

// capacity returns the current memory and ramp limits as they are reported to
// gateways. Holds, and memory that no ledger entry accounts for, are subtracted
// from the memory but not from the ramp limit. A plain service has no prefill
// rate, because its response time does not depend on the length of the request.
func (l *Loop) capacity() admission.Capacity {
	c := admission.Capacity{
		MemoryTokens: max(l.monitor.totalTokens-l.holds.Tokens()-l.ledger.UnaccountedTokens(), 0),
		LimitTokens:  l.limiter.Limit(),
		DecodeRate:   l.decodeRate,
	}
	if l.config.RampEnabled {
		c.PrefillRate = l.limiter.PrefillRate()
	}
	return c
}

// runInBackground runs an engine call in its own goroutine, so that the loop
// does not block.
func (l *Loop) runInBackground(call func(ctx context.Context)) {
	ctx := l.ctx
	l.background.Go(func() { call(ctx) })
}

// send queues a message for the loop. After the loop has stopped, it returns an
// error or, if the inbox has room, may queue a message that is never processed.
func (l *Loop) send(m message) error {
	select {
	case l.inbox <- m:
		return nil
	case <-l.stopped:
		return verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "sidecar has stopped")
	}
}

// sendAndWait sends a message and waits for the loop's response. It returns an
// error if the loop stops first.
func sendAndWait[T any](l *Loop, m message, reply <-chan T) (T, error) {
	var zero T
	if err := l.send(m); err != nil {
		return zero, err
	}
	select {
	case v := <-reply:
		return v, nil
	case <-l.stopped:
		return zero, verdict.New(verdict.MayHaveRun, verdict.ReasonShuttingDown, "sidecar has stopped")
	}
}
