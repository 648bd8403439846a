package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/edge/control"
	"siskinstand.example/edge/replica"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
	"siskinstand.example/service/http1"
)

// outcome is the result of sending a request to one replica.
type outcome struct {
	// err is nil if the response was passed on to the caller or is in response.
	err *verdict.Error
	// response is the replica's own error response, which is passed on to the caller
	// if no other send follows.
	response *bufferedResponse
	health   health.Outcome
	// connectionErr is the error of a send that got no connection or no response.
	connectionErr error
	// mayHaveCrashed is set if the replica may have crashed while it ran the request: it sent
	// no response, or one that did not end properly.
	mayHaveCrashed bool
	// aborted is set if this host ended the exchange because the response was invalid.
	aborted bool
	// began is set if a complete event of a stream, or the head of another response, has
	// arrived.
	began bool
	// finished is set if the replica has run the request to its end without an error.
	finished bool
	// failedHelper is the helper that the replica named as the cause of a rejection.
	failedHelper control.Target
	// sent is set if the replica may have received any part of the request.
	sent bool
	// fault says why the response is not acceptable, if it is not.
	fault replica.Fault
}

// isNotRun reports whether the replica has not run the request and never will.
func (o outcome) isNotRun() bool { return o.err != nil && o.err.Verdict == verdict.NotRun }

// sendUntilAnswered sends the request to replicas until one responds or no further send
// is allowed, and writes the final response.
func (q *request) sendUntilAnswered(ctx context.Context) {
	var last outcome
	var next *destination
	for {
		if next == nil {
			var err *verdict.Error
			if next, err = q.place(ctx); err != nil {
				if last.err == nil || ctx.Err() != nil {
					last.err = err
				}
				break
			}
		}
		assignment := next.assignment
		last, next = q.send(ctx, *next)
		if last.err == nil && last.response == nil {
			if err := q.awaitRead(); err != nil {
				q.writeError(err)
			}
			return
		}
		if canRetry := q.recordFailure(ctx, assignment, last); !canRetry {
			q.giveUp(next)
			break
		}
		if next == nil && last.isNotRun() {
			q.awaitContinuation(ctx)
		}
	}
	q.writeFailure(ctx, last)
}

// tryPlace asks for a replica for the next send. If there is none, it returns the reason.
func (q *request) tryPlace(ctx context.Context) (*destination, control.RefusalReason, *verdict.Error) {
	assignment, refusal, err := q.server.config.Loop.Place(ctx, q.placementRequest())
	if err != nil {
		return nil, "", q.contextError(ctx)
	}
	if refusal.Reason != "" {
		q.refusedPart = refusal.Part
		klog.V(1).InfoS("not placed", "request_id", q.headers.AttemptID, "reason", refusal.Reason, "part", formatPart(refusal.Part), "predicted_ms", refusal.PredictedFirstEvent.Milliseconds(),
			"retry_after_ms", refusal.RetryAfter.Milliseconds(), "replicas", refusal.ReplicaCount, "sends", q.sendCount, "account_share", refusal.AccountShare)
		return nil, refusal.Reason, q.refusalError(refusal)
	}
	klog.V(1).InfoS("placed", append([]any{"request_id", q.headers.AttemptID, "replica", assignment.Target.ID, "helpers", assignment.HelperIDs(), "predicted_ms", assignment.PredictedFirstEvent.Milliseconds(),
		"waited_ms", (bootclock.Now() - q.received).Milliseconds(), "streams", assignment.Load.Streams, "tokens", assignment.Load.Tokens, "read_ms", assignment.Load.QueuedPrefill.Milliseconds(), "sends", q.sendCount, "account_share", assignment.AccountShare}, assignment.Cost.LogFields()...)...)
	return &destination{assignment: assignment}, "", nil
}

