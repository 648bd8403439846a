package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"siskinstand.example/coord/gossip"
)

// gossipSimulation simulates the propagation of configuration revisions between
// gateways in virtual time. A message takes half a millisecond within a zone,
// 1.5 ms between zones of a region and 30 ms between regions. A gateway that receives a
// revision needs applyTime to put it in force, or snapshotLoadTime if its peer's
// history does not go back far enough.
type gossipSimulation struct {
	virtualClock
	nodes            []*gossipNode
	random           *rand.Rand
	applyTime        time.Duration
	snapshotLoadTime time.Duration
	newestRevision   uint64
	// historyLength is the number of revisions for which peers can send deltas.
	historyLength uint64
	// isolatedRegion is a region without a connection to the others; negative
	// means none.
	isolatedRegion int
	snapshots      int
	messages       int
}

type gossipNode struct {
	index    int
	region   int
	peer     gossip.Peer
	state    *gossip.State
	revision uint64
	// busyUntil is the time at which all changes received so far are in force.
	busyUntil time.Time
	nextTick  time.Time
}

// historyLength is the number of changes that a gateway keeps for its peers.
const historyLength = 256

func newGossipSimulation(seed uint64, applyTime, snapshotLoadTime time.Duration) *gossipSimulation {
	sim := &gossipSimulation{
		virtualClock: virtualClock{now: time.Unix(0, 0)}, random: rand.New(rand.NewPCG(seed, 380)), applyTime: applyTime, snapshotLoadTime: snapshotLoadTime,
		newestRevision: 1, historyLength: historyLength, isolatedRegion: -1,
	}
	var peers []gossip.Peer
	for i := range designGateways {
		zone := i % designZones
		p := gossip.Peer{ID: fmt.Sprintf("gateway-%03d", i), Zone: zoneName(zone), Address: fmt.Sprint(i)}
		n := &gossipNode{index: i, region: zone % designRegions, peer: p, revision: 1}
		// Spread the starts over one exchange interval.
		start := sim.now.Add(time.Duration(sim.random.Int64N(int64(gossip.ExchangeInterval))))
		n.state = gossip.New(gossip.Config{ID: p.ID, Zone: p.Zone, Seed: sim.random.Uint64()}, start)
		n.state.SetRevision(start, 1)
		n.state.ConfirmLease(start)
		sim.nodes, peers = append(sim.nodes, n), append(peers, p)
	}
	for _, n := range sim.nodes {
		n.state.SetPeers(peers)
		sim.scheduleTick(n)
	}
	return sim
}

// scheduleTick schedules the next tick of a node; ticks scheduled earlier are
// ignored.
func (sim *gossipSimulation) scheduleTick(n *gossipNode) {
	next := n.state.NextTick()
	if next.Before(sim.now) {
		next = sim.now
	}
	n.nextTick = next
	sim.scheduleAt(next, func() {
		if n.nextTick.Equal(next) && !n.nextTick.IsZero() {
			n.nextTick = time.Time{}
			sim.runActions(n, n.state.Tick(sim.now))
			sim.scheduleTick(n)
		}
	})
}

func (sim *gossipSimulation) runActions(n *gossipNode, actions []gossip.Action) {
	for _, a := range actions {
		if a.Kind == gossip.ActionTryLease {
			continue
		}
		sim.exchange(n, sim.nodeOf(a.Peer))
	}
}

func (sim *gossipSimulation) nodeOf(p gossip.Peer) *gossipNode {
	var i int
	_, _ = fmt.Sscan(p.Address, &i)
	return sim.nodes[i]
}

func (sim *gossipSimulation) latency(a, b *gossipNode) time.Duration {
	switch {
	case a.region != b.region:
		return 30 * time.Millisecond
	case a.peer.Zone != b.peer.Zone:
		return 1500 * time.Microsecond
	}
	return 500 * time.Microsecond
}

// exchange simulates one call: the called gateway handles the digest and responds
// with the changes that the caller lacks, as package gateway/peer does.
func (sim *gossipSimulation) exchange(from, to *gossipNode) {
	sim.messages++
	if sim.isolatedRegion >= 0 && (from.region == sim.isolatedRegion) != (to.region == sim.isolatedRegion) {
		return
	}
	sent := from.revision
	sim.scheduleAt(sim.now.Add(sim.latency(from, to)), func() {
		sim.handleMessage(to, from, sent)
		responseRevision := to.revision
		sim.scheduleAt(sim.now.Add(sim.latency(from, to)), func() { sim.handleResponse(from, to, responseRevision) })
	})
}

func (sim *gossipSimulation) handleMessage(n, from *gossipNode, revision uint64) {
	sim.runActions(n, n.state.HandleMessage(sim.now, from.peer, revision, gossip.Heartbeat{}))
	sim.scheduleTick(n)
}

