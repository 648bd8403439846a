package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// simEngine prefills admitted items one at a time by priority, and then decodes
// them concurrently, each at decodeRate.
type simEngine struct {
	q           *Queue
	prefillRate float64
	decodeRate  float64
	admitted    []Outcome
	busyUntil   time.Time
	firstTokens map[string]time.Time
	ends        map[string]time.Time
	items       map[string]Item
	meanOutput  int64
}

// outputTokens varies the answer lengths by 40% either way.
func (e *simEngine) outputTokens(i Item) int64 {
	return e.meanOutput*6/10 + int64(i.Fingerprint%9)*e.meanOutput/10
}

func (e *simEngine) step(now time.Time) (good int64) {
	e.admitted = append(e.admitted, slices.DeleteFunc(e.q.Admit(now), func(o Outcome) bool { return o.Refusal != nil })...)
	slices.SortStableFunc(e.admitted, func(a, b Outcome) int { return a.Priority - b.Priority })
	for len(e.admitted) > 0 && !e.busyUntil.After(now) {
		i := e.admitted[0].Item
		e.admitted = e.admitted[1:]
		e.busyUntil = now.Add(time.Duration(float64(i.PromptTokens) / e.prefillRate * 1e9))
		e.items[i.ID], e.firstTokens[i.ID] = i, e.busyUntil
		e.ends[i.ID] = e.busyUntil.Add(time.Duration(float64(e.outputTokens(i)) / e.decodeRate * 1e9))
	}
	for id, at := range e.firstTokens {
		if !at.After(now) {
			e.q.RecordFirstToken(now, id)
			delete(e.firstTokens, id)
		}
	}
	// The order in which items finish affects the queue's estimates.
	var finished []string
	for id, at := range e.ends {
		if !at.After(now) {
			finished = append(finished, id)
		}
	}
	slices.Sort(finished)
	for _, id := range finished {
		at := e.ends[id]
		e.q.Finish(now, id, e.outputTokens(e.items[id]))
		if !at.After(e.items[id].Deadline) {
			good++
		}
		delete(e.ends, id)
		delete(e.items, id)
	}
	return good
}

// Guards against an overloaded endpoint working on requests that miss their
// deadlines, with an assumed prefill rate that is right or off by a factor of two
// either way.
func TestOverloadGoodput(t *testing.T) {
	const (
		tick     = time.Millisecond
		duration = 30 * time.Second
		prompt   = 1_000
		rate     = 50_000.0
		capacity = rate / prompt
	)
	for _, assumedRate := range []float64{rate / 2, rate, 2 * rate} {
		t.Run(fmt.Sprintf("rate %g", assumedRate), func(t *testing.T) {
			q := newQueue(Capacity{MemoryTokens: 1_000_000, LimitTokens: 1_000_000, PrefillRate: assumedRate, DecodeRate: 100})
			e := &simEngine{q: q, prefillRate: rate, decodeRate: 100, meanOutput: 100, firstTokens: map[string]time.Time{}, ends: map[string]time.Time{}, items: map[string]Item{}}
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
			t.Logf("goodput %.3f of the capacity at a load of three times the capacity", share)
			if share < 0.9 {
				t.Errorf("goodput is %.3f of the capacity, want at least 0.9", share)
			}
		})
	}
}
