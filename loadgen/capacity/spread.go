package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"siskinstand.example/coord/gossip"
)

// fleet runs the spread of revisions between gateways in virtual time. A
// message takes half a millisecond in a zone, up to 1.5 ms in a region and 30
// ms between regions. A gateway that receives a revision needs apply to put it
// in force, or load if its peer's history does not reach back far enough.
type fleet struct {
	timeline
	nodes  []*fleetNode
	random *rand.Rand
	apply  time.Duration
	load   time.Duration
	// newest is the newest revision; history is how far deltas reach back.
	newest  uint64
	history uint64
	// cut is a region without connection to the others, or none if negative.
	cut       int
	snapshots int
	messages  int
}

type fleetNode struct {
	index    int
	region   int
	peer     gossip.Peer
	state    *gossip.State
	revision uint64
	// busyUntil is when the changes taken so far are in force.
	busyUntil time.Time
	wake      time.Time
}

// historyChanges is how many changes a gateway keeps for its peers.
const historyChanges = 256

func newFleet(seed uint64, apply, load time.Duration) *fleet {
	f := &fleet{
		timeline: timeline{now: time.Unix(0, 0)}, random: rand.New(rand.NewPCG(seed, 380)), apply: apply, load: load,
		newest: 1, history: historyChanges, cut: -1,
	}
	var peers []gossip.Peer
	for i := range designGateways {
		zone := i % designZones
		p := gossip.Peer{ID: fmt.Sprintf("gateway-%03d", i), Zone: zoneName(zone), Address: fmt.Sprint(i)}
		n := &fleetNode{index: i, region: zone % designRegions, peer: p, revision: 1}
		// Starts are spread over one exchange interval.
		start := f.now.Add(time.Duration(f.random.Int64N(int64(gossip.ExchangeInterval))))
		n.state = gossip.New(gossip.Config{ID: p.ID, Zone: p.Zone, Seed: f.random.Uint64()}, start)
		n.state.SetRevision(start, 1)
		n.state.ConfirmLease(start)
		f.nodes, peers = append(f.nodes, n), append(peers, p)
	}
	for _, n := range f.nodes {
		n.state.SetPeers(peers)
		f.schedule(n)
	}
	return f
}

// schedule wakes a node at its next time; an earlier event is made void.
func (f *fleet) schedule(n *fleetNode) {
	next := n.state.NextTick()
	if next.Before(f.now) {
		next = f.now
	}
	n.wake = next
	f.at(next, func() {
		if n.wake.Equal(next) && !n.wake.IsZero() {
			n.wake = time.Time{}
			f.act(n, n.state.Tick(f.now))
			f.schedule(n)
		}
	})
}

func (f *fleet) act(n *fleetNode, actions []gossip.Action) {
	for _, a := range actions {
		if a.Kind == gossip.ActionTryLease {
			continue
		}
		f.exchange(n, f.byID(a.Peer))
	}
}

func (f *fleet) byID(p gossip.Peer) *fleetNode {
	var i int
	_, _ = fmt.Sscan(p.Address, &i)
	return f.nodes[i]
}

func (f *fleet) latency(a, b *fleetNode) time.Duration {
	switch {
	case a.region != b.region:
		return 30 * time.Millisecond
	case a.peer.Zone != b.peer.Zone:
		return 1500 * time.Microsecond
	}
	return 500 * time.Microsecond
}

// exchange is one call: the called gateway hears the digest and answers with
// what the caller lacks, as package gateway/peer does.
func (f *fleet) exchange(from, to *fleetNode) {
	f.messages++
	if f.cut >= 0 && (from.region == f.cut) != (to.region == f.cut) {
		return
	}
	sent := from.revision
	f.at(f.now.Add(f.latency(from, to)), func() {
		f.hear(to, from, sent)
		answered := to.revision
		f.at(f.now.Add(f.latency(from, to)), func() { f.receive(from, to, answered) })
	})
}

func (f *fleet) hear(n, from *fleetNode, revision uint64) {
	f.act(n, n.state.HandleMessage(f.now, from.peer, revision, gossip.Heartbeat{}))
	f.schedule(n)
}

