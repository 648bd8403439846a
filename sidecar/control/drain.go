package control

import (
	"time"

	"siskinstand.example/coord/invariant"
)

// Drain stops admission and refuses attempts that have not been dispatched. The
// returned channel is closed when all attempts have ended and no group holds memory of
// the engine, but may stay open if the loop stops before that.
func (l *Loop) Drain() <-chan struct{} {
	done := make(chan struct{})
	if l.send(drainMessage{done}) != nil {
		close(done)
	}
	return done
}

type drainMessage struct{ done chan struct{} }

func (m drainMessage) apply(l *Loop, _ time.Time) {
	l.draining = true
	l.drainWaiters = append(l.drainWaiters, m.done)
	l.refuseUndispatched(l.endpointRefusal())
}

func (l *Loop) finishDrainIfIdle() {
	if !l.draining || len(l.attempts) > 0 || l.holds.Tokens() > 0 {
		return
	}
	for _, done := range l.drainWaiters {
		close(done)
	}
	l.drainWaiters = nil
}

// assertNoAttemptsLeft asserts that all attempts have ended when the loop stops.
func (l *Loop) assertNoAttemptsLeft() {
	l.config.Invariants.Check(len(l.attempts) == 0, invariant.ShutdownComplete,
		"%d attempts are cut off by the shutdown", len(l.attempts))
}
