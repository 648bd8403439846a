package control

import (
	"time"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

// ConfigSlice is the part of the configuration that applies to this endpoint.
type ConfigSlice struct {
	// Revision is the revision of the whole configuration, ChangedRevision the one
	// at which this slice last changed. An offer whose gateway has a revision below
	// ChangedRevision is refused.
	Revision        uint64
	ChangedRevision uint64
	Endpoint        string
	Pool            string
	ZoneOut         bool
	HostLeaving     bool
	MaxPromptTokens int64
	// Model is the model that the engine must serve; empty accepts any model.
	Model string
}

// WithRevision returns a copy of the slice with another revision.
func (s ConfigSlice) WithRevision(revision uint64) ConfigSlice {
	s.Revision = revision
	return s
}

// Received reports whether a gateway has sent a slice.
func (s ConfigSlice) Received() bool { return s.Revision > 0 }

// SetConfigSlice replaces the current slice if the given one has a higher
// revision and does not name another endpoint.
func (l *Loop) SetConfigSlice(s ConfigSlice) { _ = l.send(configSliceMessage{s}) }

type configSliceMessage struct{ slice ConfigSlice }

func (m configSliceMessage) apply(l *Loop, now time.Time) {
	if m.slice.Revision <= l.configSlice.Revision || (m.slice.Endpoint != "" && m.slice.Endpoint != l.config.Endpoint) {
		return
	}
	l.applyConfigSlice(now, m.slice)
}

func (l *Loop) applyConfigSlice(now time.Time, s ConfigSlice) {
	old := l.configSlice
	l.config.Invariants.Check(s.Revision >= old.Revision, invariant.ConfigMonotonic,
		"configuration goes from revision %d back to %d", old.Revision, s.Revision)
	l.configSlice = s
	if s.ZoneOut && !old.ZoneOut {
		l.zoneOutSince = now
	}
	if s.HostLeaving && !old.HostLeaving {
		l.hostLeavingSince = now
	}
	if l.phase == phaseServing {
		if refusal := l.endpointRefusal(); refusal != nil {
			l.refuseUndispatched(refusal)
		}
	}
}

// refuseUndispatched refuses all queued attempts and withdraws admissions that
// have not been dispatched.
func (l *Loop) refuseUndispatched(refusal *verdict.Error) {
	now := time.Now()
	l.applyOutcomes(now, l.queue.RefuseAll(refusal.Reason, refusal.Message))
	for id, a := range l.attempts {
		if a.stage != stageAdmitted {
			continue
		}
		l.queue.Finish(now, id, 0)
		l.refuse(a, refusal)
		l.releaseAttemptHold(a)
	}
}

// MergeSuspectReports merges the crash suspects reported by a gateway.
func (l *Loop) MergeSuspectReports(reports []suspect.Report) {
	if len(reports) > 0 {
		_ = l.send(suspectsMessage{reports})
	}
}

type suspectsMessage struct{ reports []suspect.Report }

func (m suspectsMessage) apply(l *Loop, now time.Time) { l.suspects.Merge(now, m.reports) }
