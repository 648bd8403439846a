package admission

import (
	"math"
	"time"

	"siskinstand.example/coord/verdict"
)

// Admit returns the items whose wait ends now, admitted or refused.
func (q *Queue) Admit(now time.Time) []Outcome {
	out := q.sweep(now)
	for {
		e := q.nextItem(now)
		if e == nil {
			return out
		}
		if refusal := q.late(now, e); refusal != nil {
			q.remove(e)
			out = append(out, Outcome{Item: e.Item, Refusal: refusal, Waited: now.Sub(e.arrived)})
			continue
		}
		out = append(out, q.reserve(now, e))
	}
}

func (q *Queue) reserve(now time.Time, e *entry) Outcome {
	priority := e.class
	if q.aged(now, e) {
		priority = 0
	}
	q.remove(e)
	q.running[e.ID] = &reservation{Item: e.Item, class: e.class, admitted: now}
	q.reserved += e.Cost()
	q.pending[e.class] += e.PromptTokens
	if e.IsLong() {
		q.longReserved += e.Cost()
	}
	q.isolatedRunning = q.isolatedRunning || e.Isolated
	q.running[e.ID].alone = e.Cost() > q.capacity.LimitTokens
	return Outcome{Item: e.Item, Priority: priority, Waited: now.Sub(e.arrived)}
}

// nextItem returns the item to admit now, or nil.
func (q *Queue) nextItem(now time.Time) *entry {
	if q.isolatedRunning {
		return nil
	}
	if len(q.held) > 0 && q.reserved+q.held[0].Cost() <= q.capacity.MemoryTokens {
		return q.held[0]
	}
	if e, drains := q.nextIsolated(now); e != nil || drains {
		return e
	}
	return q.nextInTurn(now)
}

// nextIsolated returns an isolated item that can run now, or reports that the
// endpoint drains for one.
func (q *Queue) nextIsolated(now time.Time) (e *entry, drains bool) {
	if len(q.isolated) == 0 {
		return nil, false
	}
	head := q.isolated[0]
	if len(q.running) == 0 && q.fits(now, head) {
		return head, true
	}
	return nil, now.Sub(head.arrived) >= q.config.IsolationWait && now.Sub(q.isolatedEnded) >= q.config.IsolationWait
}

// nextInTurn returns the next item of the fair order.
func (q *Queue) nextInTurn(now time.Time) *entry {
	if q.pledged != nil && !q.mayEnter(now, q.pledged) {
		// The limit fell, or others arrived behind an item that waited alone.
		// Draining for it would leave the endpoint idle.
		q.pledged = nil
	}
	if q.pledged == nil {
		e := q.turn(now, func(e *entry) bool {
			return !q.overShare(now, e) && q.withinWindow(e) && q.mayEnter(now, e)
		})
		if e == nil {
			return nil
		}
		if q.fits(now, e) {
			return e
		}
		q.pledged = e
	}
	if q.fits(now, q.pledged) && q.withinWindow(q.pledged) {
		return q.pay(now, q.pledged)
	}
	return q.turn(now, func(e *entry) bool {
		return e != q.pledged && !q.overShare(now, e) && q.withinWindow(e) && q.fits(now, e) && q.leavesRoom(e)
	})
}

// turn picks the next eligible item by deficit round robin between accounts,
// and charges its account if the item can be admitted at once.
func (q *Queue) turn(now time.Time, eligible func(*entry) bool) *entry {
	best, bestRounds, bestAt := (*entry)(nil), math.Inf(1), 0
	inner := 0.0
	for i := range q.ring {
		at := (q.cursor + i) % len(q.ring)
		a := q.ring[at]
		e, rounds := a.choose(q, now, eligible)
		if e == nil {
			continue
		}
		if r := roundsFor(e.Cost(), a.deficit, q.quantum(a.weight)); r < bestRounds {
			best, bestRounds, bestAt, inner = e, r, at, rounds
		}
	}
	if best == nil || !q.fits(now, best) {
		return best
	}
	q.charge(best, bestRounds, bestAt, inner, eligible)
	return best
}

func (q *Queue) charge(e *entry, rounds float64, at int, inner float64, eligible func(*entry) bool) {
	for _, a := range q.ring {
		waits := false
		a.heads(func(_ int, head *entry) { waits = waits || eligible(head) })
		if waits {
			a.deficit += rounds * q.quantum(a.weight)
		}
	}
	a := q.ring[at]
	a.charge(q, e, inner, eligible)
	a.deficit = max(a.deficit-float64(e.Cost()), 0)
	if a.deficit < q.quantum(a.weight) {
		q.cursor = (at + 1) % len(q.ring)
	} else {
		q.cursor = at
	}
}

