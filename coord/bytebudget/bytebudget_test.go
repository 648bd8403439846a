package bytebudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

func testConfig() Config {
	return Config{
		Limit: 16 * mib, Reserve: 4 * mib, SmallBytes: 64 * kib, Share: 0.5, BodyShare: 0.75,
		StallTime: 500 * time.Millisecond, ProgressBytes: 4 * kib, QuietTime: 25 * time.Millisecond, MaxClaims: 1000,
	}
}

// receive grows a claim as a body that arrives, and closes the victims as the process does.
func receive(b *Budget, now time.Duration, c *Claim, n int64) (granted bool, victims []*Claim) {
	d := b.Grow(now, c, n)
	for _, v := range d.Victims {
		b.Close(v)
	}
	if !d.Granted {
		d = b.Grow(now, c, n)
	}
	if d.Granted {
		b.Progress(now, c, n)
	}
	return d.Granted, append(victims, d.Victims...)
}

// crowd opens claims that take n bytes each at the given time, from sources of their own.
func crowd(b *Budget, now time.Duration, kind Kind, count int, n int64) []*Claim {
	var claims []*Claim
	for i := range count {
		c := b.Open(now, kind, fmt.Sprintf("source-%d", i), "")
		if d := b.Grow(now, c, n); d.Granted {
			b.Progress(now, c, n)
			claims = append(claims, c)
		}
	}
	return claims
}

// Guards against bodies that stall short of their end and keep a client from being served that
// makes progress.
func TestStalledBodiesGiveWay(t *testing.T) {
	b := New(testConfig())
	stalled := crowd(b, 0, KindBody, 20, mib)
	if len(stalled) != 12 {
		t.Fatalf("%d bodies of 1 MiB admitted, want 12 of a limit of 16 MiB", len(stalled))
	}
	c := b.Open(100*time.Millisecond, KindBody, "late", "")
	if granted, _ := receive(b, 100*time.Millisecond, c, mib); granted {
		t.Error("a later body displaced older ones that had just made progress")
	}
	if granted, _ := receive(b, time.Second, c, mib); !granted {
		t.Error("a body that makes progress was not admitted after the others had stalled")
	}
	evicted := 0
	for _, v := range stalled {
		if v.IsEvicted() {
			evicted++
		}
	}
	if evicted != 1 {
		t.Errorf("%d bodies gave way, want 1", evicted)
	}
}

// Guards against two bodies that wait for each other's memory for ever.
func TestOldestBodyIsAdmittedAtLast(t *testing.T) {
	b := New(testConfig())
	claims := crowd(b, 0, KindBody, 12, mib)
	oldest := claims[0]
	oldest.openedAt = -1
	granted, _ := receive(b, 10*time.Millisecond, oldest, mib)
	if !granted || oldest.IsEvicted() {
		t.Error("the oldest body was not admitted although younger ones were arriving")
	}
}

// Guards against a crowd that keeps ordinary small requests out, also if bytes are never returned.
func TestSmallRequestsUseReserve(t *testing.T) {
	b := New(testConfig())
	for _, c := range crowd(b, 0, KindBody, 20, mib) {
		b.SetPhase(0, c, PhaseInUse) // never returned
	}
	for _, c := range crowd(b, 0, KindResponse, 20, mib) {
		b.SetPhase(0, c, PhaseInUse)
	}
	if b.Total() != 16*mib {
		t.Fatalf("%d bytes held, want all 16 MiB", b.Total())
	}
	for i := range 60 {
		c := b.Open(time.Second, KindBody, "balancer", "")
		if granted, _ := receive(b, time.Second, c, 64*kib); !granted {
			t.Fatalf("ordinary request %d of 60 refused", i)
		}
	}
	if b.Total() > 20*mib {
		t.Errorf("%d bytes held, limit and reserve are 20 MiB", b.Total())
	}
}

// Guards against a small request that has just arrived and gives way to others.
func TestNewSmallRequestNeverGivesWay(t *testing.T) {
	b := New(testConfig())
	crowd(b, 0, KindBody, 20, mib)
	small := b.Open(900*time.Millisecond, KindBody, "s", "")
	if granted, _ := receive(b, 900*time.Millisecond, small, 16*kib); !granted {
		t.Fatal("small request refused")
	}
	for i := range 40 {
		c := b.Open(time.Second, KindBody, fmt.Sprint(i), "")
		receive(b, time.Second, c, mib)
	}
	if small.IsEvicted() {
		t.Error("a small request of 100 ms gave way to large ones")
	}
}

