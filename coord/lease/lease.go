// Package lease decides when the holder of a lease in the key-value store may
// still act. It keeps no clock; every call takes the monotonic time.
package lease

import "time"

// marginParts is the part of the lease, one third, during which the holder no
// longer acts. It covers a pause between the check and the action.
const marginParts = 3

// Lease is what a process knows of a lease. The zero value is not held.
type Lease struct {
	// Fence is the fencing number: the store's lease identifier, which grows.
	Fence      int64
	timeToLive time.Duration
	renewed    time.Time
}

// Granted returns a held lease. The time to live counts from the moment the
// request was sent, because the store may have started it at any time after.
func Granted(fence int64, sent time.Time, timeToLive time.Duration) Lease {
	return Lease{Fence: fence, renewed: sent, timeToLive: timeToLive}
}

// Renewed returns the lease after a renewal that was sent at the given time.
func (l Lease) Renewed(sent time.Time, timeToLive time.Duration) Lease {
	if l.Fence == 0 || sent.Before(l.renewed) {
		return l
	}
	l.renewed, l.timeToLive = sent, timeToLive
	return l
}

// Usable reports whether the holder may act now.
func (l Lease) Usable(now time.Time) bool {
	return l.Fence != 0 && now.Before(l.renewed.Add(l.timeToLive-l.timeToLive/marginParts))
}

// Expired reports whether the store has certainly ended the lease.
func (l Lease) Expired(now time.Time) bool {
	return l.Fence == 0 || !now.Before(l.renewed.Add(l.timeToLive))
}

// RenewAt returns the time of the next renewal, a third into the lease, so
// that one lost renewal can be repeated before the margin begins.
func (l Lease) RenewAt() time.Time { return l.renewed.Add(l.timeToLive / marginParts) }
