// Package connlimit limits the connections of one host to a replica that accepts a limited
// number of connections from all hosts together.
//
// Each host keeps to an equal share of the limit, so that a host with few requests gets connections
// beside one with many. While the replica turns none away, a host may open as many as the replica
// runs requests at a time, since more would only wait there. The replica may accept fewer than its
// limit; a host then keeps the connections that it uses and tries one more at intervals. If the
// replica resets connections that it has accepted, a further one carries no request until it has
// lasted for SettleTime.
//
// A host whose requests find no connection tells the others how many it has. A host with more of
// them then keeps idle connections only up to the average of both for a while, so that hosts with
// equal needs get equal parts of what the replica accepts. Where there are more hosts than
// connections, those that have one close it after each request for as long.
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
	// IsScarce is set if there are more hosts than the limit.
	IsScarce bool
}

// NewBounds returns the bounds for a replica that accepts a limited number of connections from a
// number of hosts together, and runs requests in a number of slots. A limit of 0 is unknown.
func NewBounds(limit, hosts, slots int) Bounds {
	if limit <= 0 {
		return Bounds{}
	}
	share := max(1, limit/max(1, hosts))
	return Bounds{Share: share, Most: max(share, min(limit, slots)), IsScarce: limit < hosts}
}

// Limit is what a host has learned about the limit of one replica. The zero value has learned
// nothing.
type Limit struct {
	isSet    bool
	refused  time.Duration
	openThen int
	// resets is set if the replica has reset a connection after accepting it.
	resets bool
	// yielded is the time since which the host keeps at most kept connections, or 0.
	yielded time.Duration
	kept    int
}

// WithRefusal returns a limit that has learned that the replica turned away a connection while
// it had the given number of others open to this host.
func (l Limit) WithRefusal(now time.Duration, open int) Limit {
	l.isSet, l.refused, l.openThen, l.resets = true, now, open, l.resets && l.IsLearned(now)
	return l
}

// WithReset is WithRefusal for a connection that the replica had accepted.
func (l Limit) WithReset(now time.Duration, open int) Limit {
	l = l.WithRefusal(now, open)
	l.resets = true
	return l
}

// WithOpen returns a limit that has learned that the replica accepts the given number of
// connections to this host.
func (l Limit) WithOpen(open int) Limit {
	l.openThen = max(l.openThen, open)
	return l
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

// MustSettle reports whether a further connection must last for SettleTime before it carries a
// request.
func (l Limit) MustSettle(now time.Duration) bool { return l.IsLearned(now) && l.resets }

// Max returns how many connections the host may have open to the replica.
func (l Limit) Max(now time.Duration, b Bounds) int {
	if !l.IsLearned(now) {
		return orUnbounded(b.Most)
	}
	return max(1, min(orUnbounded(b.Share), l.openThen+int((now-l.refused)/GrowthInterval)))
}

// WithYield returns a limit that has learned that the replica turns connections of another host away,
// which has the given number of them, while this one has own. A host with a single connection closes
// it after each request while another host has none.
func (l Limit) WithYield(now time.Duration, own, theirs int) Limit {
	switch {
	case own > theirs+1:
		l.yielded, l.kept = now, max(1, (own+theirs+1)/2)
	case own > 0 && theirs == 0:
		l.yielded, l.kept = now, 0
	}
	return l
}

// IsYielding reports whether another host was turned away within Memory.
func (l Limit) IsYielding(now time.Duration) bool { return l.yielded > 0 && now-l.yielded < Memory }

// MaxIdle returns how many connections the host may have open to the replica, including idle ones,
// when one becomes idle and no request waits for it. An idle connection takes the place of another
// host's request.
func (l Limit) MaxIdle(now time.Duration, b Bounds) int {
	share := orUnbounded(b.Share)
	switch {
	case !l.IsYielding(now):
		return share
	case b.IsScarce:
		return 0
	}
	return min(share, l.kept)
}

func orUnbounded(n int) int {
	if n == 0 {
		return math.MaxInt
	}
	return n
}
