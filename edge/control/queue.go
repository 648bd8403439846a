package control

import (
	"time"
)

const (
	// maxQueueShare is the share of its latency objective for which a request may wait
	// for a replica. The rest is the time that a prompt of 200,000 tokens takes on six
	// free replicas. A request is refused earlier if its prediction exceeds
	// placement.Policy.LongLateFactor times what is left of the objective, or exceeds the
	// time until its deadline.
	maxQueueShare = 0.85
	// queueScanInterval is the shortest time between two scans of the queue. Without it,
	// every peer report would cause a scan, and they arrive every few milliseconds.
	queueScanInterval = 5 * time.Millisecond
	// olderRequestGrace is how long a queued request leaves free replicas to an older one
	// that is queued at another host. The reports of that host take a few milliseconds to
	// arrive.
	olderRequestGrace = 15 * time.Millisecond
	// maxQueueLength is the maximum number of queued requests; further ones are refused.
	maxQueueLength = 64
)

// placeOrQueue places or refuses a request, or queues it until a replica is free. A large
// prompt is not placed while another one is queued at another host, and it is queued only
// if the prompts that are queued here and at other hosts leave enough time for it.
func (l *Loop) placeOrQueue(now time.Duration, m placementMessage) {
	m.request.Request.OlderPromptQueued = l.ledger.OldestPeerWait(now) > 0
	m.request.Request.QueuedPrefill = l.queuedPrefillTime() + l.ledger.PeerQueuedPrefill(now)
	d := l.tryPlaceWithDrainLimit(now, m.request)
	if l.queueForSlot(now, m, d.refusal) {
		return
	}
	if d.refusal.mayQueue && !d.refusal.waitsForSlot && len(l.queue) < maxQueueLength {
		l.queue = append(l.queue, m)
		l.scheduleReport(reportNow)
		return
	}
	l.answer(now, m, d)
}

// tryPlaceWithDrainLimit calls tryPlace. Once DrainQueueTime has passed at a draining host,
// it also refuses requests that would have to wait.
func (l *Loop) tryPlaceWithDrainLimit(now time.Duration, req PlacementRequest) decision {
	d := l.tryPlace(now, req)
	if d.refusal.Reason != "" {
		l.recordContention(now, req, &d.refusal)
	}
	if d.refusal.mayQueue && l.drainStartedAt > 0 && now-l.drainStartedAt >= l.config.DrainQueueTime {
		return decision{refusal: Refusal{Reason: RefusedDraining, ReplicaCount: d.refusal.ReplicaCount}}
	}
	return d
}

// queuedPrefillTime returns the total prefill time of the queued requests.
func (l *Loop) queuedPrefillTime() time.Duration {
	var sum time.Duration
	for _, m := range l.queue {
		sum += l.prefillTime(m.request)
	}
	return sum
}

func (l *Loop) prefillTime(req PlacementRequest) time.Duration {
	model, ok := l.models[req.Service.Name]
	if !ok {
		return 0
	}
	return model.PartPrefill(req.Request.PromptTokens, 1)
}

// oldestQueuedAge returns the age of the oldest queued request, at least 1 ms, or 0 if
// the queue is empty.
func (l *Loop) oldestQueuedAge(now time.Duration) time.Duration {
	if len(l.queue) == 0 {
		return 0
	}
	oldest := l.queue[0].receivedAt
	for _, m := range l.queue {
		oldest = min(oldest, m.receivedAt)
	}
	return max(time.Millisecond, now-oldest)
}

// placeQueued places the queued requests that can be placed now, in the order of fairOrder. It refuses others that have
// waited for maxQueueShare of their objective or can no longer be served in time, and drops
// those whose context has ended.
func (l *Loop) placeQueued(now time.Duration) {
	if len(l.queue) == 0 || now-l.lastQueueScan < queueScanInterval {
		return
	}
	l.lastQueueScan = now
	oldestAtPeers := l.ledger.OldestPeerWait(now)
	var prefillAhead time.Duration
	remaining := l.queue[:0]
	for _, m := range l.fairOrder(now, l.queue) {
		if m.ctx.Err() != nil {
			m.reply <- decision{}
			l.scheduleReport(reportNow)
			continue
		}
		waited := now - m.receivedAt
		updated := m.request
		updated.Request.Objective -= waited
		updated.Request.TimeLeft -= waited
		updated.Request.Waited, updated.Request.QueuedPrefill = waited, prefillAhead
		updated.Request.OlderPromptQueued = oldestAtPeers > waited && (m.placeableSince == 0 || now-m.placeableSince < olderRequestGrace)
		d := l.tryPlaceWithDrainLimit(now, updated)
		if d.refusal.blockedByOlder && m.placeableSince == 0 {
			m.placeableSince = now
		}
		if !d.refusal.blockedByOlder {
			m.placeableSince = 0
		}
		if d.refusal.mayQueue && float64(waited) < maxQueueShare*float64(m.request.Request.Objective) {
			remaining = append(remaining, m)
			prefillAhead += l.prefillTime(m.request)
			continue
		}
		l.answer(now, m, d)
		l.scheduleReport(reportNow)
	}
	clear(l.queue[len(remaining):])
	l.queue = remaining
}
