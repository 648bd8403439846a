package control

import (
	"errors"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
)

// recordBrokenSend keeps a send that may have crashed its replica until a probe shows
// whether the replica has died. A replica that only resets single connections has not crashed,
// so its requests do not become suspects.
func (l *Loop) recordBrokenSend(now time.Duration, m sendEnded) {
	list := l.brokenSends[m.target.ID]
	l.brokenSends[m.target.ID] = append(list, m)
	if len(list) == 0 && !l.scheduleProbe(m.target.ID, 0) {
		l.resolveBrokenSends(now, m.target.ID, errReplicaRemoved)
	}
}

var errReplicaRemoved = errors.New("the replica has been removed")

// resolveBrokenSends marks the recorded requests of a replica as crash suspects if the
// replica cannot be reached, and discards them otherwise. Their parts are suspected only if
// the replica's host refuses the connection: without an answer, the network may have failed.
func (l *Loop) resolveBrokenSends(now time.Duration, id string, probeErr error) {
	list := l.brokenSends[id]
	delete(l.brokenSends, id)
	if probeErr == nil || len(list) == 0 {
		return
	}
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

// isExplainedByPart reports whether a refused prompt part explains all crashes of a request.
func (l *Loop) isExplainedByPart(now time.Duration, f suspect.Fingerprint) bool {
	return !l.suspects.HasCrash(time.Now(), f, func(c suspect.CrashID) bool { return !l.parts.Explains(partTime(now), c) })
}

// crashID returns the ID of the crash of the replica's process. It is the same on all hosts.
func (m sendEnded) crashID() suspect.CrashID {
	return suspect.CrashID(placement.HashID(m.target.ID) ^ uint64(m.target.StartUnixMs))
}
