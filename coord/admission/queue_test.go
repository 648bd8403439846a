package admission

import (
	"fmt"
	"testing"
	"time"

	"siskinstand.example/coord/verdict"
)

var start = time.Unix(1_000, 0)

func newQueue(c Capacity) *Queue {
	q := New(DefaultConfig())
	q.SetCapacity(c)
	return q
}

func item(id, account string, prompt int64) Item {
	return Item{ID: id, Account: account, PromptTokens: prompt, OutputTokens: 100, Deadline: start.Add(time.Hour), Weight: 1}
}

func enqueueAll(t *testing.T, q *Queue, now time.Time, items ...Item) {
	t.Helper()
	for _, i := range items {
		if refusal := q.Enqueue(now, i); refusal != nil {
			t.Fatalf("enqueue %s: %v", i.ID, refusal)
		}
	}
}

// serve finishes each item as soon as it is admitted and returns the tokens served
// to each account by the time the total is reached.
func serve(q *Queue, total int64) map[string]int64 {
	served := map[string]int64{}
	now := start
	for sum := int64(0); sum < total; now = now.Add(time.Millisecond) {
		for _, o := range q.Admit(now) {
			served[o.Item.Account] += o.Item.Cost()
			sum += o.Item.Cost()
			q.Finish(now, o.Item.ID, 0)
		}
	}
	return served
}

// Guards against an account gaining by sending longer requests, and against
// ignored weights.
func TestAccountsShareByWeight(t *testing.T) {
	q := newQueue(Capacity{MemoryTokens: 70_000, LimitTokens: 70_000})
	for i := range 1_000 {
		heavy := item(fmt.Sprint("heavy", i), "heavy", 3_900)
		light := item(fmt.Sprint("light", i), "light", 900)
		light.Weight = 2
		enqueueAll(t, q, start, heavy, light)
	}
	served := serve(q, 900_000)
	if ratio := float64(served["light"]) / float64(served["heavy"]); ratio < 1.8 || ratio > 2.2 {
		t.Errorf("served %v, want twice as much for light", served)
	}
}

// Guards against long items keeping short ones out of memory, and against long
// items not using what short ones leave.
func TestLongItemsUseSpareMemoryButYield(t *testing.T) {
	c := Capacity{MemoryTokens: 1_000_000, LimitTokens: 1_000_000}
	q := newQueue(c)
	enqueueAll(t, q, start, item("l1", "a", 300_000))
	if got := len(q.Admit(start)); got != 1 {
		t.Fatalf("admitted %d, want the long item", got)
	}
	q.RecordFirstToken(start, "l1")
	q.SetCapacity(Capacity{MemoryTokens: 1_000_000, LimitTokens: 300_500})
	enqueueAll(t, q, start, item("l2", "a", 300_000), item("s1", "b", 1_000))
	q.SetCapacity(c)
	now := start.Add(time.Second)
	if out := q.Admit(now); len(out) != 2 || out[0].Item.ID != "s1" {
		t.Fatalf("admitted %+v, want s1 and then l2 in spare memory", out)
	}
}

// Guards against a long item waiting without bound under sustained short load.
func TestAgedLongItemGetsMemory(t *testing.T) {
	const step, arrivals, finishes = 20 * time.Millisecond, 30, 20
	q := newQueue(Capacity{MemoryTokens: 1_000_000, LimitTokens: 1_000_000})
	running := []string{}
	for n := range 2_000 {
		now := start.Add(time.Duration(n) * step)
		for i := range arrivals {
			s := item(fmt.Sprint("s", n, "/", i), "b", 4_000)
			s.Deadline = now.Add(2 * time.Second)
			_ = q.Enqueue(now, s)
		}
		if n == 100 {
			enqueueAll(t, q, now, item("long", "a", 700_000))
		}
		for _, o := range q.Admit(now) {
			if o.Item.ID == "long" && o.Waited <= q.config.AgeBound+5*time.Second {
				return
			}
			if o.Refusal == nil {
				running = append(running, o.Item.ID)
				q.RecordFirstToken(now, o.Item.ID)
			}
		}
		for _, id := range running[:min(finishes, len(running))] {
			q.Finish(now, id, 100)
		}
		running = running[min(finishes, len(running)):]
	}
	t.Error("the long item was not admitted within 5 s of the age bound")
}

// Guards against queueing items that cannot meet their deadline, do not fit into
// the memory, have invalid token bounds or are already queued, and against
// refusing an item for another account's backlog.
func TestEnqueueRefusesItemsMissingDeadline(t *testing.T) {
	q := newQueue(Capacity{MemoryTokens: 100_000, LimitTokens: 100_000, PrefillRate: 1_000, DecodeRate: 10})
	tests := map[string]struct {
		item   Item
		reason verdict.Reason
	}{
		"past":       {Item{ID: "1", PromptTokens: 1, Deadline: start}, verdict.ReasonDeadlineExceeded},
		"slow":       {Item{ID: "2", PromptTokens: 50_000, Deadline: start.Add(40 * time.Second)}, verdict.ReasonDeadlineTooNear},
		"too long":   {Item{ID: "3", PromptTokens: 100_001, Deadline: start.Add(time.Hour)}, verdict.ReasonPromptTooLong},
		"no tokens":  {Item{ID: "4", Deadline: start.Add(time.Hour)}, verdict.ReasonBadRequest},
		"overflow":   {Item{ID: "5", PromptTokens: 1 << 62, OutputTokens: 1 << 62, Deadline: start.Add(time.Hour)}, verdict.ReasonBadRequest},
		"known":      {Item{ID: "here", PromptTokens: 10, Deadline: start.Add(time.Hour)}, verdict.ReasonDuplicateRequest},
		"no backlog": {Item{ID: "6", Account: "z", PromptTokens: 10, Deadline: start.Add(time.Second)}, ""},
	}
	enqueueAll(t, q, start, item("here", "a", 50_000))
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := verdict.Reason("")
			if refusal := q.Enqueue(start, tc.item); refusal != nil {
				got = refusal.Reason
			}
			if got != tc.reason {
				t.Errorf("reason = %q, want %q", got, tc.reason)
			}
		})
	}
}

