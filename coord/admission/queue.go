package admission

import (
	"slices"
	"time"

	"siskinstand.example/coord/fairshare"
	"siskinstand.example/coord/verdict"
)

// deadlineCheckInterval limits how often the whole queue is searched for items
// that can no longer meet their deadline.
const deadlineCheckInterval = 50 * time.Millisecond

// overLimitShare is the share of an endpoint's time for items above its
// concurrency limit while other items wait. Without it such items wait for the
// age bound: prompts of 16,000 tokens waited 18 s on cold endpoints of the
// demo.
const overLimitShare = 0.25

// Queue holds the queued items and the reservations of admitted ones.
type Queue struct {
	config   Config
	capacity Capacity

	accounts  map[string]*account
	ring      []*account
	cursor    int
	isolated  []*entry
	holdItems []*entry
	waiting   map[string]*entry
	running   map[string]*reservation
	// drainTarget is the item whose turn it is and for which running items
	// drain.
	drainTarget *entry

	queuedTokens, queuedPromptTokens   int64
	waitingLongItems                   int
	reservedTokens, longReservedTokens int64
	pendingPrefill                     [classCount]int64
	isolatedRunning                    bool
	lastIsolatedEnd                    time.Time
	lastOverLimitEnd                   time.Time
	lastDeadlineCheck                  time.Time
	estimates                          estimates
}

// reservation is the memory reserved for one admitted item.
type reservation struct {
	Item
	class          int
	admittedAt     time.Time
	firstTokenSeen bool
	// exceededLimit is set if the item exceeded the concurrency limit on its
	// own.
	exceededLimit bool
}

// New returns an empty queue without capacity.
func New(c Config) *Queue {
	return &Queue{
		config: c, accounts: map[string]*account{}, waiting: map[string]*entry{},
		running: map[string]*reservation{}, estimates: estimates{outputRatio: initialOutputRatio},
	}
}

// SetCapacity replaces the capacity. Reservations above a lowered capacity stay
// and only delay the next admission.
func (q *Queue) SetCapacity(c Capacity) { q.capacity = c }

// Enqueue queues an item or refuses it immediately.
func (q *Queue) Enqueue(now time.Time, item Item) *verdict.Error {
	if refusal := q.refuseOnArrival(now, item); refusal != nil {
		return refusal
	}
	if item.Weight <= 0 {
		item.Weight = 1
	}
	e := &entry{Item: item, class: classIndex(item.PromptTokens), arrivedAt: now}
	q.waiting[item.ID] = e
	q.queuedTokens += item.Cost()
	q.queuedPromptTokens += item.PromptTokens
	if item.IsLong() {
		q.waitingLongItems++
	}
	switch {
	case item.HasHold:
		q.holdItems = append(q.holdItems, e)
	case item.Isolated:
		q.isolated = append(q.isolated, e)
	default:
		q.addToFlow(e)
	}
	return nil
}

func (q *Queue) addToFlow(e *entry) {
	a := q.accounts[e.Account]
	if a == nil {
		a = &account{name: e.Account}
		q.accounts[e.Account] = a
		q.ring = append(q.ring, a)
	}
	a.weight = e.Weight
	a.items++
	a.tokens += e.Cost()
	f := &a.flows[e.class]
	f.entries = append(f.entries, e)
	f.tokens += e.Cost()
}

func (q *Queue) refuseOnArrival(now time.Time, item Item) *verdict.Error {
	switch {
	case q.waiting[item.ID] != nil || q.running[item.ID] != nil:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "attempt %s is already here", item.ID)
	case item.PromptTokens < 0 || item.OutputTokens < 0 || item.Cost() <= 0:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "token bounds must be positive")
	case !now.Before(item.Deadline):
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineExceeded, "deadline has passed")
	case item.Cost() > q.capacity.MemoryTokens:
		return verdict.New(verdict.NotRun, verdict.ReasonPromptTooLong, "%d tokens exceed the engine's %d", item.Cost(), q.capacity.MemoryTokens)
	case item.HasHold:
		return nil
	case len(q.waiting) >= q.config.MaxItems:
		return q.refuseOverloaded(item, "queue is full")
	case q.accounts[item.Account] == nil && len(q.accounts) >= q.config.MaxAccounts:
		return q.refuseOverloaded(item, "too many accounts wait")
	}
	return q.refuseIfPredictedLate(now, item)
}

