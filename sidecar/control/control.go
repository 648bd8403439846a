// Package control is the control loop of a sidecar. One goroutine owns all
// commitments on the endpoint; every other goroutine sends it typed messages
// and reads immutable snapshots.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/platform/engine"
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
	Engine      engine.Engine
	Admission   admission.Config
	Invariants  *invariant.Registry
}

// Loop is the control loop.
type Loop struct {
	config   Config
	inbox    chan message
	stopped  chan struct{}
	snapshot atomic.Pointer[Snapshot]

	state    State
	queue    *admission.Queue
	attempts map[string]*Ticket
}

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
		state:    StateStarting,
		queue:    admission.New(c.Admission),
		attempts: map[string]*Ticket{},
	}
	l.snapshot.Store(&Snapshot{State: StateStarting, Changed: make(chan struct{})})
	return l
}

// Run processes messages until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	go l.reconcile(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox:
			m.apply(l, time.Now())
		case <-ticker.C:
		}
		l.settle(time.Now())
	}
}

// settle ends the waits that the last event has decided and publishes the
// result.
func (l *Loop) settle(now time.Time) {
	if l.state == StateServing {
		l.conclude(now, l.queue.Admit(now))
	}
	l.publish(now)
}

func (l *Loop) conclude(now time.Time, outcomes []admission.Outcome) {
	for _, o := range outcomes {
		t := l.attempts[o.Item.ID]
		if t == nil {
			continue
		}
		if o.Refusal != nil {
			l.refuse(t, o.Refusal)
			continue
		}
		t.stage = stageAdmitted
		t.admittedAt = now
		t.decide(Decision{AdmittedAt: now})
	}
}

func (l *Loop) refuse(t *Ticket, refusal *verdict.Error) {
	l.config.Invariants.Check(refusal.Verdict != verdict.NotRun || t.stage != stageRunning,
		invariant.NotRunTrue, "attempt %s was dispatched and is refused as not run", t.Offer.ID())
	delete(l.attempts, t.Offer.ID())
	t.stage = stageEnded
	t.decide(Decision{Refusal: refusal})
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
