package control

import (
	"time"
)

const (
	// maxQueueShare is the share of its objective for which a request may wait for
	// a replica. It is refused before that once the prediction is not in time;
	// the rest is what a prompt of 200,000 tokens takes on six free replicas.
	maxQueueShare = 0.85
	// queueScanInterval is the shortest time between two looks at the waiting
	// requests. Reports of other hosts come every few milliseconds.
	queueScanInterval = 5 * time.Millisecond
	// olderRequestGrace is the time for which free replicas are left to an older
	// request at another host. Its report takes a few milliseconds.
	olderRequestGrace = 15 * time.Millisecond
	// maxQueueLength bounds the requests that wait; further ones are refused.
	maxQueueLength = 64
)

// placeOrQueue answers a request or lets it wait for a replica. Requests that
// wait elsewhere have the first choice.
func (l *Loop) placeOrQueue(now time.Duration, m placementMessage) {
	m.request.Request.OlderPromptQueued = l.ledger.OldestPeerWait(now) > 0
	m.request.Request.QueuedPrefill = l.queuedPrefillTime() + l.ledger.PeerQueuedPrefill(now)
	d := l.placeUnlessDraining(now, m.request)
	if d.refusal.mayQueue && len(l.queue) < maxQueueLength {
		l.queue = append(l.queue, m)
		l.scheduleReport(reportNow)
		return
	}
	m.reply <- d
}

// placeUnlessDraining places a request; at a host that ends soon none may wait.
func (l *Loop) placeUnlessDraining(now time.Duration, a PlacementRequest) decision {
	d := l.tryPlace(now, a)
	if d.refusal.mayQueue && l.drainStartedAt > 0 && now-l.drainStartedAt >= l.config.DrainQueueTime {
		return decision{refusal: Refusal{Reason: RefusedDraining, ReplicaCount: d.refusal.ReplicaCount}}
	}
	return d
}

// queuedPrefillTime returns the reading time of all that waits here.
func (l *Loop) queuedPrefillTime() time.Duration {
	var sum time.Duration
	for _, m := range l.queue {
		sum += l.prefillTime(m.request)
	}
	return sum
}

func (l *Loop) prefillTime(a PlacementRequest) time.Duration {
	model, ok := l.models[a.Service.Name]
	if !ok {
		return 0
	}
	return model.PartPrefill(a.Request.PromptTokens, 1)
}

// oldestQueuedAge returns the age of the oldest request that waits here, at least a
// millisecond, or 0.
func (l *Loop) oldestQueuedAge(now time.Duration) time.Duration {
	if len(l.queue) == 0 {
		return 0
	}
	return max(time.Millisecond, now-l.queue[0].receivedAt)
}

// placeQueued places those waiting requests that can be placed now, and
// refuses those that can no longer be in time.
func (l *Loop) placeQueued(now time.Duration) {
	if len(l.queue) == 0 || now-l.lastQueueScan < queueScanInterval {
		return
	}
	l.lastQueueScan = now
	elsewhere := l.ledger.OldestPeerWait(now)
	var ahead time.Duration
	rest := l.queue[:0]
	for _, m := range l.queue {
		if m.ctx.Err() != nil {
			m.reply <- decision{}
			l.scheduleReport(reportNow)
			continue
		}
		waited := now - m.receivedAt
		ask := m.request
		ask.Request.Objective -= waited
		ask.Request.TimeLeft -= waited
		ask.Request.Waited, ask.Request.QueuedPrefill = waited, ahead
		ask.Request.OlderPromptQueued = elsewhere > waited && (m.placeableSince == 0 || now-m.placeableSince < olderRequestGrace)
		d := l.placeUnlessDraining(now, ask)
		if d.refusal.blockedByOlder && m.placeableSince == 0 {
			m.placeableSince = now
		}
		if !d.refusal.blockedByOlder {
			m.placeableSince = 0
		}
		if d.refusal.mayQueue && float64(waited) < maxQueueShare*float64(m.request.Request.Objective) {
			rest = append(rest, m)
			ahead += l.prefillTime(m.request)
			continue
		}
		m.reply <- d
		l.scheduleReport(reportNow)
	}
	clear(l.queue[len(rest):])
	l.queue = rest
}
