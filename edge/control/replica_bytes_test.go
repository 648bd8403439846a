package control

import (
	"testing"
	"time"

	"siskinstand.example/coord/health"
	"siskinstand.example/coord/inflight"
	"siskinstand.example/edge/peer"
	"siskinstand.example/platform"
)

// bytesLoop returns a loop with one replica that takes 8 MiB, and one other host.
func bytesLoop(t *testing.T, name, other string) *Loop {
	l := testLoop(t, replica("a", "app", "z1"))
	l.config.Name, l.config.MaxReplicaBytes = name, 8<<20
	l.replicaBytes = newReplicaBytes(l.config)
	l.config.Sections = []ReportSection{l.replicaBytes}
	l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: other, Peer: platform.Peer{Address: "x", Incarnation: 1}}}})
	return l
}

// Guards against requests that exceed the bytes of a replica together with those of another
// host, against bytes that stay counted after the end of their request or the restart of the
// other host, and against a refusal that ends as "no replica".
func TestReplicaBytes(t *testing.T) {
	l, other := bytesLoop(t, "edge-1", "edge-2"), bytesLoop(t, "edge-2", "edge-1")
	req := plainRequest(l, t)
	req.BodyBytes = 1 << 20
	now := time.Second
	var ids []uint64
	for {
		d, _ := pollDecision(l.requestPlacement(now, req))
		if d.refusal.Reason != "" {
			if d.refusal.Reason != RefusedReplicaBytes || d.refusal.RetryAfter == 0 {
				t.Fatalf("refused with %+v, want replica_bytes and a retry delay", d.refusal)
			}
			break
		}
		ids = append(ids, d.assignment.ID)
		now += time.Second // the other host knows of the request
		other.handle(now, peerReport{name: "edge-1", incarnation: 1, sections: l.reportSections(now)})
	}
	if len(ids) < 4 || len(ids) > 8 {
		t.Errorf("%d requests of 1 MiB placed, want 4 to 8", len(ids))
	}
	placeAndCheckReason(t, other, now, req, RefusedReplicaBytes)
	small := req
	small.BodyBytes = 2 << 10
	placeAndCheckReason(t, other, now, small, "")
	for _, id := range ids {
		l.handle(now, sendEnded{assignmentID: id, result: SendResult{Outcome: health.Served}})
	}
	if n := l.replicaBytes.tracker.JobCount(); n != 0 {
		t.Errorf("%d requests still counted", n)
	}
	placeAndCheckReason(t, l, now, req, "")

	other.handle(now, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-1", Peer: platform.Peer{Address: "x", Incarnation: 2}}}})
	placeAndCheckReason(t, other, now, req, "")
}

// Guards against sections beyond their size, and shows what choosing among many replicas costs.
func BenchmarkReplicaBytes(b *testing.B) {
	tracker := inflight.New(inflight.Config{MaxBytes: 64 << 20, Expiry: 4 * time.Second})
	const replicas = 60
	for i := range uint32(replicas) {
		tracker.Add(time.Second, uint64(i), i, 1<<20, inflight.ByShare)
	}
	if n := len(tracker.Append(time.Second, nil, peer.MaxSectionBytes)); n > peer.MaxSectionBytes {
		b.Fatalf("section of %d bytes", n)
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range replicas {
			tracker.Admit(2*time.Second, inflight.Replica{ID: uint32(i), Index: i, Count: replicas}, 20<<10, inflight.Hosts{Index: 3, Count: 22, Delay: 70 * time.Millisecond})
		}
	}
}
