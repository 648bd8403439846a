package control

import (
	"time"
)

const (
	// waitShare is the share of its objective for which a request may wait for
	// a replica. It is refused before that once the prediction is not in time;
	// the rest is what a prompt of 200,000 tokens takes on six free replicas.
	waitShare = 0.85
	// waitInterval is the shortest time between two looks at the waiting
	// requests. Reports of other hosts come every few milliseconds.
	waitInterval = 5 * time.Millisecond
	// firstChoice is the time for which free replicas are left to an older
	// request at another host. Its report takes a few milliseconds.
	firstChoice = 15 * time.Millisecond
	// maxWaiting bounds the requests that wait; further ones are refused.
	maxWaiting = 64
)

// placeOrWait answers a request or lets it wait for a replica. Requests that
// wait elsewhere have the first choice.
func (l *Loop) placeOrWait(now time.Duration, m place) {
	m.ask.Request.OlderPromptQueued = l.ledger.OldestPeerWait(now) > 0
	m.ask.Request.QueuedPrefill = l.waitRead() + l.ledger.PeerQueuedPrefill(now)
	d := l.placeOrLeave(now, m.ask)
	if d.refusal.wait && len(l.waiting) < maxWaiting {
		l.waiting = append(l.waiting, m)
		l.changed(urgent)
		return
	}
	m.reply <- d
}

// placeOrLeave places a request; at a host that ends soon none may wait.
func (l *Loop) placeOrLeave(now time.Duration, a Ask) decision {
	d := l.place(now, a)
	if d.refusal.wait && l.drainedAt > 0 && now-l.drainedAt >= l.config.LastWait {
		return decision{refusal: Refusal{Reason: RefusedLeaving, Replicas: d.refusal.Replicas}}
	}
	return d
}

// waitRead returns the reading time of all that waits here.
func (l *Loop) waitRead() time.Duration {
	var sum time.Duration
	for _, m := range l.waiting {
		sum += l.readTime(m.ask)
	}
	return sum
}

func (l *Loop) readTime(a Ask) time.Duration {
	model, ok := l.models[a.Service.Name]
	if !ok {
		return 0
	}
	return model.PartPrefill(a.Request.PromptTokens, 1)
}

// oldestWait returns the age of the oldest request that waits here, at least a
// millisecond, or 0.
func (l *Loop) oldestWait(now time.Duration) time.Duration {
	if len(l.waiting) == 0 {
		return 0
	}
	return max(time.Millisecond, now-l.waiting[0].asked)
}

// placeWaiting places those waiting requests that can be placed now, and
// refuses those that can no longer be in time.
func (l *Loop) placeWaiting(now time.Duration) {
	if len(l.waiting) == 0 || now-l.tried < waitInterval {
		return
	}
	l.tried = now
	elsewhere := l.ledger.OldestPeerWait(now)
	var ahead time.Duration
	rest := l.waiting[:0]
	for _, m := range l.waiting {
		if m.ctx.Err() != nil {
			m.reply <- decision{}
			l.changed(urgent)
			continue
		}
		waited := now - m.asked
		ask := m.ask
		ask.Request.Objective -= waited
		ask.Request.TimeLeft -= waited
		ask.Request.Waited, ask.Request.QueuedPrefill = waited, ahead
		ask.Request.OlderPromptQueued = elsewhere > waited && (m.possible == 0 || now-m.possible < firstChoice)
		d := l.placeOrLeave(now, ask)
		if d.refusal.possible && m.possible == 0 {
			m.possible = now
		}
		if !d.refusal.possible {
			m.possible = 0
		}
		if d.refusal.wait && float64(waited) < waitShare*float64(m.ask.Request.Objective) {
			rest = append(rest, m)
			ahead += l.readTime(m.ask)
			continue
		}
		m.reply <- d
		l.changed(urgent)
	}
	clear(l.waiting[len(rest):])
	l.waiting = rest
}
