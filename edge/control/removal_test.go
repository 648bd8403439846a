package control

import (
	"errors"
	"testing"
	"time"

	"siskinstand.example/platform"
)

// Guards against requests to a replica that left more than the drain time of 2 s before. The
// host follows another one that is cut off from the store: the change arrives late, through the
// next watching host, and the failed calls of the followed host looked like an outage.
func TestReplicaLeavesWhileFollowedHostIsCutOff(t *testing.T) {
	const drainTime = 2 * time.Second
	for name, learnedAfter := range map[string]time.Duration{
		"cut is short":             300 * time.Millisecond,
		"next watching host":       1050 * time.Millisecond,
		"two hosts do not respond": 1650 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			l := testLoop(t, replica("a", "app", "z1"))
			proof := 10 * time.Second
			l.handle(proof, storeUpdate{asOf: proof})
			l.handle(proof+10*time.Millisecond, storeOutage{errors.New("a call of the followed host failed")})
			removed := proof + 20*time.Millisecond
			learned := proof + learnedAfter
			l.handle(learned, storeUpdate{asOf: learned, list: []platform.Change{{Kind: platform.ChangeReplica, Name: "a", Deleted: true}}})
			placeAndCheckReason(t, l, removed+drainTime-200*time.Millisecond, plainRequest(l, t), RefusedNoReplica)
		})
	}
}

// Guards against an empty list of replicas when the store returns from an outage with expired
// leases.
func TestReplicasStayInUseAfterOutage(t *testing.T) {
	l := testLoop(t, replica("a", "app", "z1"))
	proof := 10 * time.Second
	l.handle(proof, storeUpdate{asOf: proof})
	back := proof + 5*time.Second
	l.handle(back-100*time.Millisecond, storeOutage{errors.New("store is down")})
	l.handle(back, storeUpdate{full: true, asOf: back, list: nil})
	placeAndCheckReason(t, l, back+1400*time.Millisecond, plainRequest(l, t), "")
	placeAndCheckReason(t, l, back+1600*time.Millisecond, plainRequest(l, t), RefusedNoReplica)
}
