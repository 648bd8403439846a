package bench

import (
	"slices"
	"time"

	"siskinstand.example/coord/admission"
)

// quantile returns the q-quantile of the values, or zero if there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// summary holds the measurements of a run.
type summary struct {
	simulation *simulation
	// firstTokenByClass holds the times to first token by prompt class.
	firstTokenByClass map[admission.Class][]time.Duration
	shortFirstToken   []time.Duration
	counts            map[outcome]int
	// goodputTokens is the sum of the prompt tokens of requests that completed in
	// the measurement period, whenever they arrived.
	goodputTokens int64
	// admittedFailures counts admitted requests that did not complete before
	// their deadline. Like all fields except goodputTokens, it covers the requests
	// that arrived after the warm-up.
	admittedFailures int
	// longestWait is the longest time to first token of prompts over 100,000
	// tokens. A prompt that did not complete counts with its full deadline.
	longestWait time.Duration
}

func summarize(sim *simulation) *summary {
	s := &summary{simulation: sim, firstTokenByClass: map[admission.Class][]time.Duration{}, counts: map[outcome]int{}}
	sim.forEachMeasured(func(r *request) {
		s.counts[r.outcome]++
		if r.outcome != outcomeDone {
			if r.admitted {
				s.admittedFailures++
			}
			// A request that did not complete counts with its full deadline, so
			// that refusing requests can't improve a percentile.
			s.recordFirstToken(r, requestDeadline)
			return
		}
		s.recordFirstToken(r, r.firstToken.Sub(r.arrived))
	})
	s.goodputTokens = sim.goodputTokens()
	return s
}

func (s *summary) recordFirstToken(r *request, d time.Duration) {
	s.firstTokenByClass[r.class()] = append(s.firstTokenByClass[r.class()], d)
	if r.promptTokens <= admission.ShortTokens {
		s.shortFirstToken = append(s.shortFirstToken, d)
	}
	if r.promptTokens > admission.LongTokens {
		s.longestWait = max(s.longestWait, d)
	}
}

func (s *summary) p95(c admission.Class) time.Duration { return quantile(s.firstTokenByClass[c], 0.95) }

func (s *summary) shortP95() time.Duration { return quantile(s.shortFirstToken, 0.95) }

// goodputTokens returns the prompt tokens of requests that completed in the
// measurement period. Requests that are still queued at its end don't count, or
// a long queue would look like goodput.
func (sim *simulation) goodputTokens() int64 {
	var sum int64
	from := epoch.Add(sim.scenario.Warmup)
	for _, r := range sim.requests {
		if r.outcome == outcomeDone && !r.ended.Before(from) && r.ended.Before(from.Add(sim.scenario.Duration)) {
			sum += r.promptTokens
		}
	}
	return sum
}

// goodputToCapacity returns the goodput as a ratio of the capacity.
func (s *summary) goodputToCapacity() float64 {
	return float64(s.goodputTokens) / s.simulation.scenario.Duration.Seconds() / s.simulation.capacityTokens()
}
