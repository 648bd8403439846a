// Package connlimit limits the connections of one host to a replica that accepts a limited
// number of connections from all hosts together.
//
// Each host keeps to an equal share of the limit, so that a host with few requests gets connections
// beside one with many. While the replica turns none away, a host may open as many as the replica
// runs requests at a time, since more would only wait there. The replica may accept fewer than its
// limit; a host then keeps the connections that it has and tries one more at intervals, which
// carries no request until it has lasted for SettleTime: some replicas reset a connection only after
// they have accepted it.
// Times are readings of a clock that keeps counting while the host is suspended.
package connlimit

import (
	"math"
	"time"
)

const (
	// Memory is how long a host keeps to its share after a connection was turned away.
	Memory = 2 * time.Second
	// GrowthInterval is the time between two further connections after one was turned away.
	GrowthInterval = 100 * time.Millisecond
	// SettleTime is how long a further connection must last to count as accepted.
	SettleTime = 200 * time.Millisecond
)

// Bounds bound the connections of one host to a replica; 0 means no bound.
type Bounds struct {
	// Share is the host's share of the replica's limit, Most what it may open while the replica
	// turns no connection away.
	Share, Most int
}

// NewBounds returns the bounds for a replica that accepts a limited number of connections from a
// number of hosts together, and runs requests in a number of slots. A limit of 0 is unknown.
func NewBounds(limit, hosts, slots int) Bounds {
	if limit <= 0 {
		return Bounds{}
	}
	share := max(1, limit/max(1, hosts))
	return Bounds{Share: share, Most: max(share, min(limit, slots))}
}

// Limit is what a host has learned about the limit of one replica. The zero value has learned
// nothing.
type Limit struct {
	isSet    bool
	refused  time.Duration
	openThen int
}

// WithRefusal returns a limit that has learned that the replica turned away a connection while
// it had the given number of others open to this host.
func (l Limit) WithRefusal(now time.Duration, open int) Limit {
	return Limit{isSet: true, refused: now, openThen: open}
}

// WithSuccess returns a limit that has learned that the replica has accepted a further connection.
// It grows by half, since a lost packet may have been taken for a refusal.
func (l Limit) WithSuccess() Limit {
	l.openThen += max(1, l.openThen/2)
	return l
}

// Accepted returns how many connections to the host the replica is known to accept.
func (l Limit) Accepted() int { return l.openThen }

// IsLearned reports whether a connection was turned away within Memory.
func (l Limit) IsLearned(now time.Duration) bool { return l.isSet && now-l.refused < Memory }

// Max returns how many connections the host may have open to the replica.
func (l Limit) Max(now time.Duration, b Bounds) int {
	if !l.IsLearned(now) {
		return orUnbounded(b.Most)
	}
	return max(1, min(orUnbounded(b.Share), l.openThen+int((now-l.refused)/GrowthInterval)))
}

// MaxIdle returns how many connections the host may have open to the replica, including idle ones,
// when one becomes idle. It never exceeds the share, since an idle connection takes the place of
// another host's request.
func (b Bounds) MaxIdle() int { return orUnbounded(b.Share) }

func orUnbounded(n int) int {
	if n == 0 {
		return math.MaxInt
	}
	return n
}
