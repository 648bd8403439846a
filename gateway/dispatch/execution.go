package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"siskinstand.example/coord/assembly"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/routing"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/sidecar"
)

// maxRefusals is the number of refusals for lack of capacity after which a request
// fails. Each request has two candidate endpoints.
const maxRefusals = 2

// execution is the state of one request across its attempts.
type execution struct {
	dispatcher *Dispatcher
	request    *Request
	sink       Sink
	assembler  *assembly.Assembler
	started    time.Time

	// deliveredText is the part of a model's response that has been delivered.
	deliveredText   []byte
	deliveredChunks int64
	attempts        int
	retries         int
	// failedEndpoints and refusedBy hold endpoint names: those that failed for
	// this request, and those that refused it for lack of capacity. For a group,
	// they hold the leader or a lost member.
	failedEndpoints []string
	refusedBy       []string
	// mayHaveRun is set once an attempt may have run. It stays set even if a
	// later attempt is refused with not_run.
	mayHaveRun         bool
	firstTokenRecorded bool
	// candidateWaitStart is when the request began to wait for a suspect's other
	// candidate endpoint, or zero.
	candidateWaitStart time.Time
	objectives         requestObjectives
	lastFailure        *verdict.Error
}

// target is the endpoint, or the group of endpoints, chosen for an attempt.
type target struct {
	endpoint *sidecar.Endpoint
	isolated bool
	group    *group
}

func (x *execution) run(ctx context.Context) (Result, *verdict.Error) {
	for {
		t, failure := x.chooseTarget()
		if failure != nil {
			if x.awaitCandidate(ctx, failure) {
				continue
			}
			return Result{}, x.mostSpecificFailure(failure)
		}
		result, failure := x.runAttempt(ctx, t)
		if failure == nil {
			x.dispatcher.config.Suspects.Clear(x.request.Keys.Fingerprint)
			result.Attempts = x.attempts
			return result, nil
		}
		failure = x.checkTooLong(t, failure)
		x.recordFailure(t, failure)
		if !x.awaitRetry(ctx, failure) {
			return Result{}, failure
		}
	}
}

// mostSpecificFailure returns the failure of the latest attempt, if there is one,
// in place of an error that only reports that no candidate is left.
func (x *execution) mostSpecificFailure(failure *verdict.Error) *verdict.Error {
	noCandidate := failure.Reason == verdict.ReasonNoEndpoint || failure.Reason == verdict.ReasonSuspectRequest
	if noCandidate && x.lastFailure != nil {
		return x.lastFailure
	}
	return failure
}

// A suspect must not be sent to a third endpoint, so it waits for its other
// candidate. The timeout limits the wait for an engine that stays down.
const (
	candidateWaitTimeout  = 5 * time.Second
	candidatePollInterval = 100 * time.Millisecond
)

// awaitCandidate waits for one poll interval if the request is a suspect and
// neither of its candidates can be chosen. It reports whether to select a target
// again.
func (x *execution) awaitCandidate(ctx context.Context, failure *verdict.Error) bool {
	if failure.Reason != verdict.ReasonSuspectRequest {
		return false
	}
	if x.candidateWaitStart.IsZero() {
		x.candidateWaitStart = time.Now()
	}
	if time.Since(x.candidateWaitStart) >= candidateWaitTimeout {
		return false
	}
	select {
	case <-time.After(candidatePollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// chooseTarget selects the endpoint or group for the next attempt.
func (x *execution) chooseTarget() (target, *verdict.Error) {
	view := x.dispatcher.config.Control.View()
	pool, ok := view.Pools[x.request.Pool.Name]
	if !ok {
		return target{}, verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "pool %s no longer exists", x.request.Pool.Name)
	}
	suspectEntry := x.dispatcher.config.Suspects.Lookup(x.request.Keys.Fingerprint)
	if suspectEntry.Status == suspect.StatusRefuse {
		refusal := verdict.New(verdict.NotRun, verdict.ReasonCrashSuspect, "%d endpoints died while they ran this request", suspect.RefuseStrikes)
		return target{}, refusal.WithRetryAfter(suspectEntry.ExpiresIn)
	}
	skip := append(slices.Clone(x.failedEndpoints), suspectEntry.CrashedEndpoints...)
	g, failure := x.planGroup(pool, skip)
	if failure != nil {
		return target{}, failure
	}
	if g != nil {
		return target{endpoint: g.members[0].endpoint, isolated: suspectEntry.Isolated(), group: g}, nil
	}
	if suspectEntry.Isolated() {
		// A candidate that failed may be in service again, so only endpoints that
		// crashed while they ran this request are excluded.
		skip = suspectEntry.CrashedEndpoints
	}
	e := x.pickEndpoint(pool, skip, suspectEntry.Isolated())
	if e == nil && suspectEntry.Isolated() {
		return target{}, verdict.New(verdict.NotRun, verdict.ReasonSuspectRequest, "the request was running when an endpoint died and its other candidate is not in service")
	}
	if e == nil {
		return target{}, x.noEndpointError(pool)
	}
	x.checkPlacement(view, e)
	return target{endpoint: e, isolated: suspectEntry.Isolated()}, nil
}

func (x *execution) pickEndpoint(pool *control.PoolView, skip []string, isSuspect bool) *sidecar.Endpoint {
	now := time.Now()
	c := pool.Pick(x.request.Keys, skip, isSuspect)
	load := func(i int) routing.Load {
		if i == routing.None {
			return routing.Load{}
		}
		return pool.Endpoints[i].RoutingLoad(now)
	}
	first, second := x.dispatcher.config.Routing.Order(c, x.request.Keys, x.request.PromptTokens, load(c.Prefix), load(c.Fingerprint))
	for _, i := range []int{first, second} {
		if i != routing.None && !slices.Contains(x.refusedBy, pool.Endpoints[i].Name) {
			return pool.Endpoints[i]
		}
	}
	return nil
}

func (x *execution) checkPlacement(view *control.View, e *sidecar.Endpoint) {
	tables := view.Config.Tables
	x.dispatcher.config.Invariants.Check(!tables.IsZoneOut(e.Zone), invariant.ZoneOut, "request %s chose endpoint %s in zone %s, which is out", x.request.ID, e.Name, e.Zone)
	x.dispatcher.config.Invariants.Check(!tables.IsHostLeaving(e.Name), invariant.LeavingHost, "request %s chose endpoint %s, which is leaving", x.request.ID, e.Name)
}

func (x *execution) noEndpointError(pool *control.PoolView) *verdict.Error {
	if pool.UsableCount() == 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "pool %s has no endpoint in service", x.request.Pool.Name)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "no further endpoint of pool %s can run the request", x.request.Pool.Name)
}