// Guards against refused callers all returning at the same time, and against a
// prediction that ignores the backlog.
func TestRetryTimesAreSpread(t *testing.T) {
	q := newQueue(Capacity{MemoryTokens: 100_000, LimitTokens: 100_000, PrefillRate: 1_000})
	for i := range 20 {
		enqueueAll(t, q, start, item(fmt.Sprint(i), "a", 4_000))
	}
	times := map[time.Duration]bool{}
	for i := range 50 {
		late := item("late", "a", 4_000)
		late.Deadline = start.Add(30 * time.Second)
		late.Fingerprint = uint64(i)
		refusal := q.Enqueue(start, late)
		if refusal == nil {
			t.Fatal("an item behind 80 s of prefill was queued with 30 s left")
		}
		times[refusal.RetryAfter.Round(time.Second)] = true
	}
	if len(times) < 10 {
		t.Errorf("retry times fall into %d different seconds, want at least 10", len(times))
	}
}

// Guards against an endpoint staying idle for an item above the limit that was
// allowed to run alone until other items arrived.
func TestDrainTargetIsDroppedWhenItNoLongerFits(t *testing.T) {
	q := newQueue(Capacity{MemoryTokens: 100_000, LimitTokens: 10_000})
	enqueueAll(t, q, start, item("running", "a", 1_000))
	q.Admit(start)
	enqueueAll(t, q, start, item("large", "a", 50_000))
	now := start.Add(q.config.AloneAfter)
	if out := q.Admit(now); len(out) != 0 {
		t.Fatalf("admitted %v beside the running item", out)
	}
	enqueueAll(t, q, now, item("small", "b", 1_000))
	if out := q.Admit(now); len(out) != 1 || out[0].Item.ID != "small" {
		t.Errorf("admitted %v, want the small item", out)
	}
}

// Guards against an endpoint reporting itself idle while its engine still has
// prompts to prefill.
func TestBacklogCountsPendingPrefill(t *testing.T) {
	q := newQueue(Capacity{MemoryTokens: 100_000, LimitTokens: 100_000})
	enqueueAll(t, q, start, item("running", "a", 50_000))
	q.Admit(start)
	enqueueAll(t, q, start, item("waiting", "a", 1_000))
	if got := q.Load().BacklogTokens(); got != 51_100 {
		t.Errorf("backlog is %d tokens, want 51100", got)
	}
	q.RecordFirstToken(start, "running")
	if got := q.Load().BacklogTokens(); got != 1_100 {
		t.Errorf("backlog is %d tokens after the first token, want 1100", got)
	}
}

// Guards against prompts above a cold endpoint's limit waiting for the age
// bound although each needs little time, and against such prompts running back
// to back while short ones wait.
func TestPromptAboveLimitGetsItsShare(t *testing.T) {
	q := New(DefaultConfig())
	q.SetCapacity(Capacity{MemoryTokens: 600_000, LimitTokens: 8_192, PrefillRate: 100_000, DecodeRate: 200})
	now := start
	const steps = 20_000
	var medium, short time.Duration
	running := map[string]time.Duration{}
	for i := range steps {
		now = now.Add(time.Millisecond)
		for id, left := range running {
			if running[id] = left - time.Millisecond; left <= time.Millisecond {
				delete(running, id)
				q.Finish(now, id, 10)
			}
		}
		if i%20 == 0 {
			q.Enqueue(now, Item{ID: fmt.Sprint("s", i), Account: "a", PromptTokens: 2_000, OutputTokens: 100, Deadline: now.Add(time.Minute)})
		}
		if i%500 == 0 {
			q.Enqueue(now, Item{ID: fmt.Sprint("m", i), Account: "a", PromptTokens: 16_000, OutputTokens: 100, Deadline: now.Add(time.Minute)})
		}
		for _, o := range q.Admit(now) {
			if o.Refusal != nil {
				continue
			}
			service := time.Duration(o.Item.PromptTokens) * 10 * time.Microsecond
			running[o.Item.ID] = service
			if o.Item.PromptTokens > ShortTokens {
				medium += service
			} else {
				short += service
			}
		}
	}
	total := steps * time.Millisecond
	if medium < total/10 || medium > total*3/10 || short < total/2 {
		t.Errorf("medium prompts ran for %s and short ones for %s of %s, want 10%% to 30%% and at least 50%%", medium, short, total)
	}
}
