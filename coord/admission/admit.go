package admission

import (
	"math"
	"time"

	"siskinstand.example/coord/verdict"
)

// Admit returns the items whose wait ends now, admitted or refused.
func (q *Queue) Admit(now time.Time) []Outcome {
	out := q.refuseOverdue(now)
	for {
		e := q.nextItem(now)
		if e == nil {
			return out
		}
		if refusal := q.refuseIfLate(now, e); refusal != nil {
			q.remove(e)
			out = append(out, Outcome{Item: e.Item, Refusal: refusal, Waited: now.Sub(e.arrivedAt)})
			continue
		}
		out = append(out, q.reserve(now, e))
	}
}

func (q *Queue) reserve(now time.Time, e *entry) Outcome {
	priority := e.class
	if q.pastAgeBound(now, e) {
		priority = 0
	}
	q.remove(e)
	q.running[e.ID] = &reservation{Item: e.Item, class: e.class, admittedAt: now}
	q.reservedTokens += e.Cost()
	q.pendingPrefill[e.class] += e.PromptTokens
	if e.IsLong() {
		q.longReservedTokens += e.Cost()
	}
	q.isolatedRunning = q.isolatedRunning || e.Isolated
	q.running[e.ID].exceededLimit = e.Cost() > q.capacity.LimitTokens
	return Outcome{Item: e.Item, Priority: priority, Waited: now.Sub(e.arrivedAt)}
}

// nextItem returns the item to admit now, or nil. If the item was chosen in fair
// order, its account has been charged.
func (q *Queue) nextItem(now time.Time) *entry {
	if q.isolatedRunning {
		return nil
	}
	if len(q.holdItems) > 0 && q.reservedTokens+q.holdItems[0].Cost() <= q.capacity.MemoryTokens {
		return q.holdItems[0]
	}
	if e, draining := q.nextIsolated(now); e != nil || draining {
		return e
	}
	return q.nextInTurn(now)
}

// nextIsolated returns an isolated item that can run now, or reports that the
// endpoint must drain for one.
func (q *Queue) nextIsolated(now time.Time) (e *entry, draining bool) {
	if len(q.isolated) == 0 {
		return nil, false
	}
	head := q.isolated[0]
	if len(q.running) == 0 && q.fits(now, head) {
		return head, true
	}
	return nil, now.Sub(head.arrivedAt) >= q.config.IsolationWait && now.Sub(q.lastIsolatedEnd) >= q.config.IsolationWait
}

// nextInTurn returns the next item in fair order, or nil, and charges its account.
func (q *Queue) nextInTurn(now time.Time) *entry {
	if q.drainTarget != nil && !q.fitsWhenDrained(now, q.drainTarget) {
		// The limit fell, or other items arrived behind one that was waiting to
		// run alone. Draining for it would leave the endpoint idle.
		q.drainTarget = nil
	}
	if q.drainTarget == nil {
		e := q.nextByDeficit(now, func(e *entry) bool {
			return !q.mustYieldToShorter(now, e) && q.withinPrefillWindow(e) && q.fitsWhenDrained(now, e)
		})
		if e == nil {
			return nil
		}
		if q.fits(now, e) {
			return e
		}
		q.drainTarget = e
	}
	if q.fits(now, q.drainTarget) && q.withinPrefillWindow(q.drainTarget) {
		return q.chargeDrainTarget(now, q.drainTarget)
	}
	return q.nextByDeficit(now, func(e *entry) bool {
		return e != q.drainTarget && !q.mustYieldToShorter(now, e) && q.withinPrefillWindow(e) && q.fits(now, e) && q.leavesRoomForDrainTarget(e)
	})
}

// nextByDeficit picks the next eligible item by deficit round robin between
// accounts. If the item can be admitted now, it credits the accounts with the
// rounds and charges the item's account.
func (q *Queue) nextByDeficit(now time.Time, eligible func(*entry) bool) *entry {
	best, bestRounds, bestIndex := (*entry)(nil), math.Inf(1), 0
	classRounds := 0.0
	for i := range q.ring {
		index := (q.cursor + i) % len(q.ring)
		a := q.ring[index]
		e, rounds := a.choose(q, now, eligible)
		if e == nil {
			continue
		}
		if r := roundsFor(e.Cost(), a.deficit, q.quantum(a.weight)); r < bestRounds {
			best, bestRounds, bestIndex, classRounds = e, r, index, rounds
		}
	}
	if best == nil || !q.fits(now, best) {
		return best
	}
	q.charge(best, bestRounds, bestIndex, classRounds, eligible)
	return best
}

func (q *Queue) charge(e *entry, rounds float64, index int, classRounds float64, eligible func(*entry) bool) {
	for _, a := range q.ring {
		hasEligible := false
		a.forEachHead(func(_ int, head *entry) { hasEligible = hasEligible || eligible(head) })
		if hasEligible {
			a.deficit.Credit(rounds, q.quantum(a.weight))
		}
	}
	a := q.ring[index]
	a.charge(q, e, classRounds, eligible)
	a.deficit.Charge(float64(e.Cost()))
	if float64(a.deficit) < q.quantum(a.weight) {
		q.cursor = (index + 1) % len(q.ring)
	} else {
		q.cursor = index
	}
}

