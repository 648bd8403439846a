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

// maxRefusals is the number of candidates of a request.
const maxRefusals = 2

// execution is one request on its way through its attempts.
type execution struct {
	d         *Dispatcher
	r         *Request
	sink      Sink
	assembler *assembly.Assembler
	started   time.Time

	// text is the part of a model's answer that was delivered.
	text      []byte
	delivered int64
	offers    int
	retries   int
	// skip names endpoints that failed for this request, refused those that
	// refused it for lack of capacity.
	skip    []string
	refused []string
	// mayHaveRun is set once an attempt may have run; no later refusal of
	// another attempt makes the request not_run again.
	mayHaveRun bool
	firstToken bool
	// waiting is the start of the wait for a suspect's other candidate.
	waiting    time.Time
	objectives objectives
	// last is the failure of the latest attempt.
	last *verdict.Error
}

// target is the endpoint of one attempt.
type target struct {
	endpoint *sidecar.Endpoint
	isolated bool
	group    *group
}

func (x *execution) run(ctx context.Context) (Result, *verdict.Error) {
	for {
		t, failure := x.choose()
		if failure != nil {
			if x.awaitCandidate(ctx, failure) {
				continue
			}
			return Result{}, x.prefer(failure)
		}
		result, failure := x.attempt(ctx, t)
		if failure == nil {
			x.d.config.Suspects.Clear(x.r.Keys.Fingerprint)
			result.Attempts = x.offers
			return result, nil
		}
		x.note(t, failure)
		if !x.again(ctx, failure) {
			return Result{}, failure
		}
	}
}

// prefer returns the failure of the latest attempt instead of the mere lack of
// a further endpoint, because it says more.
func (x *execution) prefer(failure *verdict.Error) *verdict.Error {
	noCandidate := failure.Reason == verdict.ReasonNoEndpoint || failure.Reason == verdict.ReasonSuspectRequest
	if noCandidate && x.last != nil {
		return x.last
	}
	return failure
}

// A suspect may not go to a third endpoint, so it waits for its other candidate.
// The bound keeps a caller from waiting for an engine that stays down.
const (
	candidateWait = 5 * time.Second
	candidatePoll = 100 * time.Millisecond
)

// awaitCandidate waits for the other candidate of a suspect and reports whether
// to choose again.
func (x *execution) awaitCandidate(ctx context.Context, failure *verdict.Error) bool {
	if failure.Reason != verdict.ReasonSuspectRequest {
		return false
	}
	if x.waiting.IsZero() {
		x.waiting = time.Now()
	}
	if time.Since(x.waiting) >= candidateWait {
		return false
	}
	select {
	case <-time.After(candidatePoll):
		return true
	case <-ctx.Done():
		return false
	}
}

// choose picks the endpoint of the next attempt.
func (x *execution) choose() (target, *verdict.Error) {
	view := x.d.config.Control.View()
	pool, ok := view.Pools[x.r.Pool.Name]
	if !ok {
		return target{}, verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "pool %s no longer exists", x.r.Pool.Name)
	}
	standing := x.d.config.Suspects.Lookup(x.r.Keys.Fingerprint)
	if standing.Status == suspect.StatusRefuse {
		refusal := verdict.New(verdict.NotRun, verdict.ReasonCrashSuspect, "%d endpoints died while they ran this request", suspect.RefuseStrikes)
		return target{}, refusal.WithRetryAfter(standing.ExpiresIn)
	}
	skip := append(slices.Clone(x.skip), standing.CrashedEndpoints...)
	g, failure := x.planGroup(pool, skip)
	if failure != nil {
		return target{}, failure
	}
	if g != nil {
		return target{endpoint: g.members[0].endpoint, isolated: standing.Isolated(), group: g}, nil
	}
	if standing.Isolated() {
		// A candidate that was down may be back, so only those where the
		// request was running at the death are passed over.
		skip = standing.CrashedEndpoints
	}
	e := x.pick(pool, skip, standing.Isolated())
	if e == nil && standing.Isolated() {
		return target{}, verdict.New(verdict.NotRun, verdict.ReasonSuspectRequest, "the request was running when an endpoint died and its other candidate is not in service")
	}
	if e == nil {
		return target{}, x.noEndpoint(pool)
	}
	x.checkPlace(view, e)
	return target{endpoint: e, isolated: standing.Isolated()}, nil
}

