package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// simEngine prefills admitted items by priority, one after the other, and then
// decodes each at its own speed.
type simEngine struct {
	q       *Queue
	rate    float64
	decode  float64
	waiting []Outcome
	busy    time.Time
	first   map[string]time.Time
	ends    map[string]time.Time
	items   map[string]Item
	output  int64
}

// outputOf spreads the lengths of answers by 40% either way.
func (e *simEngine) outputOf(i Item) int64 {
	return e.output*6/10 + int64(i.Fingerprint%9)*e.output/10
}

func (e *simEngine) step(now time.Time) (good int64) {
	e.waiting = append(e.waiting, slices.DeleteFunc(e.q.Admit(now), func(o Outcome) bool { return o.Refusal != nil })...)
	slices.SortStableFunc(e.waiting, func(a, b Outcome) int { return a.Priority - b.Priority })
	for len(e.waiting) > 0 && !e.busy.After(now) {
		i := e.waiting[0].Item
		e.waiting = e.waiting[1:]
		e.busy = now.Add(time.Duration(float64(i.PromptTokens) / e.rate * 1e9))
		e.items[i.ID], e.first[i.ID] = i, e.busy
		e.ends[i.ID] = e.busy.Add(time.Duration(float64(e.outputOf(i)) / e.decode * 1e9))
	}
	for id, at := range e.first {
		if !at.After(now) {
			e.q.RecordFirstToken(now, id)
			delete(e.first, id)
		}
	}
	// The order in which items end changes what the queue learns.
	var due []string
	for id, at := range e.ends {
		if !at.After(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		at := e.ends[id]
		e.q.Finish(now, id, e.outputOf(e.items[id]))
		if !at.After(e.items[id].Deadline) {
			good++
		}
		delete(e.ends, id)
		delete(e.items, id)
	}
	return good
}

// Guards against an overload in which the endpoint works on requests that miss
// their deadlines. The believed
// prefill rate is off by a factor of two either way.
func TestOverloadGoodput(t *testing.T) {
	const (
		tick     = time.Millisecond
		duration = 30 * time.Second
		prompt   = 1_000
		rate     = 50_000.0
		capacity = rate / prompt
	)
	for _, believed := range []float64{rate / 2, rate, 2 * rate} {
		t.Run(fmt.Sprintf("rate %g", believed), func(t *testing.T) {
			q := newQueue(Capacity{MemoryTokens: 1_000_000, LimitTokens: 1_000_000, PrefillRate: believed, DecodeRate: 100})
			e := &simEngine{q: q, rate: rate, decode: 100, output: 100, first: map[string]time.Time{}, ends: map[string]time.Time{}, items: map[string]Item{}}
			var good int64
			for n := range int(duration / tick) {
				now := start.Add(time.Duration(n) * tick)
				if n%20 < 3 {
					i := item(fmt.Sprint(n), fmt.Sprint("account", n%7), prompt)
					i.OutputTokens, i.Deadline, i.Fingerprint = 1_000, now.Add(5*time.Second), uint64(n/3)
					_ = q.Enqueue(now, i)
				}
				good += e.step(now)
			}
			share := float64(good) / (capacity * duration.Seconds())
			t.Logf("goodput %.3f of the capacity at three times the load", share)
			if share < 0.9 {
				t.Errorf("goodput is %.3f of the capacity, want at least 0.9", share)
			}
		})
	}
}
