package control

import (
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/service/bootclock"
)

// probeInterval is the delay from a failed probe of a replica to the next one. Each probe
// opens a connection, and the platform charges for new connections to replicas.
const probeInterval = 300 * time.Millisecond

// scheduleProbe starts a probe of a replica after the given time and returns at once. The
// result is posted as a message. It returns false if the replica is not in the directory.
func (l *Loop) scheduleProbe(id string, wait time.Duration) bool {
	r, ok := l.directory.Get(bootclock.Now(), id)
	if !ok {
		return false
	}
	ctx := l.ctx
	time.AfterFunc(wait, func() {
		startedAt := bootclock.Now()
		err := l.config.Prober.Probe(ctx, r.Address)
		// Posting fails only during shutdown.
		_ = l.post(ctx, probeResult{id, err, startedAt})
	})
	return true
}

// handleProbeResult applies the result of a probe. A replica that accepts no further connection
// while others to it are open has not crashed.
func (l *Loop) handleProbeResult(at time.Duration, m probeResult) {
	isDead := m.err != nil && connfault.StateOf(m.err) != connfault.AtLimit
	l.recordTurnedAway(at, m.id, m.err)
	if isDead {
		l.resolveBrokenSends(at, m.id, m.err)
	} else {
		l.discardBrokenSends(at, m.id, m.startedAt)
	}
	if isDead && l.health.Record(at, m.id, health.Unreachable) {
		klog.V(1).InfoS("replica out of use", "replica", m.id, "outcome", health.Unreachable, "err", m.err)
		l.scheduleReport(reportNow)
	}
	if !l.health.IsUnreachable(m.id) {
		return
	}
	if isDead {
		l.scheduleProbe(m.id, probeInterval)
		return
	}
	l.health.MarkReachable(m.id)
	klog.V(1).InfoS("replica reachable", "replica", m.id, "err", m.err)
	l.scheduleReport(reportSoon)
}

// unreachableReplicas returns the IDs of the replicas that this host cannot reach or, after
// a report of another host, has not yet reached again.
func (l *Loop) unreachableReplicas(at time.Duration) map[string]bool {
	unreachable := map[string]bool{}
	for r := range l.directory.All(at) {
		if l.health.IsUnreachable(r.ID) {
			unreachable[r.ID] = true
		}
	}
	return unreachable
}

// checkReportedReplicas suspends the use of replicas that another host reports as
// unreachable, and probes them, unless they have responded or been checked recently. It
// does nothing if that host has reported more than a third of all replicas, since then its
// own network is the likely cause.
func (l *Loop) checkReportedReplicas(at time.Duration, m peerReport) {
	rows, unreachable := l.ledger.PeerReplicas(m.name)
	if unreachable == 0 || 3*unreachable > l.directory.Len() {
		return
	}
	for r := range l.directory.All(at) {
		if rows[placement.ShortID(r.ID)].Unreachable && l.health.MarkSuspected(at, r.ID) {
			klog.V(1).InfoS("replica out of use", "replica", r.ID, "outcome", "reported", "peer", m.name)
			l.scheduleProbe(r.ID, 0)
		}
	}
}