// chargeDrainTarget charges the account of the drain target, whose turn came
// earlier.
func (q *Queue) chargeDrainTarget(now time.Time, e *entry) *entry {
	a := q.accounts[e.Account]
	isTarget := func(o *entry) bool { return o == e }
	rounds := roundsFor(e.Cost(), a.deficit, q.quantum(a.weight))
	for _, other := range q.ring {
		other.deficit.Credit(rounds, q.quantum(other.weight))
	}
	_, classRounds := a.choose(q, now, isTarget)
	if math.IsInf(classRounds, 1) {
		classRounds = 0
	}
	a.charge(q, e, classRounds, isTarget)
	a.deficit.Charge(float64(e.Cost()))
	return e
}

// fits reports whether e can be admitted now: within the memory and the
// concurrency limit, or alone if it exceeds the limit on its own.
func (q *Queue) fits(now time.Time, e *entry) bool {
	if q.reservedTokens+e.Cost() > q.capacity.MemoryTokens {
		return false
	}
	if q.reservedTokens+e.Cost() <= q.capacity.LimitTokens {
		return true
	}
	return len(q.running) == 0 && e.Cost() > q.capacity.LimitTokens && q.mayRunAlone(now, e)
}

// fitsWhenDrained reports whether e can be admitted once enough running items
// have finished.
func (q *Queue) fitsWhenDrained(now time.Time, e *entry) bool {
	return e.Cost() <= q.capacity.LimitTokens || q.mayRunAlone(now, e)
}

// mayRunAlone reports whether the endpoint may drain for an item that exceeds
// the concurrency limit on its own. While other items wait, such items get at
// most overLimitShare of the endpoint's time, unless one is past the age bound.
func (q *Queue) mayRunAlone(now time.Time, e *entry) bool {
	waited := now.Sub(e.arrivedAt)
	if waited >= q.config.AgeBound || (waited >= q.config.AloneAfter && len(q.waiting) == 1) {
		return true
	}
	serviceTime := q.prefillTime(e.PromptTokens) + q.decodeTime(e.OutputTokens)
	minPause := time.Duration(float64(serviceTime) * (1 - overLimitShare) / overLimitShare)
	return serviceTime > 0 && min(waited, now.Sub(q.lastOverLimitEnd)) >= minPause
}

// leavesRoomForDrainTarget reports whether the drain target would still fit
// after admitting e, so that it waits only for items that already run.
func (q *Queue) leavesRoomForDrainTarget(e *entry) bool {
	return q.reservedTokens+e.Cost()+q.drainTarget.Cost() <= min(q.capacity.MemoryTokens, q.capacity.LimitTokens)
}

// mustYieldToShorter reports whether a long item must yield to the shorter items
// that wait: while a prompt of the two longest classes is being prefilled or,
// before the age bound, if long items would reserve more than LongShare.
func (q *Queue) mustYieldToShorter(now time.Time, e *entry) bool {
	if !e.IsLong() || len(q.waiting) == q.waitingLongItems {
		return false
	}
	if q.pendingPrefill[classCount-1]+q.pendingPrefill[classCount-2] > 0 {
		return true
	}
	share := q.config.LongShare * float64(q.capacity.MemoryTokens)
	return !q.pastAgeBound(now, e) && float64(q.longReservedTokens+e.Cost()) > share
}

// withinPrefillWindow reports whether the prompts that the engine runs before
// or with e stay within PrefillWindow. One prompt of each class is always
// allowed.
func (q *Queue) withinPrefillWindow(e *entry) bool {
	if q.pendingPrefill[e.class] == 0 || q.capacity.PrefillRate <= 0 {
		return true
	}
	promptTokens := e.PromptTokens
	for class := range e.class + 1 {
		promptTokens += q.pendingPrefill[class]
	}
	return float64(promptTokens) <= q.capacity.PrefillRate*q.config.PrefillWindow.Seconds()
}

// refuseOverdue refuses queued items that can no longer meet their deadline.
func (q *Queue) refuseOverdue(now time.Time) []Outcome {
	if now.Sub(q.lastDeadlineCheck) < deadlineCheckInterval {
		return nil
	}
	q.lastDeadlineCheck = now
	var out []Outcome
	for _, e := range q.waiting {
		if refusal := q.refuseIfLate(now, e); refusal != nil {
			q.remove(e)
			out = append(out, Outcome{Item: e.Item, Refusal: refusal, Waited: now.Sub(e.arrivedAt)})
		}
	}
	sortOutcomes(out)
	return out
}

func (q *Queue) refuseIfLate(now time.Time, e *entry) *verdict.Error {
	if !now.Before(e.Deadline) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineExceeded, "deadline passed in the queue")
	}
	if now.Add(q.timeToFinish(e)).After(e.Deadline) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineTooNear, "%s are left for a prompt of %d tokens",
			e.Deadline.Sub(now).Round(time.Millisecond), e.PromptTokens)
	}
	return nil
}

// timeToFinish estimates the time from admission to the end of the answer. It
// counts decoding and the prefill that is pending in the engine only while other
// items wait: refusing the item then frees its place for one that can finish.
// Without other items, running it takes no one's place, and the length of its
// answer can be learned.
func (q *Queue) timeToFinish(e *entry) time.Duration {
	if len(q.waiting) <= 1 {
		return q.prefillTime(e.PromptTokens)
	}
	pendingTokens := int64(0)
	for class := range e.class + 1 {
		pendingTokens += q.pendingPrefill[class]
	}
	answerTime := seconds(answerLengthFactor * q.decodeTime(e.OutputTokens).Seconds())
	return waitFactor*q.prefillTime(pendingTokens) + q.prefillTime(e.PromptTokens) + answerTime
}

// answerLengthFactor covers answers that are 40% longer than the mean, the assumed
// error of length estimates. Without it, items admitted last would finish just
// after their deadline.
const answerLengthFactor = 1.4
