package control

import (
	"time"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

// placementGracePeriod is how long work may still start in a zone that has gone
// out of service or on a host that has started to leave.
const placementGracePeriod = 3 * time.Second

// outcomeGracePeriod is the time after its deadline by which an attempt must
// have ended on this endpoint.
const outcomeGracePeriod = 5 * time.Second

// maxSuspectReports bounds the crash suspects that are sent in one message.
const maxSuspectReports = 64

// checkOffer returns a refusal if the offer cannot be queued: a duplicate, an
// endpoint that takes no work, a stale configuration, a prompt that is too long
// or a crash suspect.
func (l *Loop) checkOffer(now time.Time, a *Attempt) *verdict.Error {
	o := a.Offer
	switch {
	case l.attempts[o.ID()] != nil:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "attempt %s is already here", o.ID())
	case l.dispatches.has(now, o.ID()):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "attempt %s was dispatched before", o.ID())
	case !o.Repeatable && l.dispatches.has(now, o.RequestID):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "another attempt of the request was dispatched")
	}
	if refusal := l.endpointRefusal(); refusal != nil {
		return refusal
	}
	if l.configSlice.Received() && o.Revision < l.configSlice.ChangedRevision {
		return verdict.New(verdict.NotRun, verdict.ReasonStaleConfig, "offer has revision %d, the endpoint's part changed at %d", o.Revision, l.configSlice.ChangedRevision)
	}
	if l.configSlice.MaxPromptTokens > 0 && o.PromptTokens > l.configSlice.MaxPromptTokens {
		return verdict.New(verdict.NotRun, verdict.ReasonPromptTooLong, "%d tokens exceed the pool's %d", o.PromptTokens, l.configSlice.MaxPromptTokens)
	}
	return l.checkSuspect(now, o)
}

// checkSuspect refuses a request that was running during two engine crashes. A
// request that was running when this engine crashed is refused unless it is
// isolated, so that the gateway sends it to its other candidate endpoint.
func (l *Loop) checkSuspect(now time.Time, o Offer) *verdict.Error {
	f := suspect.Fingerprint(o.Fingerprint)
	switch l.suspects.Status(now, f) {
	case suspect.StatusRefuse:
		return verdict.New(verdict.NotRun, verdict.ReasonCrashSuspect, "the request was running when two engines died").
			WithRetryAfter(l.suspects.TimeUntilExpiry(now, f))
	case suspect.StatusIsolate:
		if !o.Isolated && l.suspects.HasCrash(now, f, l.monitor.observedCrash) {
			return verdict.New(verdict.NotRun, verdict.ReasonSuspectRequest, "the request was running when this engine died")
		}
	}
	return nil
}

// endpointRefusal returns the reason for which the endpoint takes no new work,
// or nil.
func (l *Loop) endpointRefusal() *verdict.Error {
	switch {
	case l.draining:
		return verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "sidecar is shutting down")
	case l.phase == phaseStarting:
		return verdict.New(verdict.NotRun, verdict.ReasonEndpointStarting, "endpoint is starting").WithRetryAfter(time.Second)
	case l.phase == phaseDown:
		return verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "engine is down").WithRetryAfter(time.Second)
	case l.servesWrongModel():
		return verdict.New(verdict.NotRun, verdict.ReasonEndpointStarting, "engine serves model %q, the pool's is %q", l.monitor.model, l.configSlice.Model).WithRetryAfter(time.Second)
	case l.configSlice.ZoneOut:
		return verdict.New(verdict.NotRun, verdict.ReasonZoneOut, "availability zone %s is out", l.config.Zone)
	case l.configSlice.HostLeaving:
		return verdict.New(verdict.NotRun, verdict.ReasonEndpointLeaving, "host is leaving")
	}
	return nil
}

// servesWrongModel reports whether the engine serves a different model than its
// pool. It is false for plain services, which serve no model and have no ramp.
func (l *Loop) servesWrongModel() bool {
	return l.config.RampEnabled && l.monitor.incarnation != "" && l.configSlice.Model != "" && l.monitor.model != l.configSlice.Model
}

// modelToLoad returns the model that the engine must be ordered to load now, or
// an empty string. Loading a model ends all runs, so it waits for running
// attempts and for holds, which may serve runs led by other engines.
func (l *Loop) modelToLoad() string {
	if !l.servesWrongModel() || l.phase == phaseDown || l.draining || l.configSlice.HostLeaving || l.holds.Tokens() > 0 {
		return ""
	}
	for _, a := range l.attempts {
		if a.mayHaveRun {
			return ""
		}
	}
	return l.configSlice.Model
}

// suspectsFor returns the suspects to send with a refusal that is caused by an
// engine crash.
func (l *Loop) suspectsFor(refusal *verdict.Error) []suspect.Report {
	switch refusal.Reason {
	case verdict.ReasonEngineDown, verdict.ReasonSuspectRequest, verdict.ReasonCrashSuspect:
		return l.suspects.Reports(time.Now(), maxSuspectReports)
	}
	return nil
}

// assertPlacement asserts that no work starts in a zone that is out of service
// or on a host that is leaving, except within placementGracePeriod.
func (l *Loop) assertPlacement(now time.Time, a *Attempt) {
	l.config.Invariants.Check(!l.configSlice.ZoneOut || now.Sub(l.zoneOutSince) < placementGracePeriod, invariant.ZoneOut,
		"attempt %s enters zone %s that is out", a.Offer.ID(), l.config.Zone)
	l.config.Invariants.Check(!l.configSlice.HostLeaving || now.Sub(l.hostLeavingSince) < placementGracePeriod, invariant.LeavingHost,
		"attempt %s enters endpoint %s that is leaving", a.Offer.ID(), l.config.Endpoint)
}

// assertOutcomes asserts that every attempt ends by its deadline plus the grace
// period. A violation is counted once per attempt.
func (l *Loop) assertOutcomes(now time.Time) {
	for id, a := range l.attempts {
		if now.Before(a.Offer.Deadline.Add(outcomeGracePeriod)) || a.overdueReported {
			continue
		}
		a.overdueReported = true
		l.config.Invariants.Check(false, invariant.RequestOutcome, "attempt %s has no outcome %s after its deadline", id, outcomeGracePeriod)
	}
}