// pay charges the account of a pledged item, whose turn came earlier.
func (q *Queue) pay(now time.Time, e *entry) *entry {
	a := q.accounts[e.Account]
	only := func(o *entry) bool { return o == e }
	rounds := roundsFor(e.Cost(), a.deficit, q.quantum(a.weight))
	for _, other := range q.ring {
		other.deficit += rounds * q.quantum(other.weight)
	}
	_, inner := a.choose(q, now, only)
	if math.IsInf(inner, 1) {
		inner = 0
	}
	a.charge(q, e, inner, only)
	a.deficit = max(a.deficit-float64(e.Cost()), 0)
	return e
}

// fits reports whether memory and the concurrency limit admit e.
func (q *Queue) fits(now time.Time, e *entry) bool {
	if q.reserved+e.Cost() > q.capacity.MemoryTokens {
		return false
	}
	if q.reserved+e.Cost() <= q.capacity.LimitTokens {
		return true
	}
	return len(q.running) == 0 && e.Cost() > q.capacity.LimitTokens && q.mayRunAlone(now, e)
}

// mayEnter reports whether e may run once enough running work has ended.
func (q *Queue) mayEnter(now time.Time, e *entry) bool {
	return e.Cost() <= q.capacity.LimitTokens || q.mayRunAlone(now, e)
}

// mayRunAlone reports whether the endpoint may drain for an item that exceeds
// the concurrency limit by itself. While other work waits, such items get at
// most aloneShare of the endpoint's time, unless one is past the age bound.
func (q *Queue) mayRunAlone(now time.Time, e *entry) bool {
	waited := now.Sub(e.arrived)
	if waited >= q.config.AgeBound || (waited >= q.config.AloneAfter && len(q.waiting) == 1) {
		return true
	}
	service := q.prefillTime(e.PromptTokens) + q.decodeTime(e.OutputTokens)
	pause := time.Duration(float64(service) * (1 - aloneShare) / aloneShare)
	return service > 0 && min(waited, now.Sub(q.aloneEnded)) >= pause
}

// leavesRoom reports whether admitting e delays the pledged item only by work
// that runs already.
func (q *Queue) leavesRoom(e *entry) bool {
	return q.reserved+e.Cost()+q.pledged.Cost() <= min(q.capacity.MemoryTokens, q.capacity.LimitTokens)
}

// overShare reports whether long work has used its share while other work
// waits. Past the age bound only the share of prefill applies.
func (q *Queue) overShare(now time.Time, e *entry) bool {
	if !e.IsLong() || len(q.waiting) == q.longWaiting {
		return false
	}
	if q.pending[classCount-1]+q.pending[classCount-2] > 0 {
		return true
	}
	share := q.config.LongShare * float64(q.capacity.MemoryTokens)
	return !q.aged(now, e) && float64(q.longReserved+e.Cost()) > share
}

// withinWindow bounds the prompts in the engine that it runs before or with
// this one. One prompt of each class is always allowed.
func (q *Queue) withinWindow(e *entry) bool {
	if q.pending[e.class] == 0 || q.capacity.PrefillRate <= 0 {
		return true
	}
	ahead := e.PromptTokens
	for class := range e.class + 1 {
		ahead += q.pending[class]
	}
	return float64(ahead) <= q.capacity.PrefillRate*q.config.PrefillWindow.Seconds()
}

// sweep refuses waiting items that can no longer meet their deadline.
func (q *Queue) sweep(now time.Time) []Outcome {
	if now.Sub(q.lastSweep) < sweepInterval {
		return nil
	}
	q.lastSweep = now
	var out []Outcome
	for _, e := range q.waiting {
		if refusal := q.late(now, e); refusal != nil {
			q.remove(e)
			out = append(out, Outcome{Item: e.Item, Refusal: refusal, Waited: now.Sub(e.arrived)})
		}
	}
	sortOutcomes(out)
	return out
}

func (q *Queue) late(now time.Time, e *entry) *verdict.Error {
	if !now.Before(e.Deadline) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineExceeded, "deadline passed in the queue")
	}
	if now.Add(q.timeToFinish(e)).After(e.Deadline) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineTooNear, "%s are left for a prompt of %d tokens",
			e.Deadline.Sub(now).Round(time.Millisecond), e.PromptTokens)
	}
	return nil
}

// timeToFinish estimates the time from admission to the end of the answer.
// Only while other work waits does it count the answer: refusing the item then
// gives its place to work that can finish, and without other work the length of
// the answer can be learnt from it.
func (q *Queue) timeToFinish(e *entry) time.Duration {
	if len(q.waiting) <= 1 {
		return q.prefillTime(e.PromptTokens)
	}
	ahead := int64(0)
	for class := range e.class + 1 {
		ahead += q.pending[class]
	}
	answer := seconds(finishMargin * q.decodeTime(e.OutputTokens).Seconds())
	return waitFactor*q.prefillTime(ahead) + q.prefillTime(e.PromptTokens) + answer
}

// finishMargin covers answers that are 40% longer than the mean, the error of
// length estimates in the design. Work that is admitted last would otherwise
// end just after its deadline.
const finishMargin = 1.4