// placementRequest returns the input for the choice of the next replica.
func (q *request) placementRequest() control.PlacementRequest {
	req := control.PlacementRequest{
		ID: q.headers.AttemptID, Service: q.service, Fingerprint: q.fingerprint, Parts: q.parts, Excluded: q.excludedReplicas(), IsRetry: q.sendCount > 0, BodyBytes: q.bodyLength(),
		Request: placement.Request{Service: q.service.Name, Hash: placement.HashID(q.headers.AttemptID), Objective: q.route.Objective, MaxGap: q.route.GapObjective, TimeLeft: q.timeLeft(bootclock.Now())},
		Regions: q.regions(), Route: q.route.Name,
	}
	if q.account != nil {
		req.Account = q.account.Name
	}
	if q.route.HasPrompt {
		req.OutputHint = q.headers.OutputTokensHint
		req.Request.PromptTokens, req.Request.OutputTokens = q.headers.PromptTokens, q.headers.MaxOutputTokens
		req.Request.LateAnyway = q.hasWaitedBefore()
	}
	return req
}

// regions returns the regions that both the route and the client account allow.
func (q *request) regions() []string {
	regions := q.route.Regions
	if q.account == nil || len(q.account.Regions) == 0 {
		return regions
	}
	if len(regions) == 0 {
		return q.account.Regions
	}
	allowed := []string{"(none)"} // an empty list would allow all regions
	for _, r := range regions {
		for _, a := range q.account.Regions {
			if r == a {
				allowed = append(allowed, r)
			}
		}
	}
	return allowed
}

// recordFailure records a failed send and reports whether another send is allowed.
func (q *request) recordFailure(ctx context.Context, assignment control.Assignment, o outcome) bool {
	q.triedReplicas = append(q.triedReplicas, assignment.Target.ID)
	// After an error response of the replica, the request may have run, so only repeatable
	// routes allow a retry. The failed run has left no result that the retry could duplicate.
	v := verdict.MayHaveRun
	if o.err != nil {
		v = o.err.Verdict
	}
	if v != verdict.NotRun {
		q.mayHaveRun = true
	}
	if o.sent {
		q.sendCount++
	}
	isLeaving := o.err != nil && o.err.Reason == verdict.ReasonShuttingDown
	mayTryMore := len(q.triedReplicas) < maxReplicasTried || q.continuationTime() > 0
	canRetry := ctx.Err() == nil && !isLeaving && !q.cannotContinue() && v.CanRetry(q.route.Repeatable()) && q.sendCount < q.route.MaxAttempts && mayTryMore
	cause := error(o.err)
	if o.err == nil {
		cause = errReplicaFailed
	}
	klog.V(1).InfoS("send failed", "request_id", q.headers.AttemptID, "replica", assignment.Target.ID, "verdict", v, "outcome", o.health, "again", canRetry, "err", cause)
	return canRetry
}

// cannotContinue reports whether the caller already has events of the stream, none of which
// has an ID. Another replica would send the stream from its start.
func (q *request) cannotContinue() bool { return q.eventCount > 0 && q.lastEventID == "" }

// maxReplicasTried is the maximum number of replicas tried for one request, including those
// that could not be reached.
const maxReplicasTried = 4

var errReplicaFailed = errors.New("replica returned an error response")

// writeFailure writes the final response of a request that did not succeed.
func (q *request) writeFailure(ctx context.Context, last outcome) {
	if last.response != nil && !q.responseStarted {
		if err := q.writeResponse(last.response); err != nil {
			q.writeError(err)
		}
		return
	}
	err := last.err
	if err == nil {
		err = q.contextError(ctx)
	}
	if q.mayHaveRun && err.Verdict == verdict.NotRun {
		err = verdict.New(verdict.MayHaveRun, err.Reason, "%s", err.Message).WithCause(err.Err)
	}
	q.discardUnread()
	q.writeError(err)
}

