package placement

import "time"

// peerState is what one peer has reported.
type peerState struct {
	// report is the last report; its Replicas include the entries of earlier reports
	// that the partial reports since have not changed.
	report Report
	// unreachable is the number of entries with Unreachable set.
	unreachable int
}

// peerLoad is the load that the peers place on one replica.
type peerLoad struct {
	// byPeer holds the loads that are not zero.
	byPeer map[string]Load
	sum    Load
	// updatedAt is the time of the last change, relative to which the remaining work is aged.
	// unpredicted counts the streams of peers that report no remaining work.
	updatedAt   time.Duration
	unpredicted int
}

// maxInitialPrefillMicros is the largest total, in microseconds, that counts as
// new prefill when a replica appears in a peer's report for the first time. A
// larger total accumulated before this process received reports.
const maxInitialPrefillMicros = 4_000_000

// ApplyPeerReport records the report of a peer. The prefill totals in a peer's
// first report are only the baseline for later ones and add no queued prefill.
func (l *Ledger) ApplyPeerReport(name string, r Report) {
	totals, knownPeer := l.peerSentMicros[name]
	if !knownPeer {
		totals = map[uint32]uint32{}
		l.peerSentMicros[name] = totals
	}
	for id, entry := range r.Replicas {
		previous, hasPrevious := totals[id]
		totals[id] = entry.SentPrefillMicros
		if !hasPrevious && (!knownPeer || entry.SentPrefillMicros > maxInitialPrefillMicros) {
			continue
		}
		if work := time.Duration(int32(entry.SentPrefillMicros-previous)) * time.Microsecond; work != 0 {
			l.addQueuedPrefill(r.At, id, work)
		}
	}
	state := l.peers[name]
	if state == nil {
		state = &peerState{report: Report{Replicas: map[uint32]ReplicaReport{}}}
		l.peers[name] = state
	}
	if !r.Partial {
		for id := range state.report.Replicas {
			if _, ok := r.Replicas[id]; !ok {
				l.setPeerEntry(r.At, name, state, id, ReplicaReport{})
				delete(state.report.Replicas, id)
			}
		}
	}
	for id, entry := range r.Replicas {
		if started := entry.Load.Streams - state.report.Replicas[id].Load.Streams; started > 0 && knownPeer {
			l.starts.add(r.At, started)
			l.peerStarts.add(r.At, started)
		}
		l.setPeerEntry(r.At, name, state, id, entry)
	}
	r.Replicas = state.report.Replicas
	state.report = r
}

// setPeerEntry replaces a peer's entry for a replica and updates the sum of all peers.
func (l *Ledger) setPeerEntry(now time.Duration, name string, state *peerState, id uint32, entry ReplicaReport) {
	old := state.report.Replicas[id]
	if old.Unreachable {
		state.unreachable--
	}
	if entry.Unreachable {
		state.unreachable++
	}
	state.report.Replicas[id] = entry
	if old.Load == entry.Load {
		return
	}
	l.loadsValid = false
	p := l.peerLoads[id]
	if p == nil {
		p = &peerLoad{byPeer: map[string]Load{}}
		l.peerLoads[id] = p
	}
	if entry.Load == (Load{}) {
		delete(p.byPeer, name)
	} else {
		p.byPeer[name] = entry.Load
	}
	if len(p.byPeer) == 0 {
		delete(l.peerLoads, id)
		return
	}
	p.update(now, name)
}

// update recomputes the sums after the load of the named peer has changed.
func (p *peerLoad) update(now time.Duration, changed string) {
	elapsed := now - p.updatedAt
	p.sum, p.unpredicted, p.updatedAt = Load{}, 0, max(now, p.updatedAt)
	for name, load := range p.byPeer {
		if load.Remaining > 0 && name != changed {
			load = load.aged(elapsed)
			p.byPeer[name] = load
		}
		if load.EndInterval == 0 {
			p.unpredicted += load.Streams
		}
		p.sum = p.sum.Add(load)
	}
}

// PeerReplicas returns the load last reported by a peer, and for how many replicas it has
// set Unreachable. The caller must not modify the map.
func (l *Ledger) PeerReplicas(peer string) (entries map[uint32]ReplicaReport, unreachable int) {
	state, ok := l.peers[peer]
	if !ok {
		return nil, 0
	}
	return state.report.Replicas, state.unreachable
}

// PeerReportedAt returns the time of the last report of a peer, or false if there is none.
func (l *Ledger) PeerReportedAt(name string) (time.Duration, bool) {
	state, ok := l.peers[name]
	if !ok {
		return 0, false
	}
	return state.report.At, true
}

// RemovePeer deletes the report of a peer. The prefill that it sent stays
// queued.
func (l *Ledger) RemovePeer(name string) {
	l.removePeerEntries(name)
	delete(l.peerSentMicros, name)
}

// removePeerEntries deletes the report of a peer but not its prefill totals, relative to
// which its next report is read.
func (l *Ledger) removePeerEntries(name string) {
	state, ok := l.peers[name]
	if !ok {
		return
	}
	for id := range state.report.Replicas {
		l.setPeerEntry(state.report.At, name, state, id, ReplicaReport{})
	}
	delete(l.peers, name)
}

// PeerQueuedPrefill returns the total prefill time of the requests queued at
// peers.
func (l *Ledger) PeerQueuedPrefill(now time.Duration) time.Duration {
	var sum time.Duration
	for _, state := range l.peers {
		if now-state.report.At <= l.maxReportAge {
			sum += state.report.QueuedPrefill
		}
	}
	return sum
}

// OldestPeerWait returns the age of the oldest request queued at a peer.
func (l *Ledger) OldestPeerWait(now time.Duration) time.Duration {
	var oldest time.Duration
	for _, state := range l.peers {
		if r := state.report; r.OldestWait > 0 && now-r.At <= l.maxReportAge {
			oldest = max(oldest, r.OldestWait+now-r.At)
		}
	}
	return oldest
}
