package control

import (
	"time"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

// placementGrace is the time after which no work may start in a zone that is
// out or on a host that is leaving.
const placementGrace = 3 * time.Second

// outcomeGrace is the time after its deadline by which an attempt must have
// ended here.
const outcomeGrace = 5 * time.Second

// maxReports bounds the suspects in one message.
const maxReports = 64

// gate refuses what may not be queued at present.
func (l *Loop) gate(now time.Time, t *Attempt) *verdict.Error {
	o := t.Offer
	switch {
	case l.attempts[o.ID()] != nil:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "attempt %s is already here", o.ID())
	case l.seen.has(now, o.ID()):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "attempt %s was dispatched before", o.ID())
	case !o.Repeatable && l.seen.has(now, o.RequestID):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "another attempt of the request was dispatched")
	}
	if refusal := l.open(); refusal != nil {
		return refusal
	}
	if l.slice.Received() && o.Revision < l.slice.ChangedRevision {
		return verdict.New(verdict.NotRun, verdict.ReasonStaleConfig, "offer has revision %d, the endpoint's part changed at %d", o.Revision, l.slice.ChangedRevision)
	}
	if l.slice.MaxPromptTokens > 0 && o.PromptTokens > l.slice.MaxPromptTokens {
		return verdict.New(verdict.NotRun, verdict.ReasonPromptTooLong, "%d tokens exceed the pool's %d", o.PromptTokens, l.slice.MaxPromptTokens)
	}
	return l.gateSuspect(now, o)
}

// gateSuspect refuses a request that has crashed two engines, and sends one
// that has crashed this engine to its other candidate.
func (l *Loop) gateSuspect(now time.Time, o Offer) *verdict.Error {
	f := suspect.Fingerprint(o.Fingerprint)
	switch l.suspects.Status(now, f) {
	case suspect.StatusRefuse:
		return verdict.New(verdict.NotRun, verdict.ReasonCrashSuspect, "the request was running when two engines died").
			WithRetryAfter(l.suspects.TimeUntilExpiry(now, f))
	case suspect.StatusIsolate:
		if !o.Isolated && l.suspects.HasCrash(now, f, l.watch.ownDeath) {
			return verdict.New(verdict.NotRun, verdict.ReasonSuspectRequest, "the request was running when this engine died")
		}
	}
	return nil
}

// open returns why the endpoint takes no new work, or nil.
func (l *Loop) open() *verdict.Error {
	switch {
	case l.draining:
		return verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "sidecar is shutting down")
	case l.phase == phaseStarting:
		return verdict.New(verdict.NotRun, verdict.ReasonEndpointStarting, "endpoint is starting").WithRetryAfter(time.Second)
	case l.phase == phaseDown:
		return verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "engine is down").WithRetryAfter(time.Second)
	case l.wrongModel():
		return verdict.New(verdict.NotRun, verdict.ReasonEndpointStarting, "engine serves model %q, the pool's is %q", l.watch.model, l.slice.Model).WithRetryAfter(time.Second)
	case l.slice.ZoneOut:
		return verdict.New(verdict.NotRun, verdict.ReasonZoneOut, "availability zone %s is out", l.config.Zone)
	case l.slice.HostLeaving:
		return verdict.New(verdict.NotRun, verdict.ReasonEndpointLeaving, "host is leaving")
	}
	return nil
}

// wrongModel reports whether the engine serves another model than its pool's.
// Plain services, which are not ramped, serve none.
func (l *Loop) wrongModel() bool {
	return l.config.RampEnabled && l.watch.incarnation != "" && l.slice.Model != "" && l.watch.model != l.slice.Model
}

// modelToLoad returns the model that the engine has to be ordered to load now,
// or an empty text. A change of model ends what runs, so it waits for running
// attempts and for holds, which are part of runs led by other engines.
func (l *Loop) modelToLoad() string {
	if !l.wrongModel() || l.phase == phaseDown || l.draining || l.slice.HostLeaving || l.holds.Tokens() > 0 {
		return ""
	}
	for _, t := range l.attempts {
		if t.ran {
			return ""
		}
	}
	return l.slice.Model
}

// suspectsFor attaches suspects to refusals that tell of a death.
func (l *Loop) suspectsFor(refusal *verdict.Error) []suspect.Report {
	switch refusal.Reason {
	case verdict.ReasonEngineDown, verdict.ReasonSuspectRequest, verdict.ReasonCrashSuspect:
		return l.suspects.Reports(time.Now(), maxReports)
	}
	return nil
}

// checkPlacement asserts that no work enters a zone that is out or a host that
// is leaving.
func (l *Loop) checkPlacement(now time.Time, t *Attempt) {
	l.config.Invariants.Check(!l.slice.ZoneOut || now.Sub(l.outSince) < placementGrace, invariant.ZoneOut,
		"attempt %s enters zone %s that is out", t.Offer.ID(), l.config.Zone)
	l.config.Invariants.Check(!l.slice.HostLeaving || now.Sub(l.goneFrom) < placementGrace, invariant.LeavingHost,
		"attempt %s enters endpoint %s that is leaving", t.Offer.ID(), l.config.Endpoint)
}

// checkOutcomes asserts that every attempt ends by its deadline. A violation
// is counted once for each attempt.
func (l *Loop) checkOutcomes(now time.Time) {
	for id, t := range l.attempts {
		if now.Before(t.Offer.Deadline.Add(outcomeGrace)) || t.overdue {
			continue
		}
		t.overdue = true
		l.config.Invariants.Check(false, invariant.RequestOutcome, "attempt %s has no outcome %s after its deadline", id, outcomeGrace)
	}
}
