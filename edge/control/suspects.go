package control

import (
	"cmp"
	"errors"
	"slices"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
)

// abortedProbeDelay is the delay of the probe after a response that this host has aborted. If
// the request crashes the replica, it does so soon.
const abortedProbeDelay = 100 * time.Millisecond

// recordBrokenSend keeps a send that may have crashed its replica until a probe shows
// whether the replica has died. A replica that only resets single connections has not crashed,
// so its requests do not become suspects.
func (l *Loop) recordBrokenSend(now time.Duration, m sendEnded) {
	m.probeAt = now
	if m.result.Aborted {
		m.probeAt += abortedProbeDelay
	}
	list := l.brokenSends[m.target.ID]
	l.brokenSends[m.target.ID] = append(list, m)
	if len(list) == 0 || m.probeAt < earliestProbe(list) {
		l.probeBrokenSends(now, m.target.ID, m.probeAt)
	}
}

// earliestProbe returns the earliest time at which a probe can resolve one of the sends.
func earliestProbe(list []sendEnded) time.Duration {
	return slices.MinFunc(list, func(x, y sendEnded) int { return cmp.Compare(x.probeAt, y.probeAt) }).probeAt
}

func (l *Loop) probeBrokenSends(now time.Duration, id string, at time.Duration) {
	if !l.scheduleProbe(id, max(0, at-now)) {
		l.resolveBrokenSends(now, id, errReplicaRemoved)
	}
}

var errReplicaRemoved = errors.New("the replica has been removed")

// discardBrokenSends discards the recorded sends of a replica that was alive at the given
// time. For sends that ended later, the replica is probed again.
func (l *Loop) discardBrokenSends(now time.Duration, id string, aliveAt time.Duration) {
	later := slices.DeleteFunc(l.brokenSends[id], func(m sendEnded) bool { return m.probeAt <= aliveAt })
	// The requests that wait for this result need not wait for the next scan.
	l.lastQueueScan = 0
	if len(later) == 0 {
		delete(l.brokenSends, id)
		return
	}
	l.brokenSends[id] = later
	l.probeBrokenSends(now, id, earliestProbe(later))
}

// resolveBrokenSends marks the recorded requests of a replica that cannot be reached as crash
// suspects. Their parts are suspected only if the replica's host refuses the connection:
// without an answer, the network may have failed.
func (l *Loop) resolveBrokenSends(now time.Duration, id string, probeErr error) {
	list := l.brokenSends[id]
	delete(l.brokenSends, id)
	if len(list) == 0 {
		return
	}
	l.lastQueueScan = 0
	for _, m := range list {
		crash := m.crashID()
		status := l.suspects.AddStrike(time.Now(), m.fingerprint, crash)
		klog.V(1).InfoS("crash suspect", "fingerprint", uint64(m.fingerprint), "replica", id, "status", status)
	}
	l.storedRequests.ownCrashes.add(list[0].crashID())
	if errors.Is(probeErr, syscall.ECONNREFUSED) {
		l.recordPartCrash(now, id, list[0].crashID(), list)
	}
	l.publishRefusedRequests(now)
	l.scheduleReport(reportNow)
}

// isCrashSuspect reports whether a request has to be refused because replicas crashed while
// they ran it. Crashes that a refused prompt part explains do not count: requests with the
// part are refused anyway.
func (l *Loop) isCrashSuspect(now time.Duration, f suspect.Fingerprint) bool {
	return l.suspects.Status(time.Now(), f) == suspect.StatusRefuse && !l.isExplainedByPart(now, f)
}

// awaitsProbe reports whether a request would have to be refused if its unresolved sends have
// crashed their replicas.
func (l *Loop) awaitsProbe(f suspect.Fingerprint) bool {
	unresolved := 0
	for _, list := range l.brokenSends {
		if slices.ContainsFunc(list, func(m sendEnded) bool { return m.fingerprint == f }) {
			unresolved++
		}
	}
	return unresolved > 0 && l.suspects.Strikes(time.Now(), f)+unresolved >= suspect.RefuseStrikes
}

// isExplainedByPart reports whether a refused prompt part explains all crashes of a request.
func (l *Loop) isExplainedByPart(now time.Duration, f suspect.Fingerprint) bool {
	return !l.suspects.HasCrash(time.Now(), f, func(c suspect.CrashID) bool { return !l.parts.Explains(partTime(now), c) })
}

// crashID returns the ID of the crash of the replica's process. It is the same on all hosts.
func (m sendEnded) crashID() suspect.CrashID {
	return suspect.CrashID(placement.HashID(m.target.ID) ^ uint64(m.target.StartUnixMs))
}
