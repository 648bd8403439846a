package control

import (
	"context"
	"time"

	"siskinstand.example/coord/group"
	"siskinstand.example/coord/memory"
	"siskinstand.example/coord/verdict"
)

// holdRetry is the time after which a refused hold can be asked for again.
const holdRetry = time.Second

// AcquireHold reserves memory for one member of a group, or renews the reservation.
func (l *Loop) AcquireHold(ctx context.Context, h group.Hold, timeToLive time.Duration) *verdict.Error {
	answer := make(chan holdAnswer, 1)
	a, err := call(l, holdMessage{h, timeToLive, answer}, answer)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "sidecar has stopped")
	}
	if a.refusal != nil || a.taken {
		return a.refusal
	}
	timeToLive = min(timeToLive, group.MaxTimeToLive)
	if err := l.config.Engine.Hold(ctx, h.ID, h.Tokens, timeToLive); err != nil {
		l.ReleaseHold(h.ID)
		return verdict.New(verdict.NotRun, verdict.ReasonEngineFailed, "engine refused the hold").WithCause(err)
	}
	return nil
}

// holdAnswer says whether memory is held. A taken hold has become the
// reservation of the group's attempt and must not be renewed in the engine.
type holdAnswer struct {
	refusal *verdict.Error
	taken   bool
}

type holdMessage struct {
	hold       group.Hold
	timeToLive time.Duration
	answer     chan<- holdAnswer
}

func (m holdMessage) apply(l *Loop, now time.Time) {
	for _, t := range l.attempts {
		if t.Offer.HoldID == m.hold.ID {
			m.answer <- holdAnswer{taken: true}
			return
		}
	}
	m.answer <- holdAnswer{refusal: l.acquire(now, m.hold, m.timeToLive)}
}

func (l *Loop) acquire(now time.Time, h group.Hold, timeToLive time.Duration) *verdict.Error {
	_, renewal := l.holds.Get(h.ID)
	if why := l.open(); why != nil && (!renewal || l.phase != phaseServing) {
		return why
	}
	l.refreshCapacity()
	outcome := l.holds.Acquire(now, h, timeToLive, l.freeForHold())
	if !outcome.OK() {
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "no hold of %d tokens: %s", h.Tokens, outcome).WithRetryAfter(holdRetry)
	}
	held, _ := l.holds.Get(h.ID)
	l.ledger.Put(now, memory.Entry{ID: h.ID, Kind: memory.KindHold, Owner: h.Group, Tokens: h.Tokens, Expires: held.Expires})
	return nil
}

// freeForHold is the room for a hold. Like a prompt above the concurrency limit,
// a hold may exceed the limit on an endpoint that runs and holds nothing else;
// otherwise a pool that has just started refuses every group.
func (l *Loop) freeForHold() int64 {
	load, held := l.queue.Load(), l.holds.Tokens()
	free := l.watch.total - l.ledger.UnaccountedTokens() - held - load.ReservedTokens
	if load.RunningItems == 0 && held == 0 {
		return free
	}
	return min(free, l.limiter.Limit()-held-load.ReservedTokens)
}

// ReleaseHold ends a hold.
func (l *Loop) ReleaseHold(id string) { _ = l.send(releaseMessage{id}) }

type releaseMessage struct{ id string }

func (m releaseMessage) apply(l *Loop, _ time.Time) {
	if l.holds.Release(m.id) {
		l.freeHold(m.id)
	}
}

func (l *Loop) freeHold(id string) {
	l.ledger.Release(id)
	l.order(memory.Action{Kind: memory.ActionFree, Allocation: memory.Allocation{ID: id, Kind: memory.KindHold}})
}

func (l *Loop) expireHolds(now time.Time) {
	for _, h := range l.holds.Expire(now) {
		l.freeHold(h.ID)
	}
}

// takeHold turns the hold of a group's leader into the attempt's reservation.
// The engine keeps its own hold until the run replaces it.
func (l *Loop) takeHold(now time.Time, t *Attempt) *verdict.Error {
	id := t.Offer.HoldID
	if id == "" {
		return nil
	}
	h, ok := l.holds.Get(id)
	if !ok || !now.Before(h.Expires) {
		return verdict.New(verdict.NotRun, verdict.ReasonGroupMemberLost, "hold %s has expired", id)
	}
	t.Offer.HoldTokens = h.Tokens
	l.holds.Release(id)
	l.ledger.Renew(id, t.Offer.Deadline.Add(outcomeGrace))
	return nil
}

// endHold frees the hold that became the attempt's reservation.
func (l *Loop) endHold(t *Attempt) {
	if t.Offer.HoldTokens > 0 {
		l.freeHold(t.Offer.HoldID)
	}
}