func (x *execution) pick(pool *control.PoolView, skip []string, suspect bool) *sidecar.Endpoint {
	now := time.Now()
	c := pool.Pick(x.r.Keys, skip, suspect)
	load := func(i int) routing.Load {
		if i == routing.None {
			return routing.Load{}
		}
		return pool.Endpoints[i].RoutingLoad(now)
	}
	first, second := x.d.config.Routing.Order(c, x.r.Keys, x.r.PromptTokens, load(c.Prefix), load(c.Fingerprint))
	for _, i := range []int{first, second} {
		if i != routing.None && !slices.Contains(x.refused, pool.Endpoints[i].Name) {
			return pool.Endpoints[i]
		}
	}
	return nil
}

func (x *execution) checkPlace(view *control.View, e *sidecar.Endpoint) {
	tables := view.Config.Tables
	x.d.config.Invariants.Check(!tables.ZoneOut(e.Zone), invariant.ZoneOut, "request %s chose endpoint %s in zone %s, which is out", x.r.ID, e.Name, e.Zone)
	x.d.config.Invariants.Check(!tables.HostLeaving(e.Name), invariant.LeavingHost, "request %s chose endpoint %s, which is leaving", x.r.ID, e.Name)
}

func (x *execution) noEndpoint(pool *control.PoolView) *verdict.Error {
	if pool.Usable() == 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "pool %s has no endpoint in service", x.r.Pool.Name)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "no further endpoint of pool %s can run the request", x.r.Pool.Name)
}

// note draws conclusions on the endpoint from a failed attempt.
func (x *execution) note(t target, failure *verdict.Error) {
	x.last = failure
	if failure.Verdict != verdict.NotRun {
		x.mayHaveRun = true
	}
	switch failure.Reason {
	case verdict.ReasonOverloaded, verdict.ReasonDeadlineTooNear:
		x.refused = append(x.refused, t.endpoint.Name)
	case verdict.ReasonGroupMemberLost:
		// The lost member was noted where its hold failed.
	default:
		x.skip = append(x.skip, t.endpoint.Name)
	}
}

// again decides whether a further attempt follows and waits before it.
func (x *execution) again(ctx context.Context, failure *verdict.Error) bool {
	if ctx.Err() != nil || x.offers >= x.d.config.MaxAttempts || !failure.Verdict.CanRetry(x.r.Route.Repeatable) {
		return false
	}
	if len(x.refused) >= maxRefusals {
		return false
	}
	switch failure.Reason {
	case verdict.ReasonPromptTooLong, verdict.ReasonBadRequest, verdict.ReasonCrashSuspect, verdict.ReasonCancelled, verdict.ReasonDeadlineExceeded, verdict.ReasonInternal:
		return false
	}
	if failure.Verdict == verdict.NotRun {
		// Nothing ran, so the next candidate is tried without delay.
		return true
	}
	if !x.canResume() || !x.d.takeRetry(x.r.Pool.Name) {
		return false
	}
	x.d.metrics.retries.Inc(1)
	wait := retry.Backoff(x.d.config.Backoff, x.d.config.BackoffLimit, x.retries, routing.Mix(x.r.Keys.Fingerprint+uint64(x.offers)))
	x.retries++
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// canResume prepares the next attempt after one that may have run. A model
// continues at the exact position; a plain service starts again, which is
// possible as long as the caller has seen nothing.
func (x *execution) canResume() bool {
	if x.r.Route.Model != "" || x.delivered == 0 {
		return true
	}
	if !x.sink.Restart() {
		return false
	}
	x.assembler = x.assembler.Restarted()
	x.delivered = 0
	return true
}

// finalError is what the caller learns after the last attempt.
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
	ok := f.Verdict != verdict.NotRun || x.delivered == 0
	x.d.config.Invariants.Check(ok, invariant.NotRunVerdict, "request %s ended as not_run after %d chunks", x.r.ID, x.delivered)
	if f.Verdict == verdict.NotRun && f.RetryAfter == 0 && retryable(f.Reason) {
		f.RetryAfter = retry.Jitter(x.d.config.RetryAfter, routing.Mix(x.r.Keys.Fingerprint))
	}
	return &f
}

// retryable reports whether the same request can succeed later.
func retryable(r verdict.Reason) bool {
	switch r {
	case verdict.ReasonPromptTooLong, verdict.ReasonBadRequest, verdict.ReasonDeadlineExceeded, verdict.ReasonCancelled:
		return false
	}
	return true
}
