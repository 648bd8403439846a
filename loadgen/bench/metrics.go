package bench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"siskinstand.example/coord/admission"
)

// metric is a measured value with its target from docs/design.md, section 14.
type metric struct {
	name  string
	value float64
	unit  string
	// comparator relates value to target; a metric with noTarget is printed for
	// information only.
	target     float64
	comparator comparator
}

type comparator string

const (
	noTarget comparator = ""
	atMost   comparator = "<="
	atLeast  comparator = ">="
)

func (m metric) missed() bool {
	switch m.comparator {
	case atMost:
		return !(m.value <= m.target)
	case atLeast:
		return !(m.value >= m.target)
	default:
		return false
	}
}

func (m metric) print(out io.Writer) {
	line := fmt.Sprintf("%s=%.4g %s", m.name, m.value, m.unit)
	if m.comparator != noTarget {
		result := "ok"
		if m.missed() {
			result = "MISSED"
		}
		line += fmt.Sprintf(" target%s%g %s", m.comparator, m.target, result)
	}
	fmt.Fprintln(out, line)
}

// Targets from docs/design.md, section 14.
const (
	targetShortTTFTMillis    = 500.0
	targetShortTTFTRatio     = 0.5
	targetClassTTFTRatio     = 1.2
	targetCompletedWorkRatio = 0.95
	targetSlowdownRatio      = 1.2
	targetOverloadGoodput    = 0.9
)

// comparison holds the results of all policies for the same scenario and seed.
type comparison struct {
	scenario  Scenario
	current   *summary
	baselines []*summary
	// previous is the previous version of the policy, which is printed for
	// information. The ratios compare with the simple baselines only: one version
	// can't be expected to take half the time of the one before it.
	previous *summary
}

// runPolicies runs the scenario once with each policy.
func runPolicies(s Scenario) comparison {
	c := comparison{scenario: s, current: summarize(simulate(s, newCurrentPolicy)), previous: summarize(simulate(s, newPreviousPolicy))}
	for _, newPolicy := range []func(*simulation) policy{newRoundRobin, newLeastOutstanding} {
		c.baselines = append(c.baselines, summarize(simulate(s, newPolicy)))
	}
	return c
}

