// Package gossip decides when gateways exchange configuration revisions and the
// heartbeat of their zone's configuration reader. The reader is the gateway that
// holds the zone's lease and reads the configuration from the store. The package
// does no I/O: it returns the actions that the caller has to carry out.
package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fan-out and timing of the exchanges.
const (
	// NotifyFanout is the number of peers that are notified of a higher revision.
	NotifyFanout = 4
	// NotifyInterval is the minimum time between two rounds of notifications.
	NotifyInterval = 200 * time.Millisecond
	// ExchangeInterval is the time between periodic exchanges with a random peer.
	ExchangeInterval = time.Second
	// ReaderTimeout is the age of the reader's heartbeat after which another
	// gateway of the zone tries to acquire the lease.
	ReaderTimeout = 5 * time.Second
	// maxTakeoverDelay limits the random delay before such an attempt, which keeps
	// the gateways of a zone from writing to the store all at once.
	maxTakeoverDelay = 2 * time.Second
	// minTakeoverRetryInterval is the minimum time between two attempts. It is
	// shorter than ReaderTimeout, because the lease of a dead reader may expire
	// soon after a failed attempt.
	minTakeoverRetryInterval = 2500 * time.Millisecond
	// pullTimeout is the time after which a pull counts as lost. Until then no other
	// peer is asked for the same or a lower revision.
	pullTimeout = time.Second
	// sameZoneQuarters is the share of the periodic exchanges, in quarters, that are
	// restricted to peers of the same zone, because only those peers use the
	// heartbeat, and it has to reach them within ReaderTimeout.
	sameZoneQuarters = 3
)

// Peer is another gateway that takes part in the exchanges.
type Peer struct {
	ID      string
	Zone    string
	Address string
}

// Heartbeat names a zone's configuration reader and the age of its latest
// heartbeat.
type Heartbeat struct {
	Reader string
	Age    time.Duration
}

// ActionKind is the kind of an action.
type ActionKind string

// Kinds of actions.
const (
	// ActionExchange sends this gateway's revision and heartbeat to the peer.
	ActionExchange ActionKind = "exchange"
	// ActionPull requests the missing changes from a peer with a higher revision.
	ActionPull ActionKind = "pull"
	// ActionTryLease attempts to become the zone's configuration reader.
	ActionTryLease ActionKind = "try_lease"
)

// Action is an operation that the caller has to carry out now.
type Action struct {
	Kind ActionKind
	Peer Peer
}

// Config identifies the process. Seed makes its random choices reproducible.
type Config struct {
	ID   string
	Zone string
	Seed uint64
}

// State is the gossip state of one process. It is not safe for concurrent use.
type State struct {
	config   Config
	random   *rand.Rand
	peers    []Peer
	revision uint64

	notifyAt     time.Time
	lastNotified time.Time
	exchangeAt   time.Time

	// pullingRevision is the revision requested most recently from a peer. Requests
	// for it or a lower one are suppressed until pullUntil.
	pullingRevision uint64
	pullUntil       time.Time

	reader      string
	heartbeatAt time.Time
	takeoverAt  time.Time
	leaseHeld   bool
}

// New returns the state of a process that starts at the given time without a
// configuration.
func New(c Config, now time.Time) *State {
	s := &State{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), heartbeatAt: now.Add(-ReaderTimeout)}
	s.exchangeAt = now
	s.takeoverAt = now.Add(s.takeoverDelay())
	return s
}

func (s *State) takeoverDelay() time.Duration {
	return time.Duration(s.random.Int64N(int64(maxTakeoverDelay)))
}

// SetPeers replaces the list of peers. The process itself is left out of it.
func (s *State) SetPeers(peers []Peer) {
	s.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.ID == s.config.ID })
}

// SetRevision records that a higher revision is in force in this process and
// schedules the notification of peers.
func (s *State) SetRevision(now time.Time, revision uint64) {
	if revision <= s.revision {
		return
	}
	s.revision = revision
	if s.notifyAt.IsZero() {
		s.notifyAt = latest(now, s.lastNotified.Add(NotifyInterval))
	}
}

