package gossip

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/fence"
	"siskinstand.example/coord/invariant"
)

const (
	simStep          = 50 * time.Millisecond
	leaseTTL         = 5 * time.Second
	propagationLimit = 15 * time.Second
)

type simLease struct {
	holder string
	id     int64
	until  time.Time
}

// simStore simulates the key-value store: a head, shards and one lease per zone.
type simStore struct {
	available      bool
	availableSince time.Time
	// revision is the revision of the head, or zero if there is no head.
	revision uint64
	head     []byte
	shards   map[string][]byte
	leases   map[string]simLease
	nextID   int64
}

func (s *simStore) readHead() config.Head {
	if s.revision == 0 {
		return config.EmptyHead()
	}
	h, err := config.DecodeHead(s.head)
	if err != nil {
		panic(err)
	}
	return h
}

func (s *simStore) document() *config.Document {
	d, err := config.Assemble(config.EmptyDocument(), s.readHead(), func(ref config.ShardRef) ([]config.RowEdit, error) {
		if v, ok := s.shards[ref.Digest]; ok {
			return config.DecodeShard(v, ref)
		}
		return nil, errors.New("shard not found")
	})
	if err != nil {
		panic(err)
	}
	return d
}

// acquire simulates the compare-and-swap of the zone's lease key. It returns the
// lease ID, or zero if the store is unavailable or a process holds the lease.
func (s *simStore) acquire(now time.Time, zone, id string) int64 {
	l := s.leases[zone]
	if !s.available || l.until.After(now) {
		return 0
	}
	s.nextID++
	s.leases[zone] = simLease{holder: id, id: s.nextID, until: now.Add(leaseTTL)}
	return s.nextID
}

func (s *simStore) keepAlive(now time.Time, zone string, id int64) bool {
	l := s.leases[zone]
	if l.id != id || !l.until.After(now) {
		return false
	}
	l.until = now.Add(leaseTTL)
	s.leases[zone] = l
	return true
}

type simNode struct {
	peer      Peer
	state     *State
	inForce   *config.Active
	lease     *fence.Holder
	renewAt   time.Time
	startedAt time.Time
	// lastRevision is the revision at the last check, revisionChangedAt the time at
	// which it came into force.
	lastRevision      uint64
	revisionChangedAt time.Time
}

// testFailer is implemented by *testing.T and *rapid.T.
type testFailer interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

type simulation struct {
	t                  testFailer
	now                time.Time
	store              *simStore
	nodes              []*simNode
	registry           *invariant.Registry
	startCount         uint64
	accepted           []acceptedEdit
	longestPropagation time.Duration
	leaseAttempts      int
	lossPercent        int
	random             *rand.Rand
}

type acceptedEdit struct {
	revision   uint64
	acceptedAt time.Time
	propagated bool
}

func newSimulation(t testFailer, seed uint64, lossPercent, zones, perZone int) *simulation {
	start := time.Unix(1_000_000, 0)
	s := &simulation{
		t: t, now: start, registry: invariant.NewRegistry(nil),
		store:       &simStore{available: true, availableSince: start, shards: map[string][]byte{}, leases: map[string]simLease{}},
		random:      rand.New(rand.NewPCG(seed, 0)),
		lossPercent: lossPercent,
	}
	for i := range zones * perZone {
		s.nodes = append(s.nodes, s.start(i, fmt.Sprintf("z%d", i%zones)))
	}
	s.setPeers()
	return s
}

func (s *simulation) start(index int, zone string) *simNode {
	s.startCount++
	p := Peer{ID: fmt.Sprintf("g%d-%d", index, s.startCount), Zone: zone}
	return &simNode{
		peer: p, startedAt: s.now, inForce: config.NewActive(s.registry),
		lease: fence.NewHolder(fence.ModeIgnores),
		state: New(Config{ID: p.ID, Zone: zone, Seed: s.startCount}, s.now),
	}
}

func (s *simulation) setPeers() {
	var peers []Peer
	for _, n := range s.nodes {
		peers = append(peers, n.peer)
	}
	for _, n := range s.nodes {
		n.state.SetPeers(peers)
	}
}

// restart replaces a process. The new one starts without state.
func (s *simulation) restart(i int) {
	s.nodes[i] = s.start(i, s.nodes[i].peer.Zone)
	s.setPeers()
}

func (s *simulation) find(id string) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.peer.ID == id })
	if i < 0 {
		return nil
	}
	return s.nodes[i]
}

func (s *simulation) dropMessage() bool { return s.random.IntN(100) < s.lossPercent }