// Guards against one source or one account that holds all memory, and against shares that refuse
// small requests of callers behind a balancer.
func TestShares(t *testing.T) {
	for _, name := range []string{"source", "account"} {
		b := New(testConfig())
		open := func() *Claim {
			if name == "source" {
				return b.Open(0, KindBody, "one", "")
			}
			return b.Open(0, KindBody, "", "one")
		}
		admitted := 0
		for range 20 {
			if granted, _ := receive(b, 0, open(), mib); granted {
				admitted++
			}
		}
		if admitted != 8 {
			t.Errorf("%d bodies of 1 MiB of one %s admitted, want 8, half of the limit", admitted, name)
		}
		if granted, _ := receive(b, 0, open(), 64*kib); !granted {
			t.Errorf("a small request of a %s with all of its share was refused", name)
		}
		if granted, _ := receive(b, 0, b.Open(0, KindBody, "other", "other"), mib); !granted {
			t.Errorf("another %s was refused", name)
		}
	}
}

// Guards against responses that find no memory because bodies hold all of it, and against a cut of
// a response whose caller reads.
func TestResponses(t *testing.T) {
	b := New(testConfig())
	crowd(b, 0, KindBody, 20, mib)
	responses := crowd(b, 0, KindResponse, 4, mib)
	if len(responses) != 4 {
		t.Fatalf("%d responses of 1 MiB admitted beside bodies, want 4", len(responses))
	}
	for _, c := range responses {
		b.SetPhase(0, c, PhaseDelivering)
	}
	b.Progress(900*time.Millisecond, responses[0], 16*kib)
	for i := range 40 {
		receive(b, time.Second, b.Open(time.Second, KindResponse, fmt.Sprint(i), ""), mib)
	}
	if responses[0].IsEvicted() || !responses[1].IsEvicted() {
		t.Errorf("cut off: read response %t, unread response %t; want only the unread one", responses[0].IsEvicted(), responses[1].IsEvicted())
	}
}

// Guards against connections without a request that keep new ones out.
func TestStalledConnectionGivesWay(t *testing.T) {
	b := New(testConfig())
	first := b.Open(0, KindHeader, "a", "")
	b.Open(100*time.Millisecond, KindHeader, "b", "")
	inUse := b.Open(-time.Second, KindHeader, "c", "")
	b.SetPhase(-time.Second, inUse, PhaseInUse)
	if v := b.EvictStalled(20 * time.Millisecond); v != nil {
		t.Error("a connection gave way before it could send its request")
	}
	if v := b.EvictStalled(time.Second); v != first {
		t.Errorf("connection of %+v gave way, want the one idle for longest", v)
	}
}

// Guards against bytes that stay charged, and totals above the limits, in any order of calls.
func TestAllBytesAreReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(testConfig())
		var claims []*Claim
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if len(claims) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				claims = append(claims, b.Open(now, Kind(rapid.IntRange(0, 2).Draw(t, "kind")), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "source"), rapid.SampledFrom([]string{"", "x"}).Draw(t, "account")))
			}
			c := claims[rapid.IntRange(0, len(claims)-1).Draw(t, "claim")]
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				b.SetPhase(now, c, Phase(rapid.IntRange(0, 2).Draw(t, "phase")))
			case 1:
				b.Close(c)
			case 2:
				b.Shrink(c, rapid.Int64Range(0, mib).Draw(t, "shrink"))
			default:
				b.Grow(now, c, rapid.Int64Range(1, 3*mib).Draw(t, "grow"))
			}
			if b.large > 16*mib || b.Total() > 20*mib || b.large < 0 || b.small < 0 {
				t.Fatalf("large %d, small %d bytes held", b.large, b.small)
			}
		}
		for _, c := range claims {
			b.Close(c)
		}
		if b.Total() != 0 || b.byKind != [KindCount]int64{} || len(b.claims)+len(b.sources)+len(b.accounts) != 0 {
			t.Errorf("after all claims were closed: %+v", b)
		}
	})
}
