package admission

import (
	"slices"
	"strings"
	"time"

	"siskinstand.example/coord/verdict"
)

const (
	// initialOutputRatio is the assumed length of an answer relative to its
	// bound. Callers set generous bounds, and a high start value would refuse
	// the work from which the ratio is learnt.
	initialOutputRatio = 0.1
	// learningRate weighs a new sample of a moving average.
	learningRate = 0.05
	// waitFactor is the error of a predicted wait, in the queue or in the
	// engine, that still lets an item meet its deadline. Engines can be slower
	// than they report by a factor of two; a queue that is full up to the
	// deadlines would then hold only late work.
	waitFactor = 2
	// Bounds of the retry time given to callers, before jitter.
	minRetry = 200 * time.Millisecond
	maxRetry = 30 * time.Second
)

// estimates are learnt from finished items.
type estimates struct {
	outputRatio float64
	// residence is the mean time in seconds that one reserved token is held,
	// weighted by tokens. Zero means that it is not known.
	residence float64
}

func (s *estimates) finished(r *reservation, now time.Time, outputTokens int64) {
	if r.OutputTokens > 0 && outputTokens > 0 {
		ratio := min(float64(outputTokens)/float64(r.OutputTokens), 1)
		s.outputRatio += learningRate * (ratio - s.outputRatio)
	}
	held := now.Sub(r.admitted).Seconds()
	if s.residence == 0 {
		s.residence = held
		return
	}
	s.residence += learningRate * (held - s.residence)
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

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}

// maxWait caps predictions so that they stay within a Duration.
const maxWait = 24 * time.Hour

// PredictWait estimates the time until an item that arrives now is admitted,
// from the queue's contents. Each account's backlog counts only as far as the
// account's share lets it go first.
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
	own := 0.0
	if a := q.accounts[item.Account]; a != nil {
		turn := float64(a.flows[class].tokens) + cost
		for c := range a.flows {
			own += min(float64(a.flows[c].tokens), turn)
		}
	}
	ahead := own
	for _, a := range q.ring {
		if a.name != item.Account {
			ahead += min(float64(a.tokens), (own+cost)*a.weight/weight)
		}
	}
	return ahead
}

func (q *Queue) prefillWait(item Item, ahead float64) time.Duration {
	if q.capacity.PrefillRate <= 0 {
		return 0
	}
	pending := 0.0
	for class := range classIndex(item.PromptTokens) + 1 {
		pending += float64(q.pending[class])
	}
	window := q.capacity.PrefillRate * q.config.PrefillWindow.Seconds()
	prompts := 0.0
	if q.queuedTokens > 0 {
		prompts = ahead * float64(q.queuedPrompt) / float64(q.queuedTokens)
	}
	return seconds(max(pending+prompts-window, 0) / q.capacity.PrefillRate)
}

func (q *Queue) memoryWait(item Item, ahead float64) time.Duration {
	limit := float64(min(q.capacity.MemoryTokens, q.capacity.LimitTokens))
	excess := float64(q.reserved) + ahead + float64(item.Cost()) - limit
	if excess <= 0 {
		return 0
	}
	if float64(item.Cost()) > limit && len(q.waiting)+len(q.running) == 0 {
		return q.config.AloneAfter
	}
	residence := q.estimates.residence
	if residence == 0 {
		residence = (q.prefillTime(item.PromptTokens) + q.decodeTime(item.OutputTokens)).Seconds()
	}
	return seconds(residence * excess / max(limit, float64(item.Cost())))
}

// predict refuses an item that would miss its deadline.
func (q *Queue) predict(now time.Time, item Item) *verdict.Error {
	budget := item.Deadline.Sub(now)
	wait := q.PredictWait(item)
	service := q.prefillTime(item.PromptTokens)
	if wait > 0 {
		service += q.decodeTime(item.OutputTokens)
	}
	if waitFactor*wait+service <= budget {
		return nil
	}
	refusal := verdict.New(verdict.NotRun, verdict.ReasonDeadlineTooNear, "predicted wait %s and service %s exceed the remaining %s",
		wait.Round(time.Millisecond), service.Round(time.Millisecond), budget.Round(time.Millisecond))
	if wait == 0 {
		return refusal
	}
	return refusal.WithRetryAfter(spread(waitFactor*wait+service-budget, item.Fingerprint))
}

func (q *Queue) overloaded(item Item, message string) *verdict.Error {
	wait := seconds(q.estimates.residence)
	return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "%s", message).WithRetryAfter(spread(wait, item.Fingerprint))
}

// spread returns a retry time between half and one and a half of d that
// depends on the request, so that refused callers do not return together.
func spread(d time.Duration, hash uint64) time.Duration {
	d = min(max(d, minRetry), maxRetry)
	// The multiplier is the 64-bit golden ratio, which mixes close hashes.
	fraction := float64((hash*0x9E3779B97F4A7C15)>>11) / (1 << 53)
	return time.Duration(float64(d) * (0.5 + fraction))
}

func sortOutcomes(out []Outcome) {
	slices.SortFunc(out, func(a, b Outcome) int { return strings.Compare(a.Item.ID, b.Item.ID) })
}
