package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/inflight"
	"siskinstand.example/coord/placement"
	"siskinstand.example/edge/peer"
)

// replicaBytes limits the bytes of the requests that all hosts have at one replica.
type replicaBytes struct {
	tracker *inflight.Tracker
	fullest tally.Gauge
	// hosts is set for each request; skipped counts the replicas that can't take it.
	hosts   inflight.Hosts
	skipped int
}

// replicaBytesExpiry is the multiple of the peer timeout after which what a host has reported no
// longer counts. Entries that have not changed are reported in turn.
const replicaBytesExpiry = 2

func newReplicaBytes(c Config) *replicaBytes {
	if c.MaxReplicaBytes <= 0 {
		return nil
	}
	scope := c.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	return &replicaBytes{
		tracker: inflight.New(inflight.Config{MaxBytes: c.MaxReplicaBytes, Expiry: replicaBytesExpiry * c.PeerTimeout}),
		fullest: scope.Gauge("bytes_at_fullest_replica"),
	}
}

// Type implements ReportSection.
func (b *replicaBytes) Type() peer.SectionType { return peer.SectionInFlightBytes }

// Append implements ReportSection.
func (b *replicaBytes) Append(now time.Duration, data []byte) []byte {
	b.fullest.Update(float64(b.tracker.Fullest(now)))
	return b.tracker.Append(now, data, peer.MaxSectionBytes)
}

// Merge implements ReportSection.
func (b *replicaBytes) Merge(now time.Duration, host string, data []byte) error {
	return b.tracker.Merge(now, host, data)
}

// RemoveHost implements ReportSection.
func (b *replicaBytes) RemoveHost(host string) { b.tracker.RemoveHost(host) }

// prepareBytes prepares the calls of hasRoomForBytes for a request.
func (l *Loop) prepareBytes() {
	b := l.replicaBytes
	if b == nil {
		return
	}
	b.hosts = inflight.Hosts{Count: len(l.peers) + 1, Delay: 2 * l.reportingDelay()}
	for name := range l.peers {
		if name < l.config.Name {
			b.hosts.Index++
		}
	}
	b.skipped = 0
}

// hasRoomForBytes reports whether the replica with the given index in the ranked list can take
// the body of a request.
func (l *Loop) hasRoomForBytes(now time.Duration, list []rankedReplica, index int, bytes int64) bool {
	b := l.replicaBytes
	if b == nil || bytes == 0 {
		return true
	}
	if b.tracker.Admit(now, inflight.Replica{ID: list[index].shortID, Index: index, Count: len(list)}, bytes, b.hosts) == inflight.Refused {
		b.skipped++
		return false
	}
	return true
}

// refuseWithoutCandidates returns the refusal of a request that no replica can take.
func (l *Loop) refuseWithoutCandidates(now time.Duration, req PlacementRequest) Refusal {
	if b := l.replicaBytes; b != nil && b.skipped > 0 {
		klog.V(1).InfoS("no replica can hold the body", "request_id", req.ID, "body_bytes", req.BodyBytes, "max_bytes", l.config.MaxReplicaBytes, "fullest_bytes", b.tracker.Fullest(now), "replicas", b.skipped)
		return Refusal{Reason: RefusedReplicaBytes, RetryAfter: req.Request.Objective / 2, ReplicaCount: b.skipped}
	}
	return Refusal{Reason: RefusedNoReplica, RetryAfter: max(noReplicaRetryAfter, l.directory.PauseLeft(now, req.Service.Name))}
}

// addBytes counts the body of a request that is placed.
func (l *Loop) addBytes(now time.Duration, number uint64, replica string, req PlacementRequest) {
	b := l.replicaBytes
	if b == nil || req.BodyBytes == 0 {
		return
	}
	list := l.rankedReplicas(now, req.Service.Name)
	rank := placement.HashID(replica)
	index, _ := slices.BinarySearchFunc(list, rank, func(r rankedReplica, rank uint64) int { return cmp.Compare(r.rank, rank) })
	r := inflight.Replica{ID: placement.ShortID(replica), Index: index, Count: len(list)}
	b.tracker.Add(now, number, r.ID, req.BodyBytes, b.tracker.Admit(now, r, req.BodyBytes, b.hosts))
}

// removeBytes ends the count of a request.
func (l *Loop) removeBytes(now time.Duration, number uint64) {
	if b := l.replicaBytes; b != nil {
		b.tracker.Remove(now, number)
	}
}