// contextError returns the error for a request whose context has ended.
func (q *request) contextError(ctx context.Context) *verdict.Error {
	if err := q.readerError(); err != nil {
		return err
	}
	v := verdict.NotRun
	if q.mayHaveRun {
		v = verdict.MayHaveRun
	}
	if q.httpRequest.Context().Err() != nil {
		return verdict.New(v, verdict.ReasonCancelled, "%s", q.disconnectCause())
	}
	if q.server.ended.Err() != nil && q.timeLeft(bootclock.Now()) > 0 {
		return verdict.New(v, verdict.ReasonShuttingDown, "the shutdown time of this host is over").WithRetryAfter(otherHostRetryAfter)
	}
	return verdict.New(v, verdict.ReasonDeadlineExceeded, "the time limit has passed").WithCause(ctx.Err())
}

// disconnectCause returns, for the log, which side closed the caller's connection.
func (q *request) disconnectCause() string {
	if http1.ClosedByServer(q.httpRequest.Context()) {
		return "this host closed the caller's connection"
	}
	return "the caller left"
}

// refusalError converts a refusal of the control loop into the error for the caller.
func (q *request) refusalError(r control.Refusal) *verdict.Error {
	reason := verdict.ReasonOverloaded
	switch r.Reason {
	case control.RefusedDraining:
		return leavingError()
	case control.RefusedNoReplica:
		reason = verdict.ReasonNoEndpoint
	case control.RefusedCrashSuspect, control.RefusedSuspectedPart, control.RefusedUnresolvedCrash:
		reason = verdict.ReasonCrashSuspect
	}
	// Jitter keeps callers that are refused together from retrying together.
	wait := min(retry.Jitter(r.RetryAfter, placement.HashID(q.headers.AttemptID)), q.timeLeft(bootclock.Now())/3)
	return verdict.New(verdict.NotRun, reason, "%s", r.Reason).WithRetryAfter(max(wait, 0))
}

// send sends the request to one replica. It returns another destination if the request is to move
// there because the replica is silent.
func (q *request) send(ctx context.Context, d destination) (o outcome, next *destination) {
	loop, assignment := q.server.config.Loop, d.assignment
	eventsBefore := q.eventCount
	defer func() {
		q.recordFault(ctx, assignment, o)
		loop.RecordSendEnd(assignment, control.SendResult{Outcome: o.health, ConnectionErr: o.connectionErr, MayHaveCrashed: o.mayHaveCrashed, Aborted: o.aborted, Began: o.began, Finished: o.finished, Events: q.eventCount - eventsBefore}, q.fingerprint)
		if o.failedHelper.ID != "" {
			// Without an assignment ID, only the outcome for the helper is recorded.
			loop.RecordSendEnd(control.Assignment{Target: o.failedHelper}, control.SendResult{Outcome: health.NoHelp}, q.fingerprint)
		}
	}()
	helpers := make([]platform.Helper, len(assignment.Helpers))
	for i, h := range assignment.Helpers {
		helpers[i] = platform.Helper{Address: h.Address}
	}
	if len(assignment.HelperReservations) > 0 {
		reservation, err := q.reserve(ctx, assignment, helpers)
		if err != nil {
			o = outcome{err: verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "memory is not free").WithCause(err).WithRetryAfter(time.Second), health: health.Served}
			return o, nil
		}
		defer reservation.Release()
		usable, err := loop.IsUsable(ctx, q.service.Name, assignment.Target)
		switch {
		case err != nil:
			o = outcome{err: q.contextError(ctx), health: health.Served}
			return o, nil
		case !usable:
			o = outcome{err: verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "the replica left while memory was reserved").WithRetryAfter(q.route.Objective), health: health.Served}
			return o, nil
		}
	}
	if !q.canEndBeforeShutdown(assignment) {
		o = outcome{err: leavingError(), health: health.Served}
		return o, nil
	}
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := q.newMove(ctx, assignment, cancel)
	r := q.replicaRequest(assignment, helpers)
	r.Connection, r.OnSilence = d.connection, m.offer
	o = q.exchange(ctx, sendCtx, assignment, r)
	if next = m.end(); next != nil {
		if o.err == nil {
			q.giveUp(next) // the response ended as the move began
			return o, nil
		}
		o.health = health.Moved
	}
	return o, next
}

