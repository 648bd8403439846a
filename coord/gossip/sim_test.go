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
	simStep  = 50 * time.Millisecond
	leaseTTL = 5 * time.Second
	bound    = 15 * time.Second
)

type simLease struct {
	holder string
	id     int64
	until  time.Time
}

// simStore is the key-value store: a head, shards and one lease a zone.
type simStore struct {
	up      bool
	upSince time.Time
	// revision is the one in head, zero without a head.
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

// acquire is the compare-and-swap of the zone's lease key.
func (s *simStore) acquire(now time.Time, zone, id string) int64 {
	l := s.leases[zone]
	if !s.up || l.until.After(now) {
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

type node struct {
	peer    Peer
	state   *State
	inForce *config.Active
	lease   *fence.Holder
	renewAt time.Time
	born    time.Time
	// seen is the last revision checked, movedAt the time it came into force.
	seen    uint64
	movedAt time.Time
}

// fataler is a test, with or without drawn values.
type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

type simulation struct {
	t        fataler
	now      time.Time
	store    *simStore
	nodes    []*node
	registry *invariant.Registry
	starts   uint64
	accepted []acceptedEdit
	worst    time.Duration
	attempts int
	loss     int
	random   *rand.Rand
}

type acceptedEdit struct {
	revision uint64
	at       time.Time
	done     bool
}

func newSimulation(t fataler, seed uint64, loss, zones, perZone int) *simulation {
	start := time.Unix(1_000_000, 0)
	s := &simulation{
		t: t, now: start, registry: invariant.NewRegistry(nil),
		store:  &simStore{up: true, upSince: start, shards: map[string][]byte{}, leases: map[string]simLease{}},
		random: rand.New(rand.NewPCG(seed, 0)),
		loss:   loss,
	}
	for i := range zones * perZone {
		s.nodes = append(s.nodes, s.start(i, fmt.Sprintf("z%d", i%zones)))
	}
	s.setPeers()
	return s
}

func (s *simulation) start(index int, zone string) *node {
	s.starts++
	p := Peer{ID: fmt.Sprintf("g%d-%d", index, s.starts), Zone: zone}
	return &node{
		peer: p, born: s.now, inForce: config.NewActive(s.registry),
		lease: fence.NewHolder(fence.ModeIgnores),
		state: New(Config{ID: p.ID, Zone: zone, Seed: s.starts}, s.now),
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

// restart replaces a process; nothing of its state survives.
func (s *simulation) restart(i int) {
	s.nodes[i] = s.start(i, s.nodes[i].peer.Zone)
	s.setPeers()
}

func (s *simulation) find(id string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.peer.ID == id })
	if i < 0 {
		return nil
	}
	return s.nodes[i]
}

func (s *simulation) lost() bool { return s.random.IntN(100) < s.loss }

// exchange is one call of Peer.Exchange; request or response may be lost.
func (s *simulation) exchange(from *node, to *node) {
	if to == nil || s.lost() {
		return
	}
	digest := from.inForce.Current().Revision
	follow := to.state.HandleMessage(s.now, from.peer, digest, from.state.Heartbeat(s.now))
	changes, reaches := to.inForce.ChangesSince(digest)
	if !s.lost() {
		if reaches {
			if _, err := from.inForce.Apply(changes); err != nil {
				s.t.Fatalf("apply changes: %v", err)
			}
		} else {
			from.inForce.Advance(to.inForce.Document())
		}
		from.state.SetRevision(s.now, from.inForce.Current().Revision)
		s.run(from, from.state.HandleMessage(s.now, to.peer, to.inForce.Current().Revision, to.state.Heartbeat(s.now)))
	}
	s.run(to, follow)
}

func (s *simulation) run(n *node, actions []Action) {
	for _, a := range actions {
		if a.Kind == ActionTryLease {
			s.tryLease(n)
			continue
		}
		s.exchange(n, s.find(a.Peer.ID))
	}
}

func (s *simulation) tryLease(n *node) {
	s.attempts++
	id := s.store.acquire(s.now, n.peer.Zone, n.peer.ID)
	if id == 0 {
		n.state.ClearLease(s.now)
		return
	}
	n.lease.RecordGrant(s.now, fence.Lease{Fence: uint64(id), RequestedAt: s.now, TTL: leaseTTL}, 0)
	n.renewAt = s.now.Add(leaseTTL / 3)
	n.state.ConfirmLease(s.now)
}

// read is the work of a zone's reader: renewal and the watch on the head.
func (s *simulation) read(n *node) {
	if n.lease.Check(s.now) == fence.RefusedNoLease {
		return
	}
	if s.store.up && !s.now.Before(n.renewAt) {
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
	if s.store.up && s.store.revision > n.inForce.Current().Revision {
		n.inForce.Advance(s.store.document())
		n.state.SetRevision(s.now, n.inForce.Current().Revision)
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	for _, n := range s.nodes {
		s.read(n)
		if !s.now.Before(n.state.NextTick()) {
			s.run(n, n.state.Tick(s.now))
		}
	}
	s.check()
}

// check asserts that no process went back, that each accepted edit is in force
// within the bound while the store is up, and that what is in force at one
// process gets to all others within the bound even while the store is down.
func (s *simulation) check() {
	if s.registry.Total() != 0 {
		s.t.Fatalf("invariant violated: %s", s.registry.LastMessage(invariant.ConfigMonotonic))
	}
	least, owed := ^uint64(0), uint64(0)
	for _, n := range s.nodes {
		revision := n.inForce.Current().Revision
		if revision < n.seen {
			s.t.Fatalf("%s reverted from %d to %d", n.peer.ID, n.seen, revision)
		}
		if revision > n.seen {
			n.seen, n.movedAt = revision, s.now
		}
		least = min(least, revision)
		if s.now.Sub(n.movedAt) > bound {
			owed = max(owed, revision)
		}
	}
	for i := range s.accepted {
		e := &s.accepted[i]
		since := latest(e.at, s.store.upSince)
		if s.store.up && s.now.Sub(since) > bound {
			owed = max(owed, e.revision)
		}
		if s.store.up && !e.done && least >= e.revision {
			e.done = true
			s.worst = max(s.worst, s.now.Sub(since))
		}
	}
	for _, n := range s.nodes {
		if s.now.Sub(n.born) > bound && n.inForce.Current().Revision < owed {
			s.t.Fatalf("revision %d is not in force at %s, which has %d", owed, n.peer.ID, n.seen)
		}
	}
}
