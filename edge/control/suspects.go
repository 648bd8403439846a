package control

import (
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
)

// recordBrokenSend keeps a send that may have crashed its replica until a probe shows
// whether the replica has died. A replica that only resets single connections has not crashed,
// so its requests do not become suspects.
func (l *Loop) recordBrokenSend(m sendEnded) {
	list := l.brokenSends[m.target.ID]
	l.brokenSends[m.target.ID] = append(list, m)
	if len(list) == 0 && !l.scheduleProbe(m.target.ID, 0) {
		l.resolveBrokenSends(m.target.ID, true) // the replica has already been removed
	}
}

// resolveBrokenSends marks the recorded requests of a replica as crash suspects if the
// replica has died, and discards them otherwise.
func (l *Loop) resolveBrokenSends(id string, died bool) {
	list := l.brokenSends[id]
	delete(l.brokenSends, id)
	if !died {
		return
	}
	for _, m := range list {
		crash := suspect.CrashID(placement.HashID(id) ^ uint64(m.target.StartUnixMs))
		status := l.suspects.AddStrike(time.Now(), m.fingerprint, crash)
		klog.V(1).InfoS("crash suspect", "fingerprint", uint64(m.fingerprint), "replica", id, "status", status)
	}
	l.scheduleReport(reportNow)
}