func (q *Queue) remove(e *entry) {
	delete(q.waiting, e.ID)
	q.queuedTokens -= e.Cost()
	q.queuedPromptTokens -= e.PromptTokens
	if e.IsLong() {
		q.waitingLongItems--
	}
	if q.drainTarget == e {
		q.drainTarget = nil
	}
	if e.HasHold || e.Isolated {
		same := func(o *entry) bool { return o == e }
		q.holdItems = slices.DeleteFunc(q.holdItems, same)
		q.isolated = slices.DeleteFunc(q.isolated, same)
		return
	}
	a := q.accounts[e.Account]
	a.flows[e.class].remove(e)
	a.items--
	a.tokens -= e.Cost()
	if a.items == 0 {
		q.removeAccount(a)
	}
}

func (q *Queue) removeAccount(a *account) {
	delete(q.accounts, a.name)
	i := slices.Index(q.ring, a)
	q.ring = slices.Delete(q.ring, i, i+1)
	if i < q.cursor {
		q.cursor--
	}
	if len(q.ring) > 0 {
		q.cursor %= len(q.ring)
	}
}

// Cancel removes a waiting item and reports whether it was waiting.
func (q *Queue) Cancel(id string) bool {
	e := q.waiting[id]
	if e == nil {
		return false
	}
	q.remove(e)
	return true
}

// RecordFirstToken records that the engine has finished the prefill of an item.
func (q *Queue) RecordFirstToken(_ time.Time, id string) {
	if r := q.running[id]; r != nil && !r.firstTokenSeen {
		r.firstTokenSeen = true
		q.pendingPrefill[r.class] -= r.PromptTokens
	}
}

// Finish releases the reservation of an admitted item. outputTokens improves
// later predictions; 0 means unknown.
func (q *Queue) Finish(now time.Time, id string, outputTokens int64) {
	r := q.running[id]
	if r == nil {
		return
	}
	q.RecordFirstToken(now, id)
	delete(q.running, id)
	q.reservedTokens -= r.Cost()
	if r.IsLong() {
		q.longReservedTokens -= r.Cost()
	}
	if r.Isolated {
		q.isolatedRunning = false
		q.lastIsolatedEnd = now
	}
	if r.exceededLimit {
		q.lastOverLimitEnd = now
	}
	q.estimates.recordFinish(r, now, outputTokens)
}

// RefuseAll empties the queue and refuses every queued item as not run, in
// order of arrival.
func (q *Queue) RefuseAll(reason verdict.Reason, message string) []Outcome {
	entries := make([]*entry, 0, len(q.waiting))
	for _, e := range q.waiting {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, compareArrival)
	out := make([]Outcome, 0, len(entries))
	for _, e := range entries {
		q.remove(e)
		refusal := verdict.New(verdict.NotRun, reason, "%s", message)
		out = append(out, Outcome{Item: e.Item, Refusal: refusal})
	}
	return out
}

func compareArrival(a, b *entry) int {
	if c := a.arrivedAt.Compare(b.arrivedAt); c != 0 {
		return c
	}
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// Load returns the current load.
func (q *Queue) Load() Load {
	l := Load{
		QueuedItems: len(q.waiting), QueuedTokens: q.queuedTokens,
		RunningItems: len(q.running), ReservedTokens: q.reservedTokens,
	}
	for _, tokens := range q.pendingPrefill {
		l.PendingPrefillTokens += tokens
	}
	return l
}

func (q *Queue) quantum(weight float64) float64 {
	return fairshare.Quantum(float64(q.config.QuantumTokens), weight)
}

func (q *Queue) pastAgeBound(now time.Time, e *entry) bool {
	return now.Sub(e.arrivedAt) >= q.config.AgeBound
}
