package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskinstand.example/coord/verdict"
)

// Queues of more than a few items need long runs.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "200")
}

// model drives a queue with random events and compares its counters with a
// separate count.
type model struct {
	q        *Queue
	now      time.Time
	lastID   int
	capacity Capacity
	waiting  map[string]Item
	arrived  map[string]time.Time
	running  map[string]Item
}

func newModel() *model {
	m := &model{
		q: New(DefaultConfig()), now: time.Unix(1_000, 0), waiting: map[string]Item{}, arrived: map[string]time.Time{}, running: map[string]Item{},
	}
	m.setCapacity(Capacity{MemoryTokens: 1_000_000, LimitTokens: 500_000, PrefillRate: 50_000, DecodeRate: 50})
	return m
}

func (m *model) setCapacity(c Capacity) {
	m.capacity = c
	m.q.SetCapacity(c)
}

func (m *model) enqueue(t *rapid.T) {
	m.lastID++
	item := Item{
		ID: fmt.Sprint(m.lastID), Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
		Weight:       rapid.SampledFrom([]float64{0, 0.1, 1, 3}).Draw(t, "weight"),
		PromptTokens: rapid.SampledFrom([]int64{1, 900, 4_000, 60_000, 150_000, 900_000}).Draw(t, "prompt"),
		OutputTokens: rapid.Int64Range(0, 5_000).Draw(t, "output"),
		Deadline:     m.now.Add(time.Duration(rapid.Int64Range(-10, 120_000).Draw(t, "budget")) * time.Millisecond),
		Fingerprint:  rapid.Uint64().Draw(t, "fingerprint"),
		Isolated:     rapid.IntRange(0, 9).Draw(t, "isolated") == 0,
	}
	if refusal := m.q.Enqueue(m.now, item); refusal != nil {
		if refusal.Verdict != verdict.NotRun || refusal.RetryAfter < 0 || refusal.RetryAfter > 45*time.Second {
			t.Fatalf("enqueue %s: %v with retry after %s, want not_run and at most 45 s", item.ID, refusal, refusal.RetryAfter)
		}
		return
	}
	m.waiting[item.ID], m.arrived[item.ID] = item, m.now
}

func (m *model) admit(t *rapid.T) {
	for _, o := range m.q.Admit(m.now) {
		item, ok := m.waiting[o.Item.ID]
		if !ok {
			t.Fatalf("%s was admitted or refused twice", o.Item.ID)
		}
		delete(m.waiting, o.Item.ID)
		if o.Refusal != nil {
			continue
		}
		if !m.now.Before(item.Deadline) {
			t.Fatalf("%s was admitted after its deadline", item.ID)
		}
		for _, other := range m.running {
			if item.Isolated || other.Isolated {
				t.Fatalf("%s runs beside %s although one is isolated", item.ID, other.ID)
			}
		}
		m.running[item.ID] = item
		if sum := m.reserved(); sum > m.capacity.MemoryTokens || (sum > m.capacity.LimitTokens && len(m.running) > 1) {
			t.Fatalf("%d tokens are reserved with capacity %+v, want no more than its memory, and its limit unless one item runs alone", sum, m.capacity)
		}
	}
}

func (m *model) reserved() int64 {
	var sum int64
	for _, item := range m.running {
		sum += item.Cost()
	}
	return sum
}

// drawID draws a key; the keys are listed in a fixed order.
func drawID(t *rapid.T, items map[string]Item) (string, bool) {
	if len(items) == 0 {
		return "", false
	}
	var ids []string
	for i := range 100_000 {
		if id := fmt.Sprint(i); items[id].ID != "" {
			ids = append(ids, id)
		}
		if len(ids) == len(items) {
			break
		}
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

func (m *model) check(t *rapid.T) {
	var queued int64
	for _, item := range m.waiting {
		queued += item.Cost()
	}
	l := m.q.Load()
	if l.QueuedItems != len(m.waiting) || l.QueuedTokens != queued || l.RunningItems != len(m.running) || l.ReservedTokens != m.reserved() {
		t.Fatalf("load %+v, want %d items of %d tokens queued and %d of %d running", l, len(m.waiting), queued, len(m.running), m.reserved())
	}
	if len(m.waiting)+len(m.running) == 0 && (l.PendingPrefillTokens != 0 || len(m.q.accounts)+len(m.q.ring) != 0 || m.q.drainTarget != nil) {
		t.Fatalf("an empty queue still has state: %+v", m.q)
	}
	if len(m.running) == 0 && len(m.waiting) > 0 && m.capacity.LimitTokens > 0 {
		m.checkProgress(t)
	}
}

// checkProgress fails if nothing runs although an item that would fit on its
// own has waited beyond every bound.
func (m *model) checkProgress(t *rapid.T) {
	for id, item := range m.waiting {
		if m.now.Sub(m.arrived[id]) > 2*m.q.config.AgeBound && item.Cost() <= m.capacity.MemoryTokens {
			t.Fatalf("%+v waits for %s at an idle endpoint", item, m.now.Sub(m.arrived[id]))
		}
	}
}

// Guards against a queue that loses, repeats or over-commits items under any
// order of arrivals, cancellations, refusals and capacity changes, and against
// items that wait forever at an idle endpoint.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.enqueue,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.Int64Range(1, 30_000).Draw(t, "ms")) * time.Millisecond)
			},
			"first token": func(t *rapid.T) {
				if id, ok := drawID(t, m.running); ok {
					m.q.RecordFirstToken(m.now, id)
				}
			},
			"finish": func(t *rapid.T) {
				if id, ok := drawID(t, m.running); ok {
					m.q.Finish(m.now, id, rapid.Int64Range(0, 9_000).Draw(t, "tokens"))
					delete(m.running, id)
				}
			},
			"cancel": func(t *rapid.T) {
				if id, ok := drawID(t, m.waiting); ok && m.q.Cancel(id) {
					delete(m.waiting, id)
				}
			},
			"capacity": func(t *rapid.T) {
				c := m.capacity
				c.LimitTokens = rapid.SampledFrom([]int64{8_192, 100_000, 500_000, 1_000_000}).Draw(t, "limit")
				c.PrefillRate = rapid.SampledFrom([]float64{0, 500, 50_000}).Draw(t, "rate")
				m.setCapacity(c)
			},
			"refuse all": func(t *rapid.T) {
				for _, o := range m.q.RefuseAll(verdict.ReasonZoneOut, "zone is out") {
					if o.Refusal.Verdict != verdict.NotRun || m.waiting[o.Item.ID].ID == "" {
						t.Fatalf("refusal %+v, want not_run for a waiting item", o)
					}
					delete(m.waiting, o.Item.ID)
				}
			},
			"": func(t *rapid.T) { m.admit(t); m.check(t) },
		})
	})
}