// exchange simulates one call of Peer.Exchange. The request or the response may be
// lost.
func (s *simulation) exchange(from *simNode, to *simNode) {
	if to == nil || s.dropMessage() {
		return
	}
	revision := from.inForce.Current().Revision
	actions := to.state.HandleMessage(s.now, from.peer, revision, from.state.Heartbeat(s.now))
	changes, ok := to.inForce.ChangesSince(revision)
	if !s.dropMessage() {
		if ok {
			if _, err := from.inForce.Apply(changes); err != nil {
				s.t.Fatalf("apply changes: %v", err)
			}
		} else {
			from.inForce.ActivateIfNewer(to.inForce.Document())
		}
		from.state.SetRevision(s.now, from.inForce.Current().Revision)
		s.run(from, from.state.HandleMessage(s.now, to.peer, to.inForce.Current().Revision, to.state.Heartbeat(s.now)))
	}
	s.run(to, actions)
}

func (s *simulation) run(n *simNode, actions []Action) {
	for _, a := range actions {
		if a.Kind == ActionTryLease {
			s.tryLease(n)
			continue
		}
		s.exchange(n, s.find(a.Peer.ID))
	}
}

func (s *simulation) tryLease(n *simNode) {
	s.leaseAttempts++
	id := s.store.acquire(s.now, n.peer.Zone, n.peer.ID)
	if id == 0 {
		n.state.ClearLease(s.now)
		return
	}
	n.lease.RecordGrant(s.now, fence.Lease{Fence: uint64(id), RequestedAt: s.now, TTL: leaseTTL}, 0)
	n.renewAt = s.now.Add(leaseTTL / 3)
	n.state.ConfirmLease(s.now)
}

// runReader simulates a zone's configuration reader, which renews the lease and
// watches the head.
func (s *simulation) runReader(n *simNode) {
	if n.lease.Check(s.now) == fence.RefusedNoLease {
		return
	}
	if s.store.available && !s.now.Before(n.renewAt) {
		if !s.store.keepAlive(s.now, n.peer.Zone, int64(n.lease.Fence())) {
			n.lease.RecordLoss()
			n.state.ClearLease(s.now)
			return
		}
		n.lease.RecordRenewal(n.lease.Fence(), s.now)
		n.renewAt = s.now.Add(leaseTTL / 3)
	}
	if n.lease.Check(s.now) != fence.Allowed {
		n.lease.RecordLoss()
		n.state.ClearLease(s.now)
		return
	}
	if s.store.available && s.store.revision > n.inForce.Current().Revision {
		n.inForce.ActivateIfNewer(s.store.document())
		n.state.SetRevision(s.now, n.inForce.Current().Revision)
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	for _, n := range s.nodes {
		s.runReader(n)
		if !s.now.Before(n.state.NextTick()) {
			s.run(n, n.state.Tick(s.now))
		}
	}
	s.checkPropagation()
}

// checkPropagation checks that no process returned to an older revision, that each
// accepted edit is in force everywhere within propagationLimit while the store is
// available, and that a revision in force at one process reaches all others within
// propagationLimit even while the store is unavailable. Processes that started less
// than propagationLimit ago are exempt.
func (s *simulation) checkPropagation() {
	if s.registry.Total() != 0 {
		s.t.Fatalf("invariant violated: %s", s.registry.LastMessage(invariant.ConfigMonotonic))
	}
	lowestRevision, required := ^uint64(0), uint64(0)
	for _, n := range s.nodes {
		revision := n.inForce.Current().Revision
		if revision < n.lastRevision {
			s.t.Fatalf("%s went back from revision %d to %d", n.peer.ID, n.lastRevision, revision)
		}
		if revision > n.lastRevision {
			n.lastRevision, n.revisionChangedAt = revision, s.now
		}
		lowestRevision = min(lowestRevision, revision)
		if s.now.Sub(n.revisionChangedAt) > propagationLimit {
			required = max(required, revision)
		}
	}
	for i := range s.accepted {
		e := &s.accepted[i]
		since := latest(e.acceptedAt, s.store.availableSince)
		if s.store.available && s.now.Sub(since) > propagationLimit {
			required = max(required, e.revision)
		}
		if s.store.available && !e.propagated && lowestRevision >= e.revision {
			e.propagated = true
			s.longestPropagation = max(s.longestPropagation, s.now.Sub(since))
		}
	}
	for _, n := range s.nodes {
		if s.now.Sub(n.startedAt) > propagationLimit && n.inForce.Current().Revision < required {
			s.t.Fatalf("revision %d is not in force at %s within the limit; it has revision %d", required, n.peer.ID, n.lastRevision)
		}
	}
}
