// Package fence keeps a former holder's orders from taking effect after its
// successor's. Engines that check the fencing number refuse an older one. For
// engines that ignore it, the holder stops a margin before its lease ends and
// the successor waits until the former lease has ended.
package fence

import "time"

// MarginDivisor is the share of a lease that a holder does not use. It covers
// the time between the check of the clock and the arrival of the order, and
// the difference between the clocks' speeds.
const MarginDivisor = 3

// Mode says what an engine does with the fencing number of an order.
type Mode string

// The modes of engines.
const (
	ModeChecks  Mode = "checks"
	ModeIgnores Mode = "ignores"
)

// Refusal says why an order may not be sent.
type Refusal string

// The refusals. An empty one allows the order.
const (
	Allowed         Refusal = ""
	RefusedNoLease  Refusal = "no lease"
	RefusedExpired  Refusal = "lease ends within the margin"
	RefusedWaiting  Refusal = "former lease has not ended"
	RefusedOldFence Refusal = "a higher fencing number is known"
)

// Lease is a holder's right to give orders. Times come from the holder's own
// monotonic clock.
type Lease struct {
	Fence uint64
	// RequestedAt is the time before the grant or renewal was requested, from
	// which the store may have counted the lease.
	RequestedAt time.Time
	TTL         time.Duration
}

// Holder decides whether its process may give orders.
type Holder struct {
	mode    Mode
	lease   Lease
	holds   bool
	waits   time.Time
	highest uint64
}

// NewHolder returns a holder without lease.
func NewHolder(mode Mode) *Holder { return &Holder{mode: mode} }

// RecordGrant records a new lease. former is the time to live of a lease that
// another process may still believe it holds; 0 means that there is none.
func (h *Holder) RecordGrant(now time.Time, lease Lease, former time.Duration) bool {
	if lease.Fence <= h.highest {
		return false
	}
	h.lease, h.holds, h.highest = lease, true, lease.Fence
	h.waits = now.Add(former)
	return true
}

// RecordRenewal records a renewal that was requested at the given time.
func (h *Holder) RecordRenewal(fence uint64, requested time.Time) bool {
	if !h.holds || fence != h.lease.Fence || requested.Before(h.lease.RequestedAt) {
		return false
	}
	h.lease.RequestedAt = requested
	return true
}

// RecordLoss ends the lease.
func (h *Holder) RecordLoss() { h.holds = false }

// Observe records a fencing number seen elsewhere. A higher one ends the lease.
func (h *Holder) Observe(fence uint64) {
	if fence > h.highest {
		h.highest = fence
		h.holds = false
	}
}

// Fence returns the number for the next order.
func (h *Holder) Fence() uint64 { return h.lease.Fence }

// Check decides on one order. The caller reads the monotonic clock directly
// before it sends the order, so that a pause cannot fall between the two.
func (h *Holder) Check(now time.Time) Refusal {
	switch {
	case h.lease.Fence < h.highest:
		return RefusedOldFence
	case !h.holds:
		return RefusedNoLease
	case !now.Before(h.Deadline()):
		return RefusedExpired
	case h.mode == ModeIgnores && now.Before(h.waits):
		return RefusedWaiting
	}
	return Allowed
}

// Deadline returns the time from which the holder gives no orders. An engine that
// checks the number needs no margin.
func (h *Holder) Deadline() time.Time {
	end := h.lease.RequestedAt.Add(h.lease.TTL)
	if h.mode == ModeIgnores {
		return end.Add(-h.lease.TTL / MarginDivisor)
	}
	return end
}

// Gate is the receiver's side: it accepts orders in ascending fencing numbers.
type Gate struct{ highest uint64 }

// Accept reports whether an order is not older than one accepted before. Equal
// numbers come from the same holder, whose orders state an end state.
func (g *Gate) Accept(fence uint64) bool {
	if fence < g.highest {
		return false
	}
	g.highest = fence
	return true
}

// Highest returns the highest number accepted.
func (g *Gate) Highest() uint64 { return g.highest }
