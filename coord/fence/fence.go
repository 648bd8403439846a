// Package fence prevents orders of a former lease holder from taking effect after
// those of its successor. Each lease has a fencing number (also known as fencing
// token) that is higher than that of the previous lease. Engines that check it
// refuse orders with an older number. For engines that ignore it, the holder stops
// sending orders a safety margin before its lease ends, and the successor waits
// until the former lease has ended.
package fence

import "time"

// MarginDivisor determines the safety margin, which is the lease's time to live
// divided by it. The margin covers the time between the check of the clock and the
// arrival of an order, and differences in clock rates.
const MarginDivisor = 3

// Mode is the way in which an engine treats the fencing number of an order.
type Mode string

// ModeChecks is the mode of engines that refuse old fencing numbers, ModeIgnores that
// of engines that accept any.
const (
	ModeChecks  Mode = "checks"
	ModeIgnores Mode = "ignores"
)

// CheckResult is Allowed or the reason why an order may not be sent.
type CheckResult string

// Results of Holder.Check.
const (
	Allowed         CheckResult = ""
	RefusedNoLease  CheckResult = "no lease"
	RefusedExpired  CheckResult = "lease ends within the margin"
	RefusedWaiting  CheckResult = "former lease has not ended"
	RefusedOldFence CheckResult = "a higher fencing number is known"
)

// Lease is the right to send orders for a limited time. Times are readings of the
// holder's monotonic clock.
type Lease struct {
	Fence uint64
	// RequestedAt is the time before the request for the grant or renewal was sent.
	// It is the earliest time at which the store may have started the lease.
	RequestedAt time.Time
	TTL         time.Duration
}

// Holder decides whether its process may send orders.
type Holder struct {
	mode        Mode
	lease       Lease
	hasLease    bool
	waitUntil   time.Time
	highestSeen uint64
}

// NewHolder returns a holder without a lease.
func NewHolder(mode Mode) *Holder { return &Holder{mode: mode} }

// RecordGrant records a new lease if its fencing number is higher than all seen
// before, and reports whether it did. formerTimeLeft is the time for which another
// process may still use a former lease, or 0 if there is none.
func (h *Holder) RecordGrant(now time.Time, lease Lease, formerTimeLeft time.Duration) bool {
	if lease.Fence <= h.highestSeen {
		return false
	}
	h.lease, h.hasLease, h.highestSeen = lease, true, lease.Fence
	h.waitUntil = now.Add(formerTimeLeft)
	return true
}

// RecordRenewal records that the current lease was renewed by a request sent at the
// given time. It ignores renewals of another lease and outdated ones, and returns
// false for them.
func (h *Holder) RecordRenewal(fence uint64, requested time.Time) bool {
	if !h.hasLease || fence != h.lease.Fence || requested.Before(h.lease.RequestedAt) {
		return false
	}
	h.lease.RequestedAt = requested
	return true
}

// RecordLoss records that the lease was lost.
func (h *Holder) RecordLoss() { h.hasLease = false }

// Observe records a fencing number used by another process. A higher number than
// that of the lease ends it.
func (h *Holder) Observe(fence uint64) {
	if fence > h.highestSeen {
		h.highestSeen = fence
		h.hasLease = false
	}
}

// Fence returns the fencing number to send with an order.
func (h *Holder) Fence() uint64 { return h.lease.Fence }

// Check decides whether an order may be sent now. The caller must read the monotonic
// clock immediately before sending the order, because a pause of the process in
// between could delay the order past the margin.
func (h *Holder) Check(now time.Time) CheckResult {
	switch {
	case h.lease.Fence < h.highestSeen:
		return RefusedOldFence
	case !h.hasLease:
		return RefusedNoLease
	case !now.Before(h.Deadline()):
		return RefusedExpired
	case h.mode == ModeIgnores && now.Before(h.waitUntil):
		return RefusedWaiting
	}
	return Allowed
}

// Deadline returns the time from which the holder must not send orders. The margin
// is omitted for engines that check the fencing number.
func (h *Holder) Deadline() time.Time {
	end := h.lease.RequestedAt.Add(h.lease.TTL)
	if h.mode == ModeIgnores {
		return end.Add(-h.lease.TTL / MarginDivisor)
	}
	return end
}

// Receiver checks the fencing numbers of the orders that an engine receives. It
// refuses orders with a lower number than an accepted one.
type Receiver struct{ highestAccepted uint64 }

// Accept reports whether the fencing number is at least the highest accepted so far,
// and records it if so. Equal numbers are accepted because they come from the same
// holder, and each order describes the complete desired state.
func (r *Receiver) Accept(fence uint64) bool {
	if fence < r.highestAccepted {
		return false
	}
	r.highestAccepted = fence
	return true
}

// Highest returns the highest fencing number accepted.
func (r *Receiver) Highest() uint64 { return r.highestAccepted }
