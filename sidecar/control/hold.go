package control

import (
	"context"
	"time"

	"siskinstand.example/coord/group"
	"siskinstand.example/coord/memory"
	"siskinstand.example/coord/verdict"
)

// holdRetryAfter is the retry delay sent with a hold that is refused as
// overloaded.
const holdRetryAfter = time.Second

// AcquireHold reserves memory for one group member, or renews the reservation.
func (l *Loop) AcquireHold(ctx context.Context, h group.Hold, timeToLive time.Duration) *verdict.Error {
	reply := make(chan holdResult, 1)
	result, err := sendAndWait(l, acquireHoldMessage{h, timeToLive, reply}, reply)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "sidecar has stopped")
	}
	if result.refusal != nil || result.usedByAttempt {
		return result.refusal
	}
	timeToLive = min(timeToLive, group.MaxTimeToLive)
	if err := l.config.Engine.Hold(ctx, h.ID, h.Tokens, timeToLive); err != nil {
		l.ReleaseHold(h.ID)
		return verdict.New(verdict.NotRun, verdict.ReasonEngineFailed, "engine refused the hold").WithCause(err)
	}
	return nil
}

// holdResult is the loop's response to a hold request. usedByAttempt means that
// the hold has become the reservation of the group's attempt, so it must not be
// renewed in the engine.
type holdResult struct {
	refusal       *verdict.Error
	usedByAttempt bool
}

type acquireHoldMessage struct {
	hold       group.Hold
	timeToLive time.Duration
	reply      chan<- holdResult
}

func (m acquireHoldMessage) apply(l *Loop, now time.Time) {
	for _, a := range l.attempts {
		if a.Offer.HoldID == m.hold.ID {
			m.reply <- holdResult{usedByAttempt: true}
			return
		}
	}
	m.reply <- holdResult{refusal: l.tryAcquireHold(now, m.hold, m.timeToLive)}
}

func (l *Loop) tryAcquireHold(now time.Time, h group.Hold, timeToLive time.Duration) *verdict.Error {
	_, renewal := l.holds.Get(h.ID)
	if refusal := l.endpointRefusal(); refusal != nil && (!renewal || l.phase != phaseServing) {
		return refusal
	}
	l.refreshCapacity()
	outcome := l.holds.Acquire(now, h, timeToLive, l.availableForHold())
	if !outcome.OK() {
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "no hold of %d tokens: %s", h.Tokens, outcome).WithRetryAfter(holdRetryAfter)
	}
	held, _ := l.holds.Get(h.ID)
	l.ledger.Put(now, memory.Entry{ID: h.ID, Kind: memory.KindHold, Owner: h.Group, Tokens: h.Tokens, Expires: held.Expires})
	return nil
}

// availableForHold returns the number of tokens that a new hold may reserve.
// Like a prompt above the concurrency limit, a hold may exceed the limit if the
// endpoint has no running work and no other hold; otherwise a pool that has
// just started would refuse every group.
func (l *Loop) availableForHold() int64 {
	load, held := l.queue.Load(), l.holds.Tokens()
	free := l.monitor.totalTokens - l.ledger.UnaccountedTokens() - held - load.ReservedTokens
	if load.RunningItems == 0 && held == 0 {
		return free
	}
	return min(free, l.limiter.Limit()-held-load.ReservedTokens)
}

// ReleaseHold releases a hold and frees its memory. It has no effect if the hold
// is unknown or has become the reservation of an attempt.
func (l *Loop) ReleaseHold(id string) { _ = l.send(releaseHoldMessage{id}) }

type releaseHoldMessage struct{ id string }

func (m releaseHoldMessage) apply(l *Loop, _ time.Time) {
	if l.holds.Release(m.id) {
		l.freeHoldMemory(m.id)
	}
}

func (l *Loop) freeHoldMemory(id string) {
	l.ledger.Release(id)
	l.applyMemoryAction(memory.Action{Kind: memory.ActionFree, Allocation: memory.Allocation{ID: id, Kind: memory.KindHold}})
}

func (l *Loop) expireHolds(now time.Time) {
	for _, h := range l.holds.Expire(now) {
		l.freeHoldMemory(h.ID)
	}
}

// convertHold turns the hold of a group's leader into the attempt's
// reservation. The engine keeps its hold until it is freed right before the run.
func (l *Loop) convertHold(now time.Time, a *Attempt) *verdict.Error {
	id := a.Offer.HoldID
	if id == "" {
		return nil
	}
	h, ok := l.holds.Get(id)
	if !ok || !now.Before(h.Expires) {
		return verdict.New(verdict.NotRun, verdict.ReasonGroupMemberLost, "hold %s has expired", id)
	}
	a.Offer.HoldTokens = h.Tokens
	l.holds.Release(id)
	l.ledger.Renew(id, a.Offer.Deadline.Add(outcomeGracePeriod))
	return nil
}

// releaseAttemptHold frees the hold that became the attempt's reservation, if
// there is one.
func (l *Loop) releaseAttemptHold(a *Attempt) {
	if a.Offer.HoldTokens > 0 {
		l.freeHoldMemory(a.Offer.HoldID)
	}
}
