package caller

import (
	"context"
	"errors"
	"time"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/edge/replica"
	"siskinstand.example/service/bootclock"
)

const (
	// connectionWaitShare is the share of its latency objective for which a request may wait for
	// a connection, counted from its arrival.
	connectionWaitShare = 0.85
	// lateWaitDivisor gives the wait of a request that has missed its objective, as a part of the
	// time left. maxWaitDivisor limits all waits, so that another replica can follow.
	lateWaitDivisor = 10
	maxWaitDivisor  = 3
	// maxConnectionWait is the longest wait. A replica that begins to leave or asks for a pause
	// meanwhile may still get the request within 0.5 s.
	maxConnectionWait = 400 * time.Millisecond
)

// connectionWait returns how long the request may wait for a connection to a replica that
// accepts no further one.
func (q *request) connectionWait() time.Duration {
	if q.isContinuation() {
		return min(q.continuationTime(), maxConnectionWait)
	}
	now := bootclock.Now()
	left := q.timeLeft(now)
	wait := time.Duration(connectionWaitShare*float64(q.route.Objective)) - (now - q.received)
	return max(0, min(max(wait, left/lateWaitDivisor), left/maxWaitDivisor, maxConnectionWait))
}

// noResponseOutcome returns the outcome of a send that got no response.
func (q *request) noResponseOutcome(ctx context.Context, err error) outcome {
	o := outcome{health: sendFailureOutcome(err), connectionErr: err, sent: true}
	var failure *verdict.Error
	if !errors.As(err, &failure) {
		failure = verdict.New(verdict.MayHaveRun, verdict.ReasonConnectionLost, "the send failed").WithCause(err)
	}
	o.err = failure
	if failure.Verdict == verdict.NotRun {
		o.sent = false
		o.err = failure.WithRetryAfter(q.retryAfterNoConnection(failure.RetryAfter))
	}
	if ctx.Err() != nil {
		// The connection was closed by the timeout or because the caller disconnected,
		// so the replica is not at fault.
		o.health = health.Served
		q.mayHaveRun = q.mayHaveRun || o.sent
		o.err = q.contextError(ctx)
		return o
	}
	o.mayHaveCrashed, o.aborted = o.sent, !endedByReplica(err)
	if o.sent {
		o.fault = replica.FaultOf(err)
	}
	return o
}

// sendFailureOutcome returns what a send without a response has revealed about its replica.
func sendFailureOutcome(err error) health.Outcome {
	if replica.IsAtLimit(err) {
		return health.AtLimit
	}
	var failure *connfault.Error
	if !errors.As(err, &failure) || failure.Failure == connfault.Reset {
		return connectionOutcome(err)
	}
	if failure.Effect.State == connfault.Unreachable {
		return health.Unreachable
	}
	return health.Served // the replica is not at fault
}

// retryAfterNoConnection returns when the caller of a request should return that got no connection
// to any replica: when one is expected to be free, or else after the objective. Jitter keeps the
// callers of other requests from returning at the same time.
func (q *request) retryAfterNoConnection(expected time.Duration) time.Duration {
	if expected == 0 {
		expected = q.route.Objective
	}
	wait := retry.Jitter(expected, placement.HashID(q.headers.AttemptID))
	return max(0, min(wait, q.timeLeft(bootclock.Now())/3))
}
