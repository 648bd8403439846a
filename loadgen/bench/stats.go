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

// summary is what a run measured.
type summary struct {
	world *world
	// firstToken holds the times to first token by class.
	firstToken map[admission.Class][]time.Duration
	short      []time.Duration
	counts     map[outcome]int
	// useful is the prompt tokens of requests completed in time, counted in the
	// measured period, whenever they arrived.
	useful int64
	// lostAdmitted counts admitted requests without a complete answer in time.
	lostAdmitted int
	// longestWait is the longest time to first token of a prompt over 100,000.
	longestWait time.Duration
}

func summarize(w *world) *summary {
	s := &summary{world: w, firstToken: map[admission.Class][]time.Duration{}, counts: map[outcome]int{}}
	w.measured(func(r *request) {
		s.counts[r.outcome]++
		if r.outcome != outcomeDone {
			if r.admitted {
				s.lostAdmitted++
			}
			// A request without an answer counts with its whole deadline, so
			// that refusing work cannot improve a percentile.
			s.add(r, requestDeadline)
			return
		}
		s.add(r, r.firstToken.Sub(r.arrived))
	})
	s.useful = w.usefulTokens()
	return s
}

func (s *summary) add(r *request, d time.Duration) {
	s.firstToken[r.class()] = append(s.firstToken[r.class()], d)
	if r.prompt <= admission.ShortTokens {
		s.short = append(s.short, d)
	}
	if r.prompt > admission.LongTokens {
		s.longestWait = max(s.longestWait, d)
	}
}

func (s *summary) p95(c admission.Class) time.Duration { return quantile(s.firstToken[c], 0.95) }

func (s *summary) shortP95() time.Duration { return quantile(s.short, 0.95) }

// usefulTokens is the work of requests that ended well in the measured period.
// The work that queues hold at its end must not count, or a long queue would
// look like goodput.
func (w *world) usefulTokens() int64 {
	var sum int64
	from := epoch.Add(w.scenario.Warmup)
	for _, r := range w.requests {
		if r.outcome == outcomeDone && !r.ended.Before(from) && r.ended.Before(from.Add(w.scenario.Duration)) {
			sum += r.prompt
		}
	}
	return sum
}

// goodput is the useful work in time relative to the capacity.
func (s *summary) goodput() float64 {
	return float64(s.useful) / s.world.scenario.Duration.Seconds() / s.world.capacityTokens()
}
