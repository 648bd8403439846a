package control

import (
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
)

// holdSuspect keeps a request whose replica broke off until it is known whether
// the replica has died. One that resets single connections is no victim.
func (l *Loop) holdSuspect(m ended) {
	list := l.broken[m.target.ID]
	l.broken[m.target.ID] = append(list, m)
	if len(list) == 0 && !l.probe(m.target.ID, 0) {
		l.judgeSuspects(m.target.ID, true) // its entry is gone already
	}
}

// judgeSuspects marks the requests of a replica that has died.
func (l *Loop) judgeSuspects(id string, died bool) {
	list := l.broken[id]
	delete(l.broken, id)
	if !died {
		return
	}
	for _, m := range list {
		event := suspect.CrashID(placement.Rank(id) ^ uint64(m.target.Born))
		status := l.suspects.AddStrike(time.Now(), m.fingerprint, event)
		klog.V(1).InfoS("crash suspect", "fingerprint", uint64(m.fingerprint), "replica", id, "status", status)
	}
	l.changed(urgent)
}
