// Package gossip decides how configuration revisions and the heartbeat of a
// zone's configuration reader travel between gateways.
package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of the exchanges.
const (
	// NotifyFanout peers are told of a higher revision at once.
	NotifyFanout = 4
	// NotifyInterval is the least time between two notifications.
	NotifyInterval = 200 * time.Millisecond
	// ExchangeInterval is the time between exchanges with a random peer.
	ExchangeInterval = time.Second
	// ReaderTimeout is the age of the reader's heartbeat after which another
	// gateway of the zone tries to get the lease.
	ReaderTimeout = 5 * time.Second
	// takeoverSpread bounds the random delay before such an attempt, so that
	// the gateways of a zone do not all write to the store at once.
	takeoverSpread = 2 * time.Second
	// takeoverRetry is the least time between two attempts. A lease of a
	// process that died ends meanwhile, so it is shorter than ReaderTimeout.
	takeoverRetry = 2500 * time.Millisecond
	// pullTimeout ends the wait for a pull whose answer was lost. Until then a
	// second peer with the same revision is not asked.
	pullTimeout = time.Second
	// ownZoneShare is how many of 4 exchanges stay in the zone: the heartbeat
	// is only of use there and has to arrive within ReaderTimeout.
	ownZoneShare = 3
)

// Peer is another gateway.
type Peer struct {
	ID      string
	Zone    string
	Address string
}

// Heartbeat is the latest known heartbeat of a zone's configuration reader.
type Heartbeat struct {
	Reader string
	Age    time.Duration
}

// ActionKind says what an action asks for.
type ActionKind string

// The kinds of actions.
const (
	// ActionExchange sends the own digest to the peer.
	ActionExchange ActionKind = "exchange"
	// ActionPull asks a peer that is ahead for the changes.
	ActionPull ActionKind = "pull"
	// ActionTryLease attempts to become the zone's configuration reader.
	ActionTryLease ActionKind = "try_lease"
)

// Action is one thing the process has to do now.
type Action struct {
	Kind ActionKind
	Peer Peer
}

// Config names the process. Seed makes its random choices repeatable.
type Config struct {
	ID   string
	Zone string
	Seed uint64
}

// State is the propagation state of one process. It is not safe for
// concurrent use.
type State struct {
	config   Config
	random   *rand.Rand
	peers    []Peer
	revision uint64

	notifyAt   time.Time
	notified   time.Time
	exchangeAt time.Time

	pulling   uint64
	pullUntil time.Time

	reader      string
	heartbeatAt time.Time
	takeoverAt  time.Time
	reading     bool
}

// New returns the state of a process that starts now without a configuration.
func New(c Config, now time.Time) *State {
	s := &State{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), heartbeatAt: now.Add(-ReaderTimeout)}
	s.exchangeAt = now
	s.takeoverAt = now.Add(s.delay())
	return s
}

func (s *State) delay() time.Duration { return time.Duration(s.random.Int64N(int64(takeoverSpread))) }

// SetPeers replaces the list of other gateways.
func (s *State) SetPeers(peers []Peer) {
	s.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.ID == s.config.ID })
}

// SetRevision tells that a higher revision is in force here.
func (s *State) SetRevision(now time.Time, revision uint64) {
	if revision <= s.revision {
		return
	}
	s.revision = revision
	if s.notifyAt.IsZero() {
		s.notifyAt = latest(now, s.notified.Add(NotifyInterval))
	}
}

// HandleMessage takes what a message of a peer says and returns a Pull if that peer is
// ahead.
func (s *State) HandleMessage(now time.Time, from Peer, revision uint64, heartbeat Heartbeat) []Action {
	if from.Zone == s.config.Zone && heartbeat.Reader != "" {
		s.heartbeat(heartbeat.Reader, now.Add(-heartbeat.Age))
	}
	if revision > s.revision && (revision > s.pulling || !now.Before(s.pullUntil)) {
		s.pulling, s.pullUntil = revision, now.Add(pullTimeout)
		return []Action{{Kind: ActionPull, Peer: from}}
	}
	return nil
}

func (s *State) heartbeat(reader string, at time.Time) {
	if !at.After(s.heartbeatAt) {
		return
	}
	s.heartbeatAt, s.reader = at, reader
	s.takeoverAt = at.Add(ReaderTimeout + s.delay())
}

// ConfirmLease tells that this process holds the reader lease.
func (s *State) ConfirmLease(now time.Time) {
	s.reading = true
	s.heartbeat(s.config.ID, now)
}

// ClearLease tells that the lease is lost or was held by another process.
func (s *State) ClearLease(now time.Time) {
	s.reading = false
	s.takeoverAt = latest(s.takeoverAt, now.Add(takeoverRetry+s.delay()))
}

// Heartbeat returns the heartbeat to send to peers.
func (s *State) Heartbeat(now time.Time) Heartbeat {
	if s.reading {
		return Heartbeat{Reader: s.config.ID}
	}
	return Heartbeat{Reader: s.reader, Age: max(0, now.Sub(s.heartbeatAt))}
}

// NextTick returns the time at which Tick has to be called.
func (s *State) NextTick() time.Time {
	next := s.exchangeAt
	if !s.notifyAt.IsZero() && s.notifyAt.Before(next) {
		next = s.notifyAt
	}
	if !s.reading && s.takeoverAt.Before(next) {
		next = s.takeoverAt
	}
	return next
}

// Tick returns what is due.
func (s *State) Tick(now time.Time) []Action {
	var actions []Action
	if !s.notifyAt.IsZero() && !now.Before(s.notifyAt) {
		s.notifyAt, s.notified = time.Time{}, now
		for _, p := range s.sample(NotifyFanout) {
			actions = append(actions, Action{Kind: ActionExchange, Peer: p})
		}
	}
	if !now.Before(s.exchangeAt) {
		s.exchangeAt = now.Add(ExchangeInterval)
		if p, ok := s.partner(); ok {
			actions = append(actions, Action{Kind: ActionExchange, Peer: p})
		}
	}
	if !s.reading && !now.Before(s.takeoverAt) {
		s.takeoverAt = now.Add(takeoverRetry + s.delay())
		actions = append(actions, Action{Kind: ActionTryLease})
	}
	return actions
}

func (s *State) sample(n int) []Peer {
	var chosen []Peer
	for _, i := range s.random.Perm(len(s.peers)) {
		if len(chosen) == n {
			break
		}
		chosen = append(chosen, s.peers[i])
	}
	return chosen
}

// partner chooses the peer of the periodic exchange.
func (s *State) partner() (Peer, bool) {
	near := s.peers
	if s.random.IntN(4) < ownZoneShare {
		near = slices.DeleteFunc(slices.Clone(s.peers), func(p Peer) bool { return p.Zone != s.config.Zone })
	}
	if len(near) == 0 {
		near = s.peers
	}
	if len(near) == 0 {
		return Peer{}, false
	}
	return near[s.random.IntN(len(near))], true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
