// Package control is the control loop of a sidecar. One goroutine owns all
// commitments on the endpoint; every other goroutine sends it typed messages
// and reads immutable snapshots.
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

// tickInterval paces deadlines, ageing and the ramp while no message arrives.
const tickInterval = 20 * time.Millisecond

// inboxSize decouples traffic goroutines from the loop. A full inbox slows
// senders down and loses nothing.
const inboxSize = 1024

// Config builds a Loop.
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
	// TotalTokens replaces the engine's own report of its memory if that is 0.
	TotalTokens int64
	// PrefillRate is the expected speed in tokens a second; 0 takes the
	// engine's report.
	PrefillRate float64
	// RampEnabled endpoints start with a low concurrency limit. Plain services give
	// no evidence of their speed by prompt length and are not ramped.
	RampEnabled bool
}

// DefaultConfig returns a configuration without identity, engine and metrics.
func DefaultConfig() Config {
	return Config{
		Admission: admission.DefaultConfig(), Memory: memory.DefaultConfig(),
		Suspect: suspect.DefaultConfig(), Hold: group.DefaultConfig(),
		Scope: tally.NoopScope, RampEnabled: true,
	}
}

// Loop is the control loop.
type Loop struct {
	config   Config
	inbox    chan message
	stopped  chan struct{}
	snapshot atomic.Pointer[Snapshot]
	// background counts calls to the engine that the loop has started.
	background sync.WaitGroup
	ctx        context.Context

	phase    phase
	draining bool
	slice    ConfigSlice
	outSince time.Time
	goneFrom time.Time
	queue    *admission.Queue
	limiter  *ramp.Limiter
	ledger   *memory.Ledger
	suspects *suspect.Tracker
	holds    *group.Holds
	attempts map[string]*Attempt
	seen     *seen
	watch    watch
	decode   float64
	lastTick time.Time
	reported *Snapshot
	drained  []chan struct{}
	metrics  loopMetrics
}

// phase is the relation between the loop and its engine.
type phase int

const (
	phaseStarting phase = iota
	phaseServing
	phaseDown
)

// message is one event for the loop.
type message interface {
	apply(l *Loop, now time.Time)
}

// New returns a loop that admits nothing until Run has reconciled with the
// engine.
func New(c Config) *Loop {
	l := &Loop{
		config:   c,
		inbox:    make(chan message, inboxSize),
		stopped:  make(chan struct{}),
		queue:    admission.New(c.Admission),
		limiter:  ramp.New(time.Now(), ramp.DefaultConfig(0, 0)),
		ledger:   memory.New(c.Memory),
		suspects: suspect.New(c.Suspect),
		holds:    group.NewHolds(c.Hold),
		attempts: map[string]*Attempt{},
		seen:     newSeen(),
		metrics:  newLoopMetrics(c.Scope),
	}
	l.snapshot.Store(&Snapshot{State: StateStarting, Changed: make(chan struct{})})
	return l
}

// Run processes messages until the context ends.
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
		l.settle(now)
		select {
		case <-ctx.Done():
			l.checkShutdown()
			return nil
		case m := <-l.inbox:
			m.apply(l, time.Now())
		case <-ticker.C:
		}
	}
}

// tick starts what is due by time.
func (l *Loop) tick(now time.Time) {
	l.limiter.Tick(now)
	l.expireHolds(now)
	l.watchEngine(now)
	l.checkOutcomes(now)
}

// settle ends the waits that the last event has decided and publishes the
// result.
func (l *Loop) settle(now time.Time) {
	l.refreshCapacity()
	if l.phase == phaseServing && l.open() == nil {
		l.conclude(now, l.queue.Admit(now))
	}
	l.finishDrain()
	l.publish()
}

func (l *Loop) conclude(now time.Time, outcomes []admission.Outcome) {
	for _, o := range outcomes {
		t := l.attempts[o.Item.ID]
		if t == nil {
			l.queue.Finish(now, o.Item.ID, 0)
			continue
		}
		if o.Refusal != nil {
			l.refuse(t, o.Refusal)
			l.endHold(t)
			continue
		}
		l.admit(now, t, o)
	}
}

func (l *Loop) admit(now time.Time, t *Attempt, o admission.Outcome) {
	l.checkPlacement(now, t)
	load, limit := l.queue.Load(), l.limiter.Limit()
	l.config.Invariants.Check(load.ReservedTokens <= limit || load.RunningItems == 1 || o.Item.HasHold, invariant.RampLimit,
		"%d tokens are in flight after the admission of %s, above the limit of %d", load.ReservedTokens, t.Offer.ID(), limit)
	t.stage = stageAdmitted
	t.admittedAt = now
	l.metrics.admitted(o.Waited)
	t.decide(Decision{AdmittedAt: now, Priority: o.Priority})
}

// refuse ends a ticket that did not run.
func (l *Loop) refuse(t *Attempt, refusal *verdict.Error) {
	l.config.Invariants.Check(refusal.Verdict != verdict.NotRun || !t.ran, invariant.NotRunVerdict,
		"attempt %s was dispatched and is refused as not run", t.Offer.ID())
	l.metrics.refused(refusal)
	if l.attempts[t.Offer.ID()] == t {
		delete(l.attempts, t.Offer.ID())
	}
	t.stage = stageEnded
	t.decide(Decision{Refusal: refusal, Suspects: l.suspectsFor(refusal)})
}

// refreshCapacity tells admission what memory and the ramp allow at present.
func (l *Loop) refreshCapacity() {
	c := l.capacity()
	c.LimitTokens = max(c.LimitTokens-l.holds.Tokens(), 0)
	l.queue.SetCapacity(c)
}

// capacity is what memory and the ramp allow, with holds counted against the
// memory only. The time of a plain service does not depend on the length of its
// request, so it has no prefill speed.
func (l *Loop) capacity() admission.Capacity {
	c := admission.Capacity{
		MemoryTokens: max(l.watch.total-l.holds.Tokens()-l.ledger.UnaccountedTokens(), 0),
		LimitTokens:  l.limiter.Limit(),
		DecodeRate:   l.decode,
	}
	if l.config.RampEnabled {
		c.PrefillRate = l.limiter.PrefillRate()
	}
	return c
}

// start runs a call to the engine outside the loop.
func (l *Loop) start(call func(ctx context.Context)) {
	ctx := l.ctx
	l.background.Go(func() { call(ctx) })
}

// send hands a message to the loop. It fails once the loop has stopped.
func (l *Loop) send(m message) error {
	select {
	case l.inbox <- m:
		return nil
	case <-l.stopped:
		return verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "sidecar has stopped")
	}
}

// call sends a message and waits for its answer.
func call[T any](l *Loop, m message, answer <-chan T) (T, error) {
	var zero T
	if err := l.send(m); err != nil {
		return zero, err
	}
	select {
	case v := <-answer:
		return v, nil
	case <-l.stopped:
		return zero, verdict.New(verdict.MayHaveRun, verdict.ReasonShuttingDown, "sidecar has stopped")
	}
}