// lowestBaseline returns the lowest value over all baselines.
func (c comparison) lowestBaseline(value func(*summary) float64) float64 {
	best := math.Inf(1)
	for _, b := range c.baselines {
		best = min(best, value(b))
	}
	return best
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// latencyMetrics returns the metrics for time to first token and completed work.
// The prefix identifies the scenario variation in metric names.
func (c comparison) latencyMetrics(prefix string) []metric {
	short := func(s *summary) float64 { return milliseconds(s.shortP95()) }
	list := []metric{
		{prefix + "short_ttft_p95", short(c.current), "ms", targetShortTTFTMillis, atMost},
		{prefix + "short_ttft_p95_to_best_baseline", short(c.current) / c.lowestBaseline(short), "ratio", targetShortTTFTRatio, atMost},
	}
	for _, class := range admission.Classes() {
		p95 := func(s *summary) float64 { return milliseconds(s.p95(class)) }
		name := prefix + "ttft_p95_" + string(class)
		list = append(list, metric{name: name, value: p95(c.current), unit: "ms"})
		for _, b := range append(slices.Clone(c.baselines), c.previous) {
			list = append(list, metric{name: name + "_" + b.simulation.policy.name(), value: p95(b), unit: "ms"})
		}
		list = append(list, metric{name + "_to_best_baseline", p95(c.current) / c.lowestBaseline(p95), "ratio", targetClassTTFTRatio, atMost})
	}
	most := 0.0
	for _, b := range c.baselines {
		most = max(most, float64(b.goodputTokens))
	}
	return append(list, metric{prefix + "completed_work_to_best_baseline", float64(c.current.goodputTokens) / most, "ratio", targetCompletedWorkRatio, atLeast})
}

// capacityMetrics returns the calculated capacity and two figures that check it, all
// without targets: the decoding streams per engine at the capacity, which should stay
// below maxBatch, and the prefill rate under a load of 1.5 times the capacity, which
// should come close to the capacity.
func capacityMetrics(s Scenario) []metric {
	sim := newSimulation(s)
	c := defaultEngine()
	saturated := s
	saturated.LoadFactor, saturated.Duration = 1.5, 60*time.Second
	measured := simulate(saturated, newRoundRobin)
	return []metric{
		{name: "engine_prefill_rate_busy", value: c.busyPrefillRate(), unit: "tokens/s"},
		{name: "capacity_prefill", value: sim.capacityTokens(), unit: "tokens/s"},
		{name: "capacity_requests", value: sim.capacityRequests(), unit: "requests/s"},
		{name: "prompt_mean", value: meanPromptTokens(math.MaxInt64), unit: "tokens"},
		{name: "capacity_check_decode_streams", value: sim.capacityRequests() / engineCount * meanOutputTokens * c.busyStep().Seconds(), unit: "streams"},
		{name: "capacity_check_saturated_prefill", value: float64(measured.measuredPrefillTokens) / saturated.Duration.Seconds(), unit: "tokens/s"},
	}
}

// slowdownMetric compares the latency of short prompts with and without long
// prompts in the load.
func slowdownMetric(mixed comparison) metric {
	s := mixed.scenario
	s.ShortOnly = true
	alone := summarize(simulate(s, newCurrentPolicy))
	ratio := milliseconds(mixed.current.shortP95()) / milliseconds(alone.shortP95())
	return metric{"short_slowdown_with_long_prompts_p95", ratio, "ratio", targetSlowdownRatio, atMost}
}

// longestWaitMetrics runs a load of shorter prompts at 85% of the capacity and, in
// addition, a very long prompt every 5 s. Each very long prompt that arrives after
// the warm-up must complete within its deadline.
func longestWaitMetrics(s Scenario) []metric {
	s.ShortOnly, s.LongPromptInterval = true, 5*time.Second
	s.LoadFactor = 0.85 * meanPromptTokens(math.MaxInt64) / meanPromptTokens(admission.LongTokens)
	m := summarize(simulate(s, newCurrentPolicy))
	failed := 0
	m.simulation.forEachMeasured(func(r *request) {
		if r.promptTokens > admission.LongTokens && r.outcome != outcomeDone {
			failed++
		}
	})
	return []metric{
		{"long_wait_longest", m.longestWait.Seconds(), "s", requestDeadline.Seconds(), atMost},
		{"long_wait_not_completed", float64(failed), "requests", 0, atMost},
	}
}

// zoneScenario takes one of three availability zones out of service and back. The
// load is half of the capacity, so that the other two can serve it.
func zoneScenario(s Scenario) Scenario {
	s.LoadFactor, s.ZoneOutAt, s.ZoneInAt = 0.5, 100*time.Second, 200*time.Second
	return s
}

func zoneMetrics(c comparison) []metric {
	sim := c.current.simulation
	return []metric{
		{"zone_new_work_after_3s", float64(sim.outZoneStarts), "requests", 0, atMost},
		{"zone_admitted_lost_or_late", float64(c.current.admittedFailures), "requests", 0, atMost},
		{"zone_refused", float64(c.current.counts[outcomeRefused]), "requests", 0, noTarget},
		{"cold_endpoint_overload_steps", float64(sim.collapsedSteps()), "steps", 0, atMost},
		{"cold_endpoint_overload_steps_least_outstanding", float64(c.baselines[1].simulation.collapsedSteps()), "steps", 0, noTarget},
	}
}

func overloadMetrics(s Scenario) []metric {
	s.LoadFactor = 3
	c := runPolicies(s)
	list := []metric{
		{"overload_3x_goodput_to_capacity", c.current.goodputToCapacity(), "ratio", targetOverloadGoodput, atLeast},
		{"overload_3x_admitted_late", float64(c.current.admittedFailures), "requests", 0, noTarget},
	}
	for _, b := range append(slices.Clone(c.baselines), c.previous) {
		list = append(list, metric{name: "overload_3x_goodput_to_capacity_" + b.simulation.policy.name(), value: b.goodputToCapacity(), unit: "ratio"})
	}
	return list
}
