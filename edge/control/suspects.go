package control

import (
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
)

// recordBrokenSend keeps a request whose replica broke off until it is known whether
// the replica has died. One that resets single connections is no victim.
func (l *Loop) recordBrokenSend(m sendEnded) {
	list := l.brokenSends[m.target.ID]
	l.brokenSends[m.target.ID] = append(list, m)
	if len(list) == 0 && !l.probe(m.target.ID, 0) {
		l.resolveBrokenSends(m.target.ID, true) // its entry is gone already
	}
}

// resolveBrokenSends marks the requests of a replica that has died.
func (l *Loop) resolveBrokenSends(id string, died bool) {
	list := l.brokenSends[id]
	delete(l.brokenSends, id)
	if !died {
		return
	}
	for _, m := range list {
		event := suspect.CrashID(placement.Rank(id) ^ uint64(m.target.StartUnixMs))
		status := l.suspects.AddStrike(time.Now(), m.fingerprint, event)
		klog.V(1).InfoS("crash suspect", "fingerprint", uint64(m.fingerprint), "replica", id, "status", status)
	}
	l.scheduleReport(reportNow)
}
