package ramp

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1_000, 0)

const tick = 100 * time.Millisecond

// engine prefills at a fixed rate, and slows down while it is cold and runs
// more than it can handle.
type engine struct {
	l                *Limiter
	now              time.Time
	rate             float64
	coldCapacity     int64
	overloadedRounds int
	lastTick         time.Time
}

// round admits as many prompts as the limit allows and runs them all to the
// end.
func (e *engine) round(prompt int64) {
	cost := prompt + 96
	rate := e.rate
	n := max(e.l.Limit()/cost, 1)
	if e.coldCapacity > 0 && n*cost > e.coldCapacity {
		rate /= 50
		e.overloadedRounds++
	}
	for i := range n {
		e.l.RecordAdmission(e.now, fmt.Sprint(i), prompt, cost, (i+1)*cost)
	}
	admitted := e.now
	for i := range n {
		firstToken := admitted.Add(time.Duration(float64((i+1)*prompt)/rate*1e9) + 20*time.Millisecond)
		for e.now.Before(firstToken) {
			e.now = e.now.Add(min(firstToken.Sub(e.now), tick))
			if e.now.Sub(e.lastTick) >= tick {
				e.lastTick = e.now
				e.l.Tick(e.now)
			}
		}
		e.l.RecordFirstToken(e.now, fmt.Sprint(i))
		e.l.RecordEnd(e.now, fmt.Sprint(i), false)
	}
}

// Guards against giving a restarted endpoint more than it can handle, and
// against never reaching its capacity.
func TestColdEndpointIsNotOverloaded(t *testing.T) {
	e := &engine{l: New(start, DefaultConfig(600_000, 50_000)), now: start, rate: 50_000, coldCapacity: 16_000}
	for prefilled := int64(0); prefilled < 100_000; prefilled += max(e.l.Limit()/1_096, 1) * 1_000 {
		e.round(1_000)
	}
	if e.overloadedRounds != 0 {
		t.Errorf("%d rounds exceeded what the cold endpoint can handle", e.overloadedRounds)
	}
	e.coldCapacity = 0
	for range 100 {
		e.round(4_000)
	}
	if e.l.Limit() < 300_000 {
		t.Errorf("limit = %d after 100 rounds on a warm endpoint, want at least half its memory", e.l.Limit())
	}
}

// Guards against a limit that stays high when a warm endpoint becomes cold.
func TestWarmEndpointBecomesCold(t *testing.T) {
	e := &engine{l: New(start, DefaultConfig(600_000, 50_000)), now: start, rate: 50_000}
	for range 150 {
		e.round(4_000)
	}
	before := e.l.Limit()
	e.coldCapacity = 16_000
	coldSince := e.now
	e.round(4_000)
	if e.l.Limit() > before/4 {
		t.Errorf("limit fell from %d to %d within %s, want a quarter at most", before, e.l.Limit(), e.now.Sub(coldSince))
	}
}

// Guards against a nominal rate that is unknown or off by a factor of two, as
// engines and length estimates are, keeping the limit low.
func TestNominalRateOffByTwo(t *testing.T) {
	for _, nominal := range []float64{0, 25_000, 50_000, 100_000} {
		e := &engine{l: New(start, DefaultConfig(600_000, nominal)), now: start, rate: 50_000}
		for range 150 {
			e.round(4_000)
		}
		if e.l.Limit() < 100_000 {
			t.Errorf("nominal rate %g: limit = %d after 150 rounds, want at least 100000", nominal, e.l.Limit())
		}
	}
}

// Guards against short prompts under light load never raising the limit, and
// against their base latency being taken for a prefill rate.
func TestLightLoadOfShortPrompts(t *testing.T) {
	l := New(start, DefaultConfig(600_000, 200_000))
	now := start
	for i := range 1_000 {
		id := fmt.Sprint(i)
		l.RecordAdmission(now, id, 1_000, 1_100, 1_100)
		now = now.Add(10 * time.Millisecond)
		l.RecordFirstToken(now, id)
		l.RecordEnd(now, id, false)
	}
	if l.Limit() < 300_000 || l.PrefillRate() != 200_000 {
		t.Errorf("limit = %d, rate = %g; want at least 300000 and 200000", l.Limit(), l.PrefillRate())
	}
}

// Guards against learning a rate from responses within the base latency, after
// which first tokens at the true rate look late.
func TestResponsesWithinBaseLatencyKeepRate(t *testing.T) {
	const rate = 50_000
	l, now := New(start, DefaultConfig(600_000, rate)), start
	for i := range 1_000 {
		id := fmt.Sprint(i)
		l.RecordAdmission(now, id, 1_000, 1_100, l.Limit())
		now = now.Add(20 * time.Millisecond)
		l.RecordFirstToken(now, id)
	}
	if l.PrefillRate() > 2*rate {
		t.Errorf("learned rate is %g tokens/s, the engine prefills %d; want at most twice that", l.PrefillRate(), rate)
	}
	before := l.Limit()
	l.RecordAdmission(now, "long", 100_000, 100_100, l.Limit())
	l.RecordFirstToken(now.Add(2*time.Second), "long")
	if l.Limit() < before {
		t.Errorf("limit fell from %d to %d on a first token at the true rate", before, l.Limit())
	}
}