// handleResponse puts the revision in force after the time to apply it or to load
// a snapshot.
func (sim *gossipSimulation) handleResponse(n, from *gossipNode, revision uint64) {
	if revision <= n.revision {
		return
	}
	delay := sim.applyTime
	if revision-n.revision > sim.historyLength {
		delay = sim.snapshotLoadTime
		sim.snapshots++
	}
	start := sim.now
	if n.busyUntil.After(start) {
		start = n.busyUntil
	}
	n.busyUntil = start.Add(delay)
	sim.scheduleAt(n.busyUntil, func() {
		sim.setRevision(n, revision)
		sim.handleMessage(n, from, revision)
	})
}

func (sim *gossipSimulation) setRevision(n *gossipNode, revision uint64) {
	if revision <= n.revision {
		return
	}
	n.revision = revision
	n.state.SetRevision(sim.now, revision)
	sim.scheduleTick(n)
}

// publishRevision puts the next revision in force at the reader of each zone that
// is not isolated.
func (sim *gossipSimulation) publishRevision() {
	sim.newestRevision++
	revision := sim.newestRevision
	for zone := range designZones {
		// The first gateway of each zone is its reader.
		reader := sim.nodes[zone]
		if reader.region == sim.isolatedRegion {
			continue
		}
		sim.scheduleAt(sim.now.Add(sim.applyTime), func() { sim.setRevision(reader, revision) })
	}
}

func (sim *gossipSimulation) inForceEverywhere(revision uint64) bool {
	for _, n := range sim.nodes {
		if n.revision < revision {
			return false
		}
	}
	return true
}

// measurePropagation makes changes at the given rate and returns the seconds from
// each change until it is in force in all gateways. Changes that are not in force a
// minute after the last one was made are left out.
func (sim *gossipSimulation) measurePropagation(changesPerSecond float64, changes int) []float64 {
	gap := time.Duration(float64(time.Second) / changesPerSecond)
	madeAt := map[uint64]time.Time{}
	var times []float64
	first := sim.newestRevision + 1
	for i := range changes {
		sim.scheduleAt(sim.now.Add(time.Duration(i+1)*gap), func() {
			sim.publishRevision()
			madeAt[sim.newestRevision] = sim.now
		})
	}
	next := first
	last := first + uint64(changes) - 1
	sim.run(sim.now.Add(time.Duration(changes)*gap+time.Minute), func() bool {
		for next <= sim.newestRevision && sim.inForceEverywhere(next) {
			times = append(times, sim.now.Sub(madeAt[next]).Seconds())
			next++
		}
		return next > last
	})
	return times
}

// measureIsolationRecovery isolates one region while the others make an hour of
// changes. It returns the time from the reconnection until all gateways have the
// newest revision, or a minute if that takes longer. Only the last seconds of the
// hour are simulated, because the rest of it would only advance the revision.
func (sim *gossipSimulation) measureIsolationRecovery() time.Duration {
	const isolation = 20 * time.Second
	sim.isolatedRegion = designRegions - 1
	// Let messages sent before the isolation arrive before anything changes.
	sim.run(sim.now.Add(time.Second), nil)
	sim.newestRevision += uint64(meanChangesPerSecond * time.Hour.Seconds())
	for _, n := range sim.nodes {
		if n.region != sim.isolatedRegion {
			sim.setRevision(n, sim.newestRevision)
		}
	}
	sim.run(sim.now.Add(isolation), nil)
	sim.isolatedRegion = -1
	reconnected := sim.now
	sim.run(sim.now.Add(time.Minute), func() bool { return sim.inForceEverywhere(sim.newestRevision) })
	return sim.now.Sub(reconnected)
}

func (r *runner) addPropagationRows() {
	apply := time.Duration((r.gatewayApply.Value + r.viewRebuild.Value) * float64(time.Millisecond))
	load := time.Duration(r.snapshotLoadSeconds * float64(time.Second))
	for _, rate := range []float64{meanChangesPerSecond, burstChangesPerSecond} {
		sim := newGossipSimulation(r.Seed, apply, load)
		sim.run(sim.now.Add(5*time.Second), nil)
		times := sim.measurePropagation(rate, propagationChanges)
		r.add(simulatedRow("Spread over 380 gateways", fmt.Sprintf("change in force in all gateways, p99 of %d at %s changes/s", len(times), formatNumber(rate)),
			"s", quantile(times, 0.99), limitInForceSeconds, "a larger fan-out"))
	}
	sim := newGossipSimulation(r.Seed, apply, load)
	sim.run(sim.now.Add(5*time.Second), nil)
	recovery := sim.measureIsolationRecovery()
	r.add(simulatedRow("Spread over 380 gateways", "region cut off for an hour: all gateways on the newest revision after the heal", "s",
		recovery.Seconds(), limitInForceSeconds, "a longer history"))
	r.add(simulatedRow("Spread over 380 gateways", "the same: snapshots loaded", "snapshots", float64(sim.snapshots), 0, ""))
}

// propagationChanges is the number of changes made at each rate.
const propagationChanges = 100

// simulatedRow returns a row with a value simulated at the design size.
func simulatedRow(section, name, unit string, value, limit float64, remedy string) Row {
	return Row{
		Section: section, Name: name, Unit: unit, XUnit: "gateways", DesignX: designGateways, Value: value, Limit: limit,
		Remedy: remedy, Kind: Simulated, Points: []Point{{designGateways, value}},
	}
}
