package control

import (
	"time"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

// ConfigSlice is the part of the configuration that concerns this endpoint.
type ConfigSlice struct {
	Revision        uint64
	ChangedRevision uint64
	Endpoint        string
	Pool            string
	ZoneOut         bool
	HostLeaving     bool
	MaxPromptTokens int64
	// Model is what the engine has to serve; empty means that any will do.
	Model string
}

// WithRevision returns a copy with another revision.
func (s ConfigSlice) WithRevision(revision uint64) ConfigSlice {
	s.Revision = revision
	return s
}

// Received reports whether any gateway has sent a slice.
func (s ConfigSlice) Received() bool { return s.Revision > 0 }

// SetConfigSlice offers a slice. Only a higher revision replaces the present one.
func (l *Loop) SetConfigSlice(s ConfigSlice) { _ = l.send(sliceMessage{s}) }

type sliceMessage struct{ slice ConfigSlice }

func (m sliceMessage) apply(l *Loop, now time.Time) {
	if m.slice.Revision <= l.slice.Revision || (m.slice.Endpoint != "" && m.slice.Endpoint != l.config.Endpoint) {
		return
	}
	l.setSlice(now, m.slice)
}

func (l *Loop) setSlice(now time.Time, s ConfigSlice) {
	old := l.slice
	l.config.Invariants.Check(s.Revision >= old.Revision, invariant.ConfigMonotonic,
		"configuration goes from revision %d back to %d", old.Revision, s.Revision)
	l.slice = s
	if s.ZoneOut && !old.ZoneOut {
		l.outSince = now
	}
	if s.HostLeaving && !old.HostLeaving {
		l.goneFrom = now
	}
	if l.phase == phaseServing {
		if why := l.open(); why != nil {
			l.handBack(why)
		}
	}
}

// handBack refuses queued work and takes back admissions that have not
// started.
func (l *Loop) handBack(why *verdict.Error) {
	now := time.Now()
	l.conclude(now, l.queue.RefuseAll(why.Reason, why.Message))
	for id, t := range l.attempts {
		if t.stage != stageAdmitted {
			continue
		}
		l.queue.Finish(now, id, 0)
		l.refuse(t, why)
		l.endHold(t)
	}
}

// MergeSuspectReports takes over what a gateway knows of suspects.
func (l *Loop) MergeSuspectReports(reports []suspect.Report) {
	if len(reports) > 0 {
		_ = l.send(suspectsMessage{reports})
	}
}

type suspectsMessage struct{ reports []suspect.Report }

func (m suspectsMessage) apply(l *Loop, now time.Time) { l.suspects.Merge(now, m.reports) }

// Drain refuses new work, returns queued work and reports on the channel when
// every stream has ended.
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
	l.drained = append(l.drained, m.done)
	l.handBack(l.open())
}

func (l *Loop) finishDrain() {
	if !l.draining || len(l.attempts) > 0 {
		return
	}
	for _, done := range l.drained {
		close(done)
	}
	l.drained = nil
}

// checkShutdown asserts that the loop does not stop below running attempts.
func (l *Loop) checkShutdown() {
	l.config.Invariants.Check(len(l.attempts) == 0, invariant.ShutdownComplete,
		"%d attempts are cut off by the shutdown", len(l.attempts))
}
