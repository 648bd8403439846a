package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Scenario is one run of one policy.
type Scenario struct {
	Name string
	Seed uint64
	// Load is the offered work relative to the capacity.
	Load     float64
	Warmup   time.Duration
	Duration time.Duration
	// Drain lets the last requests end.
	Drain    time.Duration
	Gateways int
	// SpeedFactor slows every other engine down or speeds it up.
	SpeedFactor   float64
	EstimateError float64
	ReportLag     time.Duration
	// ShortOnly leaves out the prompts over 100,000 tokens of the same
	// sequence of arrivals.
	ShortOnly bool
	// LongEvery adds a prompt of longTokens at this interval; zero means never.
	LongEvery time.Duration
	// ZoneOut and ZoneIn are the times at which the first zone leaves and
	// returns with cold engines; zero means never.
	ZoneOut, ZoneIn time.Duration
}

func defaultScenario(seed uint64) Scenario {
	return Scenario{Name: "mixed", Seed: seed, Load: 0.8, Warmup: 60 * time.Second, Duration: 300 * time.Second, Drain: requestDeadline + 5*time.Second, Gateways: 3, SpeedFactor: 1}
}

// zones and replicas are as in today's deployments.
var zones = []string{"z1", "z2", "z3"}

const replicas = 14

// world is the state of one run.
type world struct {
	scenario Scenario
	clock    *clock
	engines  []*engine
	random   *rand.Rand
	policy   policy
	requests []*request
	outZone  string
	outSince time.Time
	// startedOut counts new work in the zone 3 s after it was taken out.
	startedOut int
	// prefilledInTime is the prompt tokens prefilled in the measured period.
	prefilledInTime int64
}

// longTokens is the length of the prompts that LongEvery adds.
const longTokens = 700_000

// placementLimit is the time after which a zone that is out gets no new work.
const placementLimit = 3 * time.Second

func newWorld(s Scenario) *world {
	w := &world{scenario: s, clock: newClock(), random: rand.New(rand.NewPCG(s.Seed, 11))}
	for i := range replicas {
		c := defaultEngine()
		if i%2 == 1 {
			c.prefillRate *= s.SpeedFactor
			c.stepTime = time.Duration(float64(c.stepTime) / s.SpeedFactor)
		}
		w.engines = append(w.engines, newEngine(w.clock, fmt.Sprintf("engine-%02d", i), zones[i%len(zones)], c))
	}
	return w
}

// capacity is the requests a second at which the prefill of all engines is
// busy all the time. Prefill binds: see docs/bench.md.
func (w *world) capacity() float64 { return w.capacityTokens() / meanPrompt(math.MaxInt64) }

// capacityTokens is the prompt tokens a second of all engines.
func (w *world) capacityTokens() float64 {
	sum := 0.0
	for _, e := range w.engines {
		sum += e.config.busyPrefillRate()
	}
	return sum
}

// run drives the scenario with one policy.
func run(s Scenario, build func(*world) policy) *world {
	w := newWorld(s)
	w.policy = build(w)
	rate := w.capacity() * s.Load
	load := newWorkload(s.Seed, s)
	end := epoch.Add(s.Warmup + s.Duration)
	var arrive func()
	arrive = func() {
		if r := load.next(w.clock.now); r.outcome == outcomeOpen {
			w.arrive(r)
		}
		if gap := load.gap(rate * w.rise()); w.clock.now.Add(gap).Before(end) {
			w.clock.after(gap, arrive)
		}
	}
	w.clock.after(load.gap(rate*w.rise()), arrive)
	w.planZone()
	w.clock.at(epoch.Add(s.Warmup), func() { w.prefilledInTime -= w.prefilled() })
	w.clock.at(end, func() { w.prefilledInTime += w.prefilled() })
	if s.LongEvery > 0 {
		w.clock.every(s.LongEvery, func() {
			if w.clock.now.Before(end) {
				w.arrive(load.nextLong(w.clock.now, longTokens))
			}
		})
	}
	w.clock.runUntil(end.Add(s.Drain))
	return w
}

// rise is the part of the load that is offered now. It grows over the first
// half of the warm-up, because limits start low and no deployment takes its
// full load within a second.
func (w *world) rise() float64 {
	elapsed := w.clock.now.Sub(epoch).Seconds() / (w.scenario.Warmup.Seconds() / 2)
	return min(0.1+elapsed, 1)
}

func (w *world) arrive(r *request) {
	w.requests = append(w.requests, r)
	w.clock.at(r.deadline, func() {
		if r.outcome == outcomeOpen {
			w.policy.expire(r)
			w.end(r, outcomeLate)
		}
	})
	w.policy.offer(r)
}

func (w *world) planZone() {
	if w.scenario.ZoneOut == 0 {
		return
	}
	zone := zones[0]
	w.clock.after(w.scenario.ZoneOut, func() {
		w.outZone, w.outSince = zone, w.clock.now
		w.policy.setZone(zone, true)
	})
	w.clock.after(w.scenario.ZoneIn, func() {
		w.outZone = ""
		for _, e := range w.engines {
			if e.zone == zone {
				e.restart()
				w.policy.restarted(e)
			}
		}
		w.policy.setZone(zone, false)
	})
}

// started records that an engine gets new work.
func (w *world) started(e *engine) {
	if e.zone == w.outZone && w.clock.now.Sub(w.outSince) > placementLimit {
		w.startedOut++
	}
}

// firstToken records the first token, which the caller sees after the latency.
func (w *world) firstToken(r *request, latency time.Duration) {
	if r.firstToken.IsZero() {
		r.firstToken = w.clock.now.Add(latency)
	}
}

func (w *world) end(r *request, o outcome) {
	if r.outcome == outcomeOpen {
		r.outcome, r.ended = o, w.clock.now
	}
}

// measured calls visit for each request that arrived after the warm-up.
func (w *world) measured(visit func(*request)) {
	for _, r := range w.requests {
		if !r.arrived.Before(epoch.Add(w.scenario.Warmup)) {
			visit(r)
		}
	}
}

func (w *world) prefilled() int64 {
	var sum int64
	for _, e := range w.engines {
		sum += e.prefilled
	}
	return sum
}

// collapsedSteps counts the steps of cold engines above what they can handle.
func (w *world) collapsedSteps() int {
	sum := 0
	for _, e := range w.engines {
		sum += e.collapsedSteps
	}
	return sum
}