// HandleMessage processes the revision and heartbeat from a peer's message. It
// returns an ActionPull if the peer has a higher revision, unless a pull of that or a
// higher revision is in progress.
func (s *State) HandleMessage(now time.Time, from Peer, revision uint64, heartbeat Heartbeat) []Action {
	if from.Zone == s.config.Zone && heartbeat.Reader != "" {
		s.recordHeartbeat(heartbeat.Reader, now.Add(-heartbeat.Age))
	}
	if revision > s.revision && (revision > s.pullingRevision || !now.Before(s.pullUntil)) {
		s.pullingRevision, s.pullUntil = revision, now.Add(pullTimeout)
		return []Action{{Kind: ActionPull, Peer: from}}
	}
	return nil
}

func (s *State) recordHeartbeat(reader string, at time.Time) {
	if !at.After(s.heartbeatAt) {
		return
	}
	s.heartbeatAt, s.reader = at, reader
	s.takeoverAt = at.Add(ReaderTimeout + s.takeoverDelay())
}

// ConfirmLease records that this process holds the reader lease.
func (s *State) ConfirmLease(now time.Time) {
	s.leaseHeld = true
	s.recordHeartbeat(s.config.ID, now)
}

// ClearLease records that the lease was lost, or that an attempt to acquire it
// failed.
func (s *State) ClearLease(now time.Time) {
	s.leaseHeld = false
	s.takeoverAt = latest(s.takeoverAt, now.Add(minTakeoverRetryInterval+s.takeoverDelay()))
}

// Heartbeat returns the heartbeat to send to peers.
func (s *State) Heartbeat(now time.Time) Heartbeat {
	if s.leaseHeld {
		return Heartbeat{Reader: s.config.ID}
	}
	return Heartbeat{Reader: s.reader, Age: max(0, now.Sub(s.heartbeatAt))}
}

// NextTick returns the time of the next call of Tick.
func (s *State) NextTick() time.Time {
	next := s.exchangeAt
	if !s.notifyAt.IsZero() && s.notifyAt.Before(next) {
		next = s.notifyAt
	}
	if !s.leaseHeld && s.takeoverAt.Before(next) {
		next = s.takeoverAt
	}
	return next
}

// Tick returns the actions that are due.
func (s *State) Tick(now time.Time) []Action {
	var actions []Action
	if !s.notifyAt.IsZero() && !now.Before(s.notifyAt) {
		s.notifyAt, s.lastNotified = time.Time{}, now
		for _, p := range s.samplePeers(NotifyFanout) {
			actions = append(actions, Action{Kind: ActionExchange, Peer: p})
		}
	}
	if !now.Before(s.exchangeAt) {
		s.exchangeAt = now.Add(ExchangeInterval)
		if p, ok := s.chooseExchangePeer(); ok {
			actions = append(actions, Action{Kind: ActionExchange, Peer: p})
		}
	}
	if !s.leaseHeld && !now.Before(s.takeoverAt) {
		s.takeoverAt = now.Add(minTakeoverRetryInterval + s.takeoverDelay())
		actions = append(actions, Action{Kind: ActionTryLease})
	}
	return actions
}

func (s *State) samplePeers(n int) []Peer {
	var chosen []Peer
	for _, i := range s.random.Perm(len(s.peers)) {
		if len(chosen) == n {
			break
		}
		chosen = append(chosen, s.peers[i])
	}
	return chosen
}

// chooseExchangePeer chooses a random peer for a periodic exchange, mostly one of the
// same zone.
func (s *State) chooseExchangePeer() (Peer, bool) {
	candidates := s.peers
	if s.random.IntN(4) < sameZoneQuarters {
		candidates = slices.DeleteFunc(slices.Clone(s.peers), func(p Peer) bool { return p.Zone != s.config.Zone })
	}
	if len(candidates) == 0 {
		candidates = s.peers
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return candidates[s.random.IntN(len(candidates))], true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
