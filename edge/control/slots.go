package control

import (
	"cmp"
	"time"

	"siskinstand.example/coord/fairshare"
	"siskinstand.example/coord/placement"
)

// waitingPrompt is a short prompt that waits at this host for a slot.
type waitingPrompt = placement.WaitingPrompt[placementMessage]

// slotScanInterval is the shortest time between two scans of the prompts that wait for a slot,
// and the longest one while there are any.
const slotScanInterval = 10 * time.Millisecond

// queueForSlot queues a request that a replica with a free slot can still serve, or returns
// false.
func (l *Loop) queueForSlot(now time.Duration, m placementMessage, r Refusal) bool {
	p := waitingPrompt{Value: m, Service: m.request.Service.Name, Since: m.receivedAt, Objective: m.request.Request.Objective, IsLate: m.request.Request.LateAnyway}
	if !r.waitsForSlot || p.IsOverdue(now, r.PredictedFirstEvent) || !l.slotQueue.Add(p) {
		return false
	}
	l.slotQueueChanged()
	return true
}

// slotQueueChanged makes the length of the queue known to other hosts and in the metrics.
func (l *Loop) slotQueueChanged() {
	if l.waiting == nil || l.waiting.own == l.slotQueue.Len() {
		return
	}
	l.waiting.own = l.slotQueue.Len()
	l.scheduleReport(reportSoon)
	if l.config.Scope != nil {
		l.config.Scope.Gauge("prompts_waiting_for_slot").Update(float64(l.slotQueue.Len()))
	}
}

// placeWaitingForSlot places the prompts that find a slot now and refuses those that have
// waited for too long.
func (l *Loop) placeWaitingForSlot(now time.Duration) {
	if l.slotQueue.Len() == 0 || now-l.lastSlotScan < slotScanInterval {
		return
	}
	l.lastSlotScan = now
	l.sortSlotQueue(now)
	l.slotQueue.Scan("", func(p waitingPrompt) placement.SlotAttempt { return l.tryWaiting(now, p, "") })
	l.slotQueueChanged()
}

// sortSlotQueue orders the waiting prompts by the shares of their accounts, if these count, and
// by the time at which they must have their first event.
func (l *Loop) sortSlotQueue(now time.Duration) {
	l.slotQueue.Sort(func(a, b waitingPrompt) int {
		if l.accounts != nil {
			if order := l.accounts.Compare(now, l.waitingShare(a), l.waitingShare(b)); order != 0 {
				return order
			}
		}
		return cmp.Compare(a.Since+a.Objective, b.Since+b.Objective)
	})
}

func (l *Loop) waitingShare(p waitingPrompt) fairshare.Waiting {
	class, prefill, decode := l.requestCost(p.Value.request)
	return fairshare.Waiting{Account: p.Value.request.Account, Class: class, Since: p.Since, Cost: prefill + decode}
}

// offerFreedSlot places a waiting prompt in the slot of a stream of this host that has ended.
// Other hosts do not know of that slot, so the prompt cannot meet another one there.
func (l *Loop) offerFreedSlot(now time.Duration, service, replica string) {
	if l.slotQueue.Len() == 0 {
		return
	}
	l.sortSlotQueue(now)
	l.slotQueue.Scan(service, func(p waitingPrompt) placement.SlotAttempt { return l.tryWaiting(now, p, replica) })
	l.slotQueueChanged()
}

// tryWaiting tries to place a waiting prompt, in the freed slot of a replica if there is one.
func (l *Loop) tryWaiting(now time.Duration, p waitingPrompt, freedReplica string) placement.SlotAttempt {
	m := p.Value
	if m.ctx.Err() != nil {
		m.reply <- decision{}
		return placement.SlotGivenUp
	}
	waited := now - m.receivedAt
	updated := m.request
	updated.Request.Objective -= waited
	updated.Request.TimeLeft -= waited
	updated.Request.Waited, updated.Request.FreedReplica = waited, freedReplica
	d := l.tryPlaceWithDrainLimit(now, updated)
	switch {
	case d.assignment.ID != 0:
		m.reply <- d
		return placement.SlotTaken
	case d.refusal.waitsForSlot && !p.IsOverdue(now, d.refusal.PredictedFirstEvent):
		return placement.SlotAwaited
	}
	m.reply <- d
	return placement.SlotGivenUp
}

// maxSleep limits the time until the control goroutine looks at the queues again.
func (l *Loop) maxSleep(d time.Duration) time.Duration {
	if l.slotQueue.Len() > 0 {
		return min(d, slotScanInterval)
	}
	return d
}

// fewFreeSlotsShare is the share of free slots of a service below which the end of a stream is
// reported as soon as a start: prompts at other hosts may be waiting for its slot.
const fewFreeSlotsShare = 0.2

// endUrgency returns how soon the end of a request at a replica must be reported.
func (l *Loop) endUrgency(now time.Duration, service string) reportUrgency {
	if !l.config.Placement.WaitForSlots || service == "" {
		return reportLater
	}
	loads := l.ledger.Loads(now)
	free, total := 0, 0
	for _, r := range l.rankedReplicas(now, service) {
		free += max(0, r.Slots-loads[r.shortID].Streams)
		total += r.Slots
	}
	if float64(free) < fewFreeSlotsShare*float64(total) {
		return reportSoon
	}
	return reportLater
}

// silentPeerInterval is the time between two counts of the hosts that have not reported.
const silentPeerInterval = 50 * time.Millisecond

// silentPeerCount returns the number of hosts without a report in the last PeerTimeout. Each is
// expected to have placed one prompt that is not known here: after a restart of all hosts, none
// knows what the others start, and all would fill the same replicas first.
func (l *Loop) silentPeerCount(now time.Duration) int {
	if l.silentPeersAt != 0 && now-l.silentPeersAt < silentPeerInterval {
		return l.silentPeers
	}
	l.silentPeers, l.silentPeersAt = 0, now
	for name := range l.peers {
		if at, ok := l.ledger.PeerReportedAt(name); !ok || now-at > l.config.PeerTimeout {
			l.silentPeers++
		}
	}
	return l.silentPeers
}
