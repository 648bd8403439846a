package bench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"siskinstand.example/coord/admission"
)

// figure is one measured value with its target from docs/design.md, section 14.
type figure struct {
	name  string
	value float64
	unit  string
	// target is the bound and over its direction; without a bound the figure
	// is printed for reading only.
	bound  float64
	target target
}

type target string

const (
	targetNone    target = ""
	targetAtMost  target = "<="
	targetAtLeast target = ">="
)

func (f figure) missed() bool {
	switch f.target {
	case targetAtMost:
		return !(f.value <= f.bound)
	case targetAtLeast:
		return !(f.value >= f.bound)
	default:
		return false
	}
}

func (f figure) print(out io.Writer) {
	line := fmt.Sprintf("%s=%.4g %s", f.name, f.value, f.unit)
	if f.target != targetNone {
		result := "ok"
		if f.missed() {
			result = "MISSED"
		}
		line += fmt.Sprintf(" target%s%g %s", f.target, f.bound, result)
	}
	fmt.Fprintln(out, line)
}

// Bounds of docs/design.md, section 14.
const (
	boundShortFirstToken = 500.0 // ms
	boundShortRatio      = 0.5
	boundClassRatio      = 1.2
	boundCompletedRatio  = 0.95
	boundSlowdown        = 1.2
	boundOverloadGoodput = 0.9
)

// comparison is our policy and the baselines with the same seed.
type comparison struct {
	scenario  Scenario
	ours      *summary
	baselines []*summary
	// previous is the earlier version of the policy. It is printed beside the
	// others; the ratios compare with the simple baselines, as the bounds on
	// half of a baseline's time can't hold between versions.
	previous *summary
}

func compare(s Scenario) comparison {
	c := comparison{scenario: s, ours: summarize(run(s, newOurs)), previous: summarize(run(s, newPrevious))}
	for _, build := range []func(*world) policy{newRoundRobin, newLeastOutstanding} {
		c.baselines = append(c.baselines, summarize(run(s, build)))
	}
	return c
}

// best returns the lowest value of the baselines.
func (c comparison) best(value func(*summary) float64) float64 {
	best := math.Inf(1)
	for _, b := range c.baselines {
		best = min(best, value(b))
	}
	return best
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// latencyFigures are the rows on time to first token and completed work. The
// prefix names the variation of the engine model.
func (c comparison) latencyFigures(prefix string) []figure {
	short := func(s *summary) float64 { return milliseconds(s.shortP95()) }
	list := []figure{
		{prefix + "short_ttft_p95", short(c.ours), "ms", boundShortFirstToken, targetAtMost},
		{prefix + "short_ttft_p95_to_best_baseline", short(c.ours) / c.best(short), "ratio", boundShortRatio, targetAtMost},
	}
	for _, class := range admission.Classes() {
		p95 := func(s *summary) float64 { return milliseconds(s.p95(class)) }
		name := prefix + "ttft_p95_" + string(class)
		list = append(list, figure{name: name, value: p95(c.ours), unit: "ms"})
		for _, b := range append(slices.Clone(c.baselines), c.previous) {
			list = append(list, figure{name: name + "_" + b.world.policy.name(), value: p95(b), unit: "ms"})
		}
		list = append(list, figure{name + "_to_best_baseline", p95(c.ours) / c.best(p95), "ratio", boundClassRatio, targetAtMost})
	}
	most := 0.0
	for _, b := range c.baselines {
		most = max(most, float64(b.useful))
	}
	return append(list, figure{prefix + "completed_work_to_best_baseline", float64(c.ours.useful) / most, "ratio", boundCompletedRatio, targetAtLeast})
}

// capacityFigures say what capacity means: see docs/bench.md.
func capacityFigures(s Scenario) []figure {
	w := newWorld(s)
	c := defaultEngine()
	saturated := s
	saturated.Load, saturated.Duration = 1.5, 60*time.Second
	measured := run(saturated, newRoundRobin)
	return []figure{
		{name: "engine_prefill_rate_busy", value: c.busyPrefillRate(), unit: "tokens/s"},
		{name: "capacity_prefill", value: w.capacityTokens(), unit: "tokens/s"},
		{name: "capacity_requests", value: w.capacity(), unit: "requests/s"},
		{name: "prompt_mean", value: meanPrompt(math.MaxInt64), unit: "tokens"},
		{name: "capacity_check_decode_streams", value: w.capacity() / replicas * meanOutputTokens * c.busyStep().Seconds(), unit: "streams"},
		{name: "capacity_check_saturated_prefill", value: float64(measured.prefilledInTime) / saturated.Duration.Seconds(), unit: "tokens/s"},
	}
}

func slowdownFigure(mixed comparison) figure {
	s := mixed.scenario
	s.ShortOnly = true
	alone := summarize(run(s, newOurs))
	ratio := milliseconds(mixed.ours.shortP95()) / milliseconds(alone.shortP95())
	return figure{"short_slowdown_with_long_prompts_p95", ratio, "ratio", boundSlowdown, targetAtMost}
}

// longestWaitFigures offers short work at 85% of the capacity and a very long
// prompt every 5 s. Every very long prompt must end within its deadline.
func longestWaitFigures(s Scenario) []figure {
	s.ShortOnly, s.LongEvery = true, 5*time.Second
	s.Load = 0.85 * meanPrompt(math.MaxInt64) / meanPrompt(admission.LongTokens)
	m := summarize(run(s, newOurs))
	failed := 0
	m.world.measured(func(r *request) {
		if r.prompt > admission.LongTokens && r.outcome != outcomeDone {
			failed++
		}
	})
	return []figure{
		{"long_wait_longest", m.longestWait.Seconds(), "s", requestDeadline.Seconds(), targetAtMost},
		{"long_wait_not_completed", float64(failed), "requests", 0, targetAtMost},
	}
}

// zoneScenario takes out one zone of three at half of the capacity, so that
// the other two can carry the load.
func zoneScenario(s Scenario) Scenario {
	s.Load, s.ZoneOut, s.ZoneIn = 0.5, 100*time.Second, 200*time.Second
	return s
}

func zoneFigures(c comparison) []figure {
	w := c.ours.world
	return []figure{
		{"zone_new_work_after_3s", float64(w.startedOut), "requests", 0, targetAtMost},
		{"zone_admitted_lost_or_late", float64(c.ours.lostAdmitted), "requests", 0, targetAtMost},
		{"zone_refused", float64(c.ours.counts[outcomeRefused]), "requests", 0, targetNone},
		{"cold_endpoint_overload_steps", float64(w.collapsedSteps()), "steps", 0, targetAtMost},
		{"cold_endpoint_overload_steps_least_outstanding", float64(c.baselines[1].world.collapsedSteps()), "steps", 0, targetNone},
	}
}

func overloadFigures(s Scenario) []figure {
	s.Load = 3
	c := compare(s)
	list := []figure{
		{"overload_3x_goodput_to_capacity", c.ours.goodput(), "ratio", boundOverloadGoodput, targetAtLeast},
		{"overload_3x_admitted_late", float64(c.ours.lostAdmitted), "requests", 0, targetNone},
	}
	for _, b := range append(slices.Clone(c.baselines), c.previous) {
		list = append(list, figure{name: "overload_3x_goodput_to_capacity_" + b.world.policy.name(), value: b.goodput(), unit: "ratio"})
	}
	return list
}