// Guards against a long prompt counting as late on a warm engine because short
// ones overtook it.
func TestOvertakenPromptIsNotLate(t *testing.T) {
	const rate = 50_000
	l, now := New(start, DefaultConfig(600_000, rate)), start
	for l.onTimeTokens < l.config.WarmTokens || l.Limit() < 200_000 {
		l.RecordAdmission(now, "a", 4_000, 4_100, l.Limit())
		now = now.Add(100 * time.Millisecond)
		l.RecordFirstToken(now, "a")
	}
	before := l.Limit()
	l.RecordAdmission(now, "long", 50_000, 50_100, l.Limit())
	// Short prompts take four fifths of the engine, so that the long one takes
	// five times its own prefill time of one second.
	for i := range 100 {
		id := fmt.Sprint(i)
		l.RecordAdmission(now, id, 2_000, 2_100, l.Limit())
		now = now.Add(50 * time.Millisecond)
		l.RecordFirstToken(now, id)
		l.Tick(now)
	}
	l.RecordFirstToken(now, "long")
	if l.Limit() < before {
		t.Errorf("limit fell from %d to %d on a prompt overtaken by short ones", before, l.Limit())
	}
}

// Guards against a rate that counts a prompt again after the engine had almost
// finished it when the next one arrived.
func TestRateCountsWorkOnce(t *testing.T) {
	const rate, prompt, service = 100_000, 40_000, 400 * time.Millisecond
	l := New(start, DefaultConfig(600_000, rate))
	now := start
	l.RecordAdmission(now, "0", prompt, prompt, prompt)
	for i := range 100 {
		end := now.Add(service)
		l.RecordAdmission(end.Add(-service/10), fmt.Sprint(i+1), prompt, prompt, 2*prompt)
		l.RecordFirstToken(end, fmt.Sprint(i))
		now = end
	}
	if got := l.PrefillRate(); got < 0.9*rate || got > 1.1*rate {
		t.Errorf("rate = %g, the engine prefills %d tokens/s; want it within 10%%", got, rate)
	}
}

// Guards against lowering the limit because the engine ran an aged long prompt
// before a short one, and against work in flight hiding a cold engine.
func TestLongPromptFirstIsNotLate(t *testing.T) {
	const rate = 50_000
	for latency, wantDecrease := range map[time.Duration]bool{2100 * time.Millisecond: false, 10 * time.Second: true} {
		l := New(start, DefaultConfig(600_000, rate))
		l.limit = 300_000
		l.RecordAdmission(start, "long", 100_000, 100_100, 100_100)
		l.RecordAdmission(start, "short", 1_000, 1_100, 101_200)
		l.Tick(start.Add(time.Second))
		l.RecordFirstToken(start.Add(latency), "short")
		if decreased := l.Limit() < 300_000; decreased != wantDecrease {
			t.Errorf("short prompt after %s: limit is %d, want a decrease: %t", latency, l.Limit(), wantDecrease)
		}
	}
}

// Guards against a limit outside its bounds and an invalid prefill rate after any
// sequence of events.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := DefaultConfig(rapid.Int64Range(1_000, 1_000_000).Draw(t, "memory"), rapid.SampledFrom([]float64{0, 100, 50_000}).Draw(t, "rate"))
		now := start
		l := New(now, c)
		id := func(t *rapid.T) string { return rapid.StringMatching("[a-e]").Draw(t, "id") }
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				prompt := rapid.Int64Range(1, 1_000_000).Draw(t, "prompt")
				l.RecordAdmission(now, id(t), prompt, prompt+10, rapid.Int64Range(prompt, 2_000_000).Draw(t, "in flight"))
			},
			"first": func(t *rapid.T) { l.RecordFirstToken(now, id(t)) },
			"end":   func(t *rapid.T) { l.RecordEnd(now, id(t), rapid.Bool().Draw(t, "failed")) },
			"reset": func(*rapid.T) { l.Reset(now) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, 400_000).Draw(t, "ms")) * time.Millisecond)
				l.Tick(now)
			},
			"": func(t *rapid.T) {
				if l.Limit() < c.FloorTokens || l.Limit() > c.CeilingTokens {
					t.Fatalf("limit %d is outside %d to %d", l.Limit(), c.FloorTokens, c.CeilingTokens)
				}
				if r := l.PrefillRate(); r < 0 || r != r {
					t.Fatalf("prefill rate %g, want a number that is not negative", r)
				}
			},
		})
	})
}