// recordFailure updates the verdict and the excluded endpoints after a failed
// attempt.
func (x *execution) recordFailure(t target, failure *verdict.Error) {
	x.lastFailure = failure
	if failure.Verdict != verdict.NotRun {
		x.mayHaveRun = true
	}
	switch failure.Reason {
	case verdict.ReasonOverloaded, verdict.ReasonDeadlineTooNear:
		x.refusedBy = append(x.refusedBy, t.endpoint.Name)
	case verdict.ReasonGroupMemberLost:
		// A member whose hold the gateway could not acquire or renew is already in
		// failedEndpoints. A loss reported by the leader excludes no endpoint.
	default:
		x.failedEndpoints = append(x.failedEndpoints, t.endpoint.Name)
	}
}

// awaitRetry reports whether to make another attempt, after waiting for the
// backoff if the failed attempt may have run.
func (x *execution) awaitRetry(ctx context.Context, failure *verdict.Error) bool {
	if ctx.Err() != nil || x.attempts >= x.dispatcher.config.MaxAttempts || !failure.Verdict.CanRetry(x.request.Route.Repeatable) {
		return false
	}
	if len(x.refusedBy) >= maxRefusals {
		return false
	}
	switch failure.Reason {
	case verdict.ReasonPromptTooLong, verdict.ReasonBadRequest, verdict.ReasonCrashSuspect, verdict.ReasonCancelled, verdict.ReasonDeadlineExceeded, verdict.ReasonInternal:
		return false
	}
	if failure.Verdict == verdict.NotRun {
		// Nothing ran, so the next candidate is tried immediately.
		return true
	}
	if !x.prepareResume() || !x.dispatcher.takeRetry(x.request.Pool.Name) {
		return false
	}
	x.dispatcher.metrics.retries.Inc(1)
	wait := retry.Backoff(x.dispatcher.config.Backoff, x.dispatcher.config.BackoffLimit, x.retries, routing.Mix(x.request.Keys.Fingerprint+uint64(x.attempts)))
	x.retries++
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// prepareResume prepares the next attempt after one that may have run and reports
// whether it is possible. A model's response resumes at the delivered position. A
// plain service's response restarts, unless part of it has reached the caller.
func (x *execution) prepareResume() bool {
	if x.request.Route.Model != "" || x.deliveredChunks == 0 {
		return true
	}
	if !x.sink.Restart() {
		return false
	}
	x.assembler = x.assembler.Restarted()
	x.deliveredChunks = 0
	return true
}

// finalError returns the error reported to the caller after the last attempt.
func (x *execution) finalError(ctx context.Context, failure *verdict.Error) *verdict.Error {
	f := *failure
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Reason, f.Message = verdict.ReasonDeadlineExceeded, "the deadline passed before the answer was complete"
	case ctx.Err() != nil:
		f.Reason, f.Message = verdict.ReasonCancelled, "the caller went away"
	}
	if x.mayHaveRun && f.Verdict == verdict.NotRun {
		f.Verdict = verdict.MayHaveRun
	}
	ok := f.Verdict != verdict.NotRun || x.deliveredChunks == 0
	x.dispatcher.config.Invariants.Check(ok, invariant.NotRunVerdict, "request %s ended as not_run after %d chunks", x.request.ID, x.deliveredChunks)
	if f.Verdict == verdict.NotRun && f.RetryAfter == 0 && canSucceedLater(f.Reason) {
		f.RetryAfter = retry.Jitter(x.dispatcher.config.RetryAfter, routing.Mix(x.request.Keys.Fingerprint))
	}
	return &f
}

// canSucceedLater reports whether the same request can succeed if it is sent
// again later.
func canSucceedLater(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonPromptTooLong, verdict.ReasonBadRequest, verdict.ReasonDeadlineExceeded, verdict.ReasonCancelled:
		return false
	}
	return true
}
