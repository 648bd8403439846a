package admission

import (
	"slices"
	"strings"
	"time"

	"siskinstand.example/coord/verdict"
)

const (
	// initialOutputRatio is the assumed length of an answer relative to its
	// bound. Callers set generous bounds, and a high initial value would refuse
	// the very requests from which the ratio is learned.
	initialOutputRatio = 0.1
	// learningRate is the weight of a new sample in a moving average.
	learningRate = 0.05
	// waitFactor is the assumed error of a predicted wait, in the queue or in
	// the engine, against which items must still meet their deadline. Engines
	// can be slower than they report by a factor of two; a queue filled up to
	// the deadlines would then hold only late items.
	waitFactor = 2
	// Bounds of the retry delay sent to callers, before jitter.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// estimates are learned from finished items.
type estimates struct {
	outputRatio float64
	// meanRunSeconds is the moving average of the time in seconds from the
	// admission of an item to its end. Zero means unknown.
	meanRunSeconds float64
}

func (s *estimates) recordFinish(r *reservation, now time.Time, outputTokens int64) {
	if r.OutputTokens > 0 && outputTokens > 0 {
		ratio := min(float64(outputTokens)/float64(r.OutputTokens), 1)
		s.outputRatio += learningRate * (ratio - s.outputRatio)
	}
	runSeconds := now.Sub(r.admittedAt).Seconds()
	if s.meanRunSeconds == 0 {
		s.meanRunSeconds = runSeconds
		return
	}
	s.meanRunSeconds += learningRate * (runSeconds - s.meanRunSeconds)
}

func (q *Queue) prefillTime(promptTokens int64) time.Duration {
	if q.capacity.PrefillRate <= 0 {
		return 0
	}
	return seconds(float64(promptTokens) / q.capacity.PrefillRate)
}

func (q *Queue) decodeTime(outputTokens int64) time.Duration {
	if q.capacity.DecodeRate <= 0 {
		return 0
	}
	return seconds(float64(outputTokens) * q.estimates.outputRatio / q.capacity.DecodeRate)
}

// seconds converts seconds to a duration of at most maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}

// maxWait caps predictions, which could otherwise overflow a Duration.
const maxWait = 24 * time.Hour

// PredictWait estimates the time until an item that arrives now is admitted.
// Of each account's backlog, it counts only what the account's share allows to
// run before the item. Items that are isolated or have a hold are not counted
// while they are queued.
func (q *Queue) PredictWait(item Item) time.Duration {
	ahead := q.tokensAhead(item)
	return max(q.prefillWait(item, ahead), q.memoryWait(item, ahead))
}

func (q *Queue) tokensAhead(item Item) float64 {
	weight := item.Weight
	if weight <= 0 {
		weight = 1
	}
	class := classIndex(item.PromptTokens)
	cost := float64(item.Cost())
	ownTokens := 0.0
	if a := q.accounts[item.Account]; a != nil {
		classTokens := float64(a.flows[class].tokens) + cost
		for c := range a.flows {
			ownTokens += min(float64(a.flows[c].tokens), classTokens)
		}
	}
	ahead := ownTokens
	for _, a := range q.ring {
		if a.name != item.Account {
			ahead += min(float64(a.tokens), (ownTokens+cost)*a.weight/weight)
		}
	}
	return ahead
}

func (q *Queue) prefillWait(item Item, ahead float64) time.Duration {
	if q.capacity.PrefillRate <= 0 {
		return 0
	}
	pendingPrefill := 0.0
	for class := range classIndex(item.PromptTokens) + 1 {
		pendingPrefill += float64(q.pendingPrefill[class])
	}
	window := q.capacity.PrefillRate * q.config.PrefillWindow.Seconds()
	queuedPrompts := 0.0
	if q.queuedTokens > 0 {
		queuedPrompts = ahead * float64(q.queuedPromptTokens) / float64(q.queuedTokens)
	}
	return seconds(max(pendingPrefill+queuedPrompts-window, 0) / q.capacity.PrefillRate)
}

func (q *Queue) memoryWait(item Item, ahead float64) time.Duration {
	limit := float64(min(q.capacity.MemoryTokens, q.capacity.LimitTokens))
	excess := float64(q.reservedTokens) + ahead + float64(item.Cost()) - limit
	if excess <= 0 {
		return 0
	}
	if float64(item.Cost()) > limit && len(q.waiting)+len(q.running) == 0 {
		return q.config.AloneAfter
	}
	runSeconds := q.estimates.meanRunSeconds
	if runSeconds == 0 {
		runSeconds = (q.prefillTime(item.PromptTokens) + q.decodeTime(item.OutputTokens)).Seconds()
	}
	return seconds(runSeconds * excess / max(limit, float64(item.Cost())))
}

// refuseIfPredictedLate refuses an item that is predicted to miss its deadline.
func (q *Queue) refuseIfPredictedLate(now time.Time, item Item) *verdict.Error {
	timeLeft := item.Deadline.Sub(now)
	wait := q.PredictWait(item)
	service := q.prefillTime(item.PromptTokens)
	if wait > 0 {
		service += q.decodeTime(item.OutputTokens)
	}
	if waitFactor*wait+service <= timeLeft {
		return nil
	}
	refusal := verdict.New(verdict.NotRun, verdict.ReasonDeadlineTooNear, "predicted wait %s and service %s exceed the remaining %s",
		wait.Round(time.Millisecond), service.Round(time.Millisecond), timeLeft.Round(time.Millisecond))
	if wait == 0 {
		return refusal
	}
	return refusal.WithRetryAfter(jitteredRetry(waitFactor*wait+service-timeLeft, item.Fingerprint))
}

func (q *Queue) refuseOverloaded(item Item, message string) *verdict.Error {
	wait := seconds(q.estimates.meanRunSeconds)
	return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "%s", message).WithRetryAfter(jitteredRetry(wait, item.Fingerprint))
}

// jitteredRetry returns a retry delay between half and one and a half of d, which
// is first bounded by minRetryDelay and maxRetryDelay. The delay depends on the
// request, so that refused callers do not return together.
func jitteredRetry(d time.Duration, hash uint64) time.Duration {
	d = min(max(d, minRetryDelay), maxRetryDelay)
	// The multiplier is the 64-bit golden ratio, which spreads close hashes.
	fraction := float64((hash*0x9E3779B97F4A7C15)>>11) / (1 << 53)
	return time.Duration(float64(d) * (0.5 + fraction))
}

func sortOutcomes(out []Outcome) {
	slices.SortFunc(out, func(a, b Outcome) int { return strings.Compare(a.Item.ID, b.Item.ID) })
}
