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

// Guards against a run whose figures change from one execution to the next.
func TestRunsRepeat(t *testing.T) {
	for _, build := range []func(*world) policy{newOurs, newPrevious, newLeastOutstanding} {
		a, b := summarize(run(shortScenario(), build)), summarize(run(shortScenario(), build))
		if a.useful != b.useful || a.shortP95() != b.shortP95() {
			t.Errorf("%s: %d tokens, %s, then %d tokens, %s", a.world.policy.name(), a.useful, a.shortP95(), b.useful, b.shortP95())
		}
	}
}

// Guards against lengths outside the range of the targets or too few long ones.
func TestWorkloadLengths(t *testing.T) {
	const n = 50_000
	w, long, sum := newWorkload(1, shortScenario()), 0, 0.0
	for range n {
		r := w.next(epoch)
		if r.prompt < 1_000 || r.prompt > 1_000_000 {
			t.Fatalf("prompt of %d tokens", r.prompt)
		}
		if r.prompt > admission.LongTokens {
			long++
		}
		sum += float64(r.prompt)
	}
	if share := float64(long) / n; math.Abs(share-0.02) > 0.003 {
		t.Errorf("%.3f of the prompts are long, want one in fifty", share)
	}
	if mean := sum / n; math.Abs(mean/meanPrompt(math.MaxInt64)-1) > 0.1 {
		t.Errorf("mean of %.0f tokens, formula gives %.0f", mean, meanPrompt(math.MaxInt64))
	}
}

// engineRun submits jobs with the given priorities and prompts and returns the
// times of their first tokens.
func engineRun(cold bool, priorities []int, prompts []int64) ([]time.Duration, *engine) {
	c := newClock()
	e := newEngine(c, "e", "z", defaultEngine())
	e.cold = cold
	times := make([]time.Duration, len(prompts))
	for i, tokens := range prompts {
		j := &job{request: &request{prompt: tokens, output: 10, bound: 10}, priority: priorities[i]}
		j.first = func() { times[i] = c.now.Sub(epoch) }
		j.done = func() {}
		e.submit(j)
	}
	c.runUntil(epoch.Add(time.Hour))
	return times, e
}

// Guards against an engine model that ignores priorities, overbooks its memory
// or never frees it.
func TestEngineModel(t *testing.T) {
	times, e := engineRun(false, []int{1, 0}, []int64{200_000, 2_000})
	if times[1] > 100*time.Millisecond || times[0] < time.Second {
		t.Errorf("first tokens after %s", times)
	}
	if e.used != 0 || len(e.running) != 0 {
		t.Errorf("%d tokens are still in use", e.used)
	}
	times, _ = engineRun(false, []int{0, 0}, []int64{700_000, 600_000})
	if busy := time.Duration(1_300_000 / defaultEngine().busyPrefillRate() * float64(time.Second)); times[1] < busy {
		t.Errorf("two prompts that do not fit together were done after %s, prefill alone takes %s", times[1], busy)
	}
}

// Guards against a cold engine that takes a full load or never warms.
func TestColdEngine(t *testing.T) {
	warm, _ := engineRun(false, []int{0, 0}, []int64{12_000, 12_000})
	cold, e := engineRun(true, []int{0, 0}, []int64{12_000, 12_000})
	if e.collapsedSteps == 0 || cold[1] < 10*warm[1] {
		t.Errorf("cold engine: %d collapsed steps, first token after %s, warm after %s", e.collapsedSteps, cold[1], warm[1])
	}
	if _, e := engineRun(true, []int{0, 0}, []int64{4_000, 4_000}); e.collapsedSteps != 0 || !e.cold {
		t.Errorf("%d collapsed steps under a small load", e.collapsedSteps)
	}
}

// Guards against percentiles that improve by refusing requests, and goodput
// that counts work outside the measured period.
func TestSummaryCountsRefusals(t *testing.T) {
	s := shortScenario()
	w := newWorld(s)
	at := epoch.Add(s.Warmup)
	for i := range 10 {
		r := &request{prompt: 1_000, arrived: at, firstToken: at.Add(time.Millisecond), ended: at.Add(time.Second), outcome: outcomeDone}
		if i == 0 {
			r.outcome = outcomeRefused
		}
		if i == 1 {
			r.ended = at.Add(s.Duration)
		}
		w.requests = append(w.requests, r)
	}
	m := summarize(w)
	if m.shortP95() != requestDeadline {
		t.Errorf("95th percentile is %s with one refusal in ten", m.shortP95())
	}
	if m.useful != 8_000 {
		t.Errorf("useful work is %d tokens, want 8000", m.useful)
	}
}

// Guards against a bench that passes although a target is missed, or a figure
// that is not a number.
func TestReportFails(t *testing.T) {
	good := []figure{{"a", 1, "ms", 1, targetAtMost}, {"b", 1, "ratio", 1, targetAtLeast}, {name: "c", value: 9}}
	if err := report(io.Discard, [][]figure{good}); err != nil {
		t.Errorf("met targets give %v", err)
	}
	for _, bad := range []figure{{"a", 1.1, "ms", 1, targetAtMost}, {"b", 0.9, "ratio", 1, targetAtLeast}, {"c", math.NaN(), "ratio", 1, targetAtMost}} {
		if err := report(io.Discard, [][]figure{good, {bad}}); !errors.Is(err, ErrTargetMissed) {
			t.Errorf("figure %v gives %v", bad, err)
		}
	}
}
