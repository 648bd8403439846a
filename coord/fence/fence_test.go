package fence

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An overlap needs several events in one order, which short runs rarely have.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "300")
}

var start = time.Unix(1_000, 0)

const timeToLive = 9 * time.Second

// order is on its way to the engine.
type order struct {
	number  uint64
	arrival time.Time
}

// world is a store, two holders and an engine. Orders take up to 2.9 s, less
// than the margin of 3 s, because their sender can pause after its check.
type world struct {
	mode     Mode
	now      time.Time
	holders  [2]*Holder
	fence    uint64
	leaseEnd time.Time
	gate     Gate
	latest   uint64
	way      []order
}

func (w *world) grant(t *rapid.T) {
	if w.now.Before(w.leaseEnd) {
		return
	}
	w.fence++
	// The store may end a lease up to half a second before the holder does.
	lease := Lease{Fence: w.fence, RequestedAt: w.now, TTL: timeToLive}
	w.holders[w.fence%2].RecordGrant(w.now, lease, 500*time.Millisecond)
	w.leaseEnd = w.now.Add(timeToLive - time.Duration(rapid.IntRange(0, 500).Draw(t, "early"))*time.Millisecond)
}

func (w *world) renew(t *rapid.T) {
	h := w.holders[rapid.IntRange(0, 1).Draw(t, "holder")]
	rarely := rapid.IntRange(0, 7).Draw(t, "renew") == 0
	if rarely && h.Fence() == w.fence && w.now.Before(w.leaseEnd) && h.RecordRenewal(w.fence, w.now) {
		w.leaseEnd = w.now.Add(timeToLive)
	}
}

func (w *world) send(t *rapid.T) {
	h := w.holders[rapid.IntRange(0, 1).Draw(t, "holder")]
	if h.Check(w.now) == Allowed {
		delay := time.Duration(rapid.IntRange(0, 2_900).Draw(t, "delay")) * time.Millisecond
		w.way = append(w.way, order{h.Fence(), w.now.Add(delay)})
	}
}

func (w *world) wait(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{100, 600, 1_500}).Draw(t, "ms")) * time.Millisecond)
	slices.SortStableFunc(w.way, func(a, b order) int { return a.arrival.Compare(b.arrival) })
	for len(w.way) > 0 && !w.way[0].arrival.After(w.now) {
		number := w.way[0].number
		w.way = w.way[1:]
		if w.mode == ModeChecks && !w.gate.Accept(number) {
			continue
		}
		if number < w.latest {
			t.Fatalf("order %d took effect after %d", number, w.latest)
		}
		w.latest = number
	}
}

// Guards against an order of a former holder that takes effect after one of
// its successor, with renewals, pauses and early ends of leases in any order.
func TestOrdersDoNotOverlap(t *testing.T) {
	for _, mode := range []Mode{ModeChecks, ModeIgnores} {
		t.Run(string(mode), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := &world{mode: mode, now: start, holders: [2]*Holder{NewHolder(mode), NewHolder(mode)}}
				t.Repeat(map[string]func(*rapid.T){
					"renew": w.renew, "send": w.send, "wait": w.wait, "": w.grant,
				})
			})
		})
	}
}

// Guards against each refusal of a holder being lost.
func TestHolderRefusals(t *testing.T) {
	h := NewHolder(ModeIgnores)
	want := func(now time.Time, r Refusal) {
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
		t.Error("an old fencing number was taken")
	}
	h.RecordRenewal(2, start.Add(5*time.Second))
	want(start.Add(6*time.Second), Allowed)
	h.Observe(3)
	want(start.Add(6*time.Second), RefusedOldFence)
}
