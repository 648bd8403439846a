package fence

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Orders only overlap after several events in a specific order, which short runs
// rarely generate.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "300")
}

var start = time.Unix(1_000, 0)

const timeToLive = 9 * time.Second

// order is an order that has not reached the engine yet.
type order struct {
	fence   uint64
	arrival time.Time
}

// simulation consists of a store, two holders and an engine. Orders take up to
// 2.9 s, just less than the margin of 3 s, because the sender may pause after its
// check.
type simulation struct {
	mode          Mode
	now           time.Time
	holders       [2]*Holder
	fence         uint64
	leaseEnd      time.Time
	receiver      Receiver
	latestApplied uint64
	inFlight      []order
}

func (s *simulation) grant(t *rapid.T) {
	if s.now.Before(s.leaseEnd) {
		return
	}
	s.fence++
	// The store may end a lease up to 500 ms before the holder does.
	lease := Lease{Fence: s.fence, RequestedAt: s.now, TTL: timeToLive}
	s.holders[s.fence%2].RecordGrant(s.now, lease, 500*time.Millisecond)
	s.leaseEnd = s.now.Add(timeToLive - time.Duration(rapid.IntRange(0, 500).Draw(t, "early"))*time.Millisecond)
}

func (s *simulation) renew(t *rapid.T) {
	h := s.holders[rapid.IntRange(0, 1).Draw(t, "holder")]
	renewNow := rapid.IntRange(0, 7).Draw(t, "renew") == 0
	if renewNow && h.Fence() == s.fence && s.now.Before(s.leaseEnd) && h.RecordRenewal(s.fence, s.now) {
		s.leaseEnd = s.now.Add(timeToLive)
	}
}

func (s *simulation) send(t *rapid.T) {
	h := s.holders[rapid.IntRange(0, 1).Draw(t, "holder")]
	if h.Check(s.now) == Allowed {
		delay := time.Duration(rapid.IntRange(0, 2_900).Draw(t, "delay")) * time.Millisecond
		s.inFlight = append(s.inFlight, order{h.Fence(), s.now.Add(delay)})
	}
}

func (s *simulation) wait(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.SampledFrom([]int{100, 600, 1_500}).Draw(t, "ms")) * time.Millisecond)
	slices.SortStableFunc(s.inFlight, func(a, b order) int { return a.arrival.Compare(b.arrival) })
	for len(s.inFlight) > 0 && !s.inFlight[0].arrival.After(s.now) {
		fence := s.inFlight[0].fence
		s.inFlight = s.inFlight[1:]
		if s.mode == ModeChecks && !s.receiver.Accept(fence) {
			continue
		}
		if fence < s.latestApplied {
			t.Fatalf("order with fencing number %d took effect after one with %d", fence, s.latestApplied)
		}
		s.latestApplied = fence
	}
}

// Guards against an order of a former holder that takes effect after an order of its
// successor. Renewals, delayed orders and early expiry of leases occur in any
// order.
func TestOrdersDoNotOverlap(t *testing.T) {
	for _, mode := range []Mode{ModeChecks, ModeIgnores} {
		t.Run(string(mode), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := &simulation{mode: mode, now: start, holders: [2]*Holder{NewHolder(mode), NewHolder(mode)}}
				t.Repeat(map[string]func(*rapid.T){
					"renew": s.renew, "send": s.send, "wait": s.wait, "": s.grant,
				})
			})
		})
	}
}

// Guards against a holder that allows an order without a lease, within the margin,
// before the former lease has ended, or with an old fencing number.
func TestHolderRefusals(t *testing.T) {
	h := NewHolder(ModeIgnores)
	want := func(now time.Time, r CheckResult) {
		t.Helper()
		if got := h.Check(now); got != r {
			t.Errorf("check = %q, want %q", got, r)
		}
	}
	want(start, RefusedNoLease)
	h.RecordGrant(start, Lease{Fence: 2, RequestedAt: start, TTL: timeToLive}, time.Second)
	want(start, RefusedWaiting)
	want(start.Add(time.Second), Allowed)
	want(start.Add(6*time.Second), RefusedExpired)
	if h.RecordGrant(start, Lease{Fence: 2}, 0) || h.RecordRenewal(1, start) {
		t.Error("a grant or renewal with an old fencing number was accepted")
	}
	h.RecordRenewal(2, start.Add(5*time.Second))
	want(start.Add(6*time.Second), Allowed)
	h.Observe(3)
	want(start.Add(6*time.Second), RefusedOldFence)
}
