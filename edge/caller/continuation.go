package caller

import (
	"context"
	"time"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/edge/control"
	"siskinstand.example/service/bootclock"
)

// Callers abandon a stream after the longest of these silences, by the protocol of the platform.
const (
	minSilence          = 2 * time.Second
	objectivesOfSilence = 4
	gapsOfSilence       = 8
)

const (
	// continuationInterval is the time between two attempts to find a replica for a stream that
	// goes on elsewhere.
	continuationInterval = 100 * time.Millisecond
	// refusalsBeforeReturn is the number of refused attempts after which a stream may go on at a
	// replica that has failed before.
	refusalsBeforeReturn = 3
)

// isContinuation reports whether the caller has events of a stream, so that a failure can only be
// shown to it by the end of its connection.
func (q *request) isContinuation() bool { return q.responseStarted && q.eventCount > 0 }

// continuationTime returns how long a stream that has broken off may wait for a replica or a
// connection: until its caller would abandon it, less the time to the next event. It is 0 for
// other requests.
func (q *request) continuationTime() time.Duration {
	if !q.isContinuation() || q.cannotContinue() {
		return 0
	}
	now := bootclock.Now()
	silence := max(minSilence, objectivesOfSilence*q.route.Objective, gapsOfSilence*q.route.GapObjective)
	return max(0, min(q.lastWrite+silence-now, q.timeLeft(now))-q.route.Objective)
}

// isFinal reports whether a refusal will not change while a continuation waits.
func isFinal(r control.RefusalReason) bool {
	return r == control.RefusedCrashSuspect || r == control.RefusedSuspectedPart
}

// awaitContinuation waits until a continuation may try again. It returns false if it has no time
// left to wait.
func (q *request) awaitContinuation(ctx context.Context) bool {
	left := q.continuationTime()
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(left, continuationInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// excludedReplicas returns the replicas to which the request is not sent again. A continuation
// returns to one that has failed before if no other takes it: it may have reset one connection
// only.
func (q *request) excludedReplicas() []string {
	if q.mayReturn {
		return nil
	}
	return q.triedReplicas
}

// place asks for a replica for the next send. For a continuation, it asks again as long as that may
// wait.
func (q *request) place(ctx context.Context) (*destination, *verdict.Error) {
	for refusals := 1; ; refusals++ {
		d, refusal, err := q.tryPlace(ctx)
		if err == nil || ctx.Err() != nil || isFinal(refusal) || !q.awaitContinuation(ctx) {
			return d, err
		}
		q.mayReturn = q.mayReturn || refusals >= refusalsBeforeReturn
	}
}