// receive puts an answer in force after the time for it.
func (f *fleet) receive(n, from *fleetNode, revision uint64) {
	if revision <= n.revision {
		return
	}
	need := f.apply
	if revision-n.revision > f.history {
		need = f.load
		f.snapshots++
	}
	start := f.now
	if n.busyUntil.After(start) {
		start = n.busyUntil
	}
	n.busyUntil = start.Add(need)
	f.at(n.busyUntil, func() {
		f.move(n, revision)
		f.hear(n, from, revision)
	})
}

func (f *fleet) move(n *fleetNode, revision uint64) {
	if revision <= n.revision {
		return
	}
	n.revision = revision
	n.state.SetRevision(f.now, revision)
	f.schedule(n)
}

// change puts the next revision in force at the reader of each reachable zone.
func (f *fleet) change() {
	f.newest++
	revision := f.newest
	for zone := range designZones {
		// The first gateways are the readers, one a zone.
		reader := f.nodes[zone]
		if reader.region == f.cut {
			continue
		}
		f.at(f.now.Add(f.apply), func() { f.move(reader, revision) })
	}
}

func (f *fleet) everywhere(revision uint64) bool {
	for _, n := range f.nodes {
		if n.revision < revision {
			return false
		}
	}
	return true
}

// measureChanges makes changes at a rate and returns the time from each change
// until it is in force in all gateways, in seconds.
func (f *fleet) measureChanges(rate float64, changes int) []float64 {
	gap := time.Duration(float64(time.Second) / rate)
	made := map[uint64]time.Time{}
	var times []float64
	first := f.newest + 1
	for i := range changes {
		f.at(f.now.Add(time.Duration(i+1)*gap), func() {
			f.change()
			made[f.newest] = f.now
		})
	}
	next := first
	last := first + uint64(changes) - 1
	f.run(f.now.Add(time.Duration(changes)*gap+time.Minute), func() bool {
		for next <= f.newest && f.everywhere(next) {
			times = append(times, f.now.Sub(made[next]).Seconds())
			next++
		}
		return next > last
	})
	return times
}

// measureHeal cuts off one region while the others make an hour of changes, and
// returns the time from the heal until all gateways have the newest revision.
// Only the last seconds of the cut are run: nothing but the revision differs.
func (f *fleet) measureHeal() time.Duration {
	const before = 20 * time.Second
	f.cut = designRegions - 1
	// Messages sent before the cut arrive before anything changes.
	f.run(f.now.Add(time.Second), nil)
	f.newest += uint64(changeRate * time.Hour.Seconds())
	for _, n := range f.nodes {
		if n.region != f.cut {
			f.move(n, f.newest)
		}
	}
	f.run(f.now.Add(before), nil)
	f.cut = -1
	healed := f.now
	f.run(f.now.Add(time.Minute), func() bool { return f.everywhere(f.newest) })
	return f.now.Sub(healed)
}

func (r *runner) spread() {
	apply := time.Duration((r.apply.Value + r.rebuild.Value) * float64(time.Millisecond))
	load := time.Duration(r.snapshotLoad * float64(time.Second))
	for _, rate := range []float64{changeRate, burstRate} {
		f := newFleet(r.Seed, apply, load)
		f.run(f.now.Add(5*time.Second), nil)
		times := f.measureChanges(rate, spreadChanges)
		r.add(simulated("Spread over 380 gateways", fmt.Sprintf("change in force in all gateways, p99 of %d at %s changes/s", len(times), number(rate)),
			"s", quantile(times, 0.99), limitInForce, "a larger fan-out"))
	}
	f := newFleet(r.Seed, apply, load)
	f.run(f.now.Add(5*time.Second), nil)
	healed := f.measureHeal()
	r.add(simulated("Spread over 380 gateways", "region cut off for an hour: all gateways on the newest revision after the heal", "s",
		healed.Seconds(), limitInForce, "a longer history"))
	r.add(simulated("Spread over 380 gateways", "the same: snapshots loaded", "snapshots", float64(f.snapshots), 0, ""))
}

// spreadChanges is how many changes each rate makes.
const spreadChanges = 100

// simulated is a row from the decision code at the design size.
func simulated(section, name, unit string, value, limit float64, remedy string) Row {
	return Row{
		Section: section, Name: name, Unit: unit, Scale: "gateways", Design: designGateways, Value: value, Limit: limit,
		Remedy: remedy, Kind: Simulated, Points: []Point{{designGateways, value}},
	}
}
