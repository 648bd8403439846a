package bench

import (
	"errors"
	"io"
	"math"
	"testing"
	"time"

	"siskinstand.example/coord/admission"
)

func shortScenario() Scenario {
	s := defaultScenario(3)
	s.Warmup, s.Duration = 10*time.Second, 10*time.Second
	return s
}

// Guards against nondeterminism: two runs with the same seed must give the same
// metrics.
func TestRunsAreDeterministic(t *testing.T) {
	for _, newPolicy := range []func(*simulation) policy{newCurrentPolicy, newPreviousPolicy, newLeastOutstanding} {
		a, b := summarize(simulate(shortScenario(), newPolicy)), summarize(simulate(shortScenario(), newPolicy))
		if a.goodputTokens != b.goodputTokens || a.shortP95() != b.shortP95() {
			t.Errorf("%s: first run gave %d tokens and p95 %s, second run %d tokens and p95 %s", a.simulation.policy.name(), a.goodputTokens, a.shortP95(), b.goodputTokens, b.shortP95())
		}
	}
}

// Guards against prompt lengths outside the range that the targets assume, a wrong
// share of long prompts, and a mean that differs from meanPromptTokens, from which
// the capacity is calculated.
func TestWorkloadLengths(t *testing.T) {
	const n = 50_000
	w, long, sum := newWorkload(1, shortScenario()), 0, 0.0
	for range n {
		r := w.nextRequest(epoch)
		if r.promptTokens < 1_000 || r.promptTokens > 1_000_000 {
			t.Fatalf("prompt of %d tokens, want 1,000 to 1,000,000", r.promptTokens)
		}
		if r.promptTokens > admission.LongTokens {
			long++
		}
		sum += float64(r.promptTokens)
	}
	if share := float64(long) / n; math.Abs(share-0.02) > 0.003 {
		t.Errorf("%.3f of the prompts are long, want one in fifty", share)
	}
	if mean := sum / n; math.Abs(mean/meanPromptTokens(math.MaxInt64)-1) > 0.1 {
		t.Errorf("mean prompt is %.0f tokens, want %.0f from the formula", mean, meanPromptTokens(math.MaxInt64))
	}
}

func runWarmEngine(priorities []int, prompts []int64) ([]time.Duration, *engine) {
	return runEngine(false, priorities, prompts)
}

func runColdEngine(priorities []int, prompts []int64) ([]time.Duration, *engine) {
	return runEngine(true, priorities, prompts)
}

// runEngine submits one job per prompt with the given priorities and returns the
// time to first token of each.
func runEngine(cold bool, priorities []int, prompts []int64) ([]time.Duration, *engine) {
	c := newClock()
	e := newEngine(c, "e", "z", defaultEngine())
	e.cold = cold
	times := make([]time.Duration, len(prompts))
	for i, tokens := range prompts {
		j := &job{request: &request{promptTokens: tokens, outputTokens: 10, outputLimit: 10}, priority: priorities[i]}
		j.onFirstToken = func() { times[i] = c.now.Sub(epoch) }
		j.onDone = func() {}
		e.submit(j)
	}
	c.runUntil(epoch.Add(time.Hour))
	return times, e
}

// Guards against an engine model that ignores priorities, overcommits its memory
// or leaks it.
func TestEngineModel(t *testing.T) {
	times, e := runWarmEngine([]int{1, 0}, []int64{200_000, 2_000})
	if times[1] > 100*time.Millisecond || times[0] < time.Second {
		t.Errorf("times to first token: got %s, want at least 1s for the long prompt and at most 100ms for the urgent one", times)
	}
	if e.reservedTokens != 0 || len(e.running) != 0 {
		t.Errorf("after the last job: %d tokens reserved, want none and no running jobs", e.reservedTokens)
	}
	times, _ = runWarmEngine([]int{0, 0}, []int64{700_000, 600_000})
	if busy := time.Duration(1_300_000 / defaultEngine().busyPrefillRate() * float64(time.Second)); times[1] < busy {
		t.Errorf("two prompts that exceed the memory together: second first token after %s, want at least %s, the time to prefill both", times[1], busy)
	}
}

// Guards against a cold engine that handles two prompts of more than maxColdTokens
// in total at normal speed, and against a collapse under a smaller load.
func TestColdEngine(t *testing.T) {
	warm, _ := runWarmEngine([]int{0, 0}, []int64{12_000, 12_000})
	cold, e := runColdEngine([]int{0, 0}, []int64{12_000, 12_000})
	if e.collapsedSteps == 0 || cold[1] < 10*warm[1] {
		t.Errorf("cold engine: %d collapsed steps, first token after %s; want collapsed steps and at least 10 times the %s of a warm engine", e.collapsedSteps, cold[1], warm[1])
	}
	if _, e := runColdEngine([]int{0, 0}, []int64{4_000, 4_000}); e.collapsedSteps != 0 || !e.cold {
		t.Errorf("small load: %d collapsed steps, want 0 and an engine that is still cold", e.collapsedSteps)
	}
}

// Guards against percentiles that improve when requests are refused, and against
// goodput that includes work outside the measurement period.
func TestSummaryCountsRefusals(t *testing.T) {
	s := shortScenario()
	sim := newSimulation(s)
	at := epoch.Add(s.Warmup)
	for i := range 10 {
		r := &request{promptTokens: 1_000, arrived: at, firstToken: at.Add(time.Millisecond), ended: at.Add(time.Second), outcome: outcomeDone}
		if i == 0 {
			r.outcome = outcomeRefused
		}
		if i == 1 {
			r.ended = at.Add(s.Duration)
		}
		sim.requests = append(sim.requests, r)
	}
	m := summarize(sim)
	if m.shortP95() != requestDeadline {
		t.Errorf("95th percentile is %s with one refusal in ten, want the request deadline", m.shortP95())
	}
	if m.goodputTokens != 8_000 {
		t.Errorf("goodput is %d tokens, want 8000", m.goodputTokens)
	}
}

// Guards against a benchmark that passes although a metric misses its target or
// is NaN.
func TestReportFailsOnMissedTarget(t *testing.T) {
	good := []metric{{"a", 1, "ms", 1, atMost}, {"b", 1, "ratio", 1, atLeast}, {name: "c", value: 9}}
	if err := report(io.Discard, [][]metric{good}); err != nil {
		t.Errorf("report with all targets met: got error %v, want none", err)
	}
	for _, bad := range []metric{{"a", 1.1, "ms", 1, atMost}, {"b", 0.9, "ratio", 1, atLeast}, {"c", math.NaN(), "ratio", 1, atMost}} {
		if err := report(io.Discard, [][]metric{good, {bad}}); !errors.Is(err, ErrTargetMissed) {
			t.Errorf("report with metric %v: got error %v, want ErrTargetMissed", bad, err)
		}
	}
}