// exchange sends the request in sendCtx, which ends before ctx if the request moves to another
// replica, and passes on the response.
func (q *request) exchange(ctx, sendCtx context.Context, assignment control.Assignment, r replica.Request) outcome {
	q.sendBegan = true
	resp, err := q.server.config.Pool.Do(sendCtx, r)
	if err != nil {
		return q.noResponseOutcome(ctx, err)
	}
	defer resp.Close()
	o := q.handleResponse(ctx, assignment, resp)
	o.sent = true
	return o
}

// reserve reserves memory at the helpers that need it, and sets their reservation IDs.
func (q *request) reserve(ctx context.Context, assignment control.Assignment, helpers []platform.Helper) (*replica.Reservation, error) {
	var targets []replica.ReservationTarget
	// Each send has its own ID, since the release for an earlier send may arrive late.
	reservationID := fmt.Sprintf("e%s-%d", q.headers.AttemptID, len(q.triedReplicas))
	for i, h := range assignment.Helpers {
		if tokens := assignment.HelperReservations[h.ID]; tokens > 0 {
			helpers[i].ReservationID = reservationID
			loop := q.server.config.Loop
			targets = append(targets, replica.ReservationTarget{
				ID: h.ID, Address: h.Address, Tokens: tokens,
				OnLeaving: func() { loop.RecordLeaving(h, q.headers.AttemptID) },
				OnPause:   func(d time.Duration) { loop.RecordPause(h, d, q.headers.AttemptID) },
			})
		}
	}
	return q.server.config.Pool.Reserve(ctx, reservationID, targets)
}

// lengthPriorities are the priorities of short, medium and long prompts at a replica.
// Prompts are classified by their size relative to the service's mean prompt.
var lengthPriorities = [...]int{3, 5, 6}

// priority returns the priority of the request at the replica, or -1 for none.
func (q *request) priority() int {
	if !q.route.HasPrompt || q.service.Engine == nil || q.service.Engine.MeanPromptTokens <= 0 {
		return -1
	}
	switch mean := q.service.Engine.MeanPromptTokens; {
	case q.headers.PromptTokens <= 2*mean:
		return lengthPriorities[0]
	case q.headers.PromptTokens <= 8*mean:
		return lengthPriorities[1]
	}
	return lengthPriorities[2]
}

// replicaRequest returns the request to send to the assigned replica.
func (q *request) replicaRequest(assignment control.Assignment, helpers []platform.Helper) replica.Request {
	options := platform.ForwardOptions{
		ReplicaID: assignment.Target.ID, TimeLeft: q.timeLeft(bootclock.Now()), StripKey: q.carriesKey(),
		Priority: q.priority(), Helpers: helpers, LastEventID: q.lastEventID,
	}
	if q.account != nil {
		options.Account = q.account.Name
	}
	body, moreBody := q.firstBodyPart()
	return replica.Request{
		Address: assignment.Target.Address, Method: q.httpRequest.Method, Target: requestTarget(q.httpRequest), Host: q.httpRequest.Host,
		Headers: platform.ForwardHeaders(q.httpRequest.Header, options), Body: body, MoreBody: moreBody, AttemptID: q.headers.AttemptID,
		AtMostOnce: q.route.Repeat == catalog.RepeatNever, IsContinuation: q.isContinuation(), Kind: q.route.Name, Connections: assignment.Connections, MaxConnectionWait: q.connectionWait(),
	}
}

// carriesKey reports whether the request has the key of a client account, also on a route that
// requires none. Other credentials are the application's own.
func (q *request) carriesKey() bool {
	c := q.view.Catalog
	return c.NeedsKey(q.route) || c.Account(q.headers.Key) != nil
}
