package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"siskinstand.example/coord/config"
)

// Scenario configures a simulation run.
type Scenario struct {
	Name string
	Seed uint64
	// LoadFactor is the offered load relative to the capacity.
	LoadFactor float64
	Warmup     time.Duration
	Duration   time.Duration
	// Drain is the time after the last arrival for requests to finish.
	Drain    time.Duration
	Gateways int
	// SpeedFactor multiplies the speed of every other engine.
	SpeedFactor float64
	// EstimateError is the maximum relative error of prompt length estimates.
	EstimateError float64
	// ReportDelay is added to the latency of load reports.
	ReportDelay time.Duration
	// ShortOnly drops prompts over 100,000 tokens from an otherwise identical
	// sequence of arrivals.
	ShortOnly bool
	// LongPromptInterval is the interval between additional prompts of
	// longPromptTokens; zero means none.
	LongPromptInterval time.Duration
	// ZoneOutAt and ZoneInAt are the times at which the first availability zone is
	// taken out of service and returns with cold engines. If ZoneOutAt is zero,
	// neither happens.
	ZoneOutAt, ZoneInAt time.Duration
}

func defaultScenario(seed uint64) Scenario {
	return Scenario{Name: "mixed", Seed: seed, LoadFactor: 0.8, Warmup: 60 * time.Second, Duration: 300 * time.Second, Drain: requestDeadline + 5*time.Second, Gateways: 3, SpeedFactor: 1}
}

// zones and engineCount match the size of existing deployments.
var zones = []string{"z1", "z2", "z3"}

const engineCount = 14

// simulation holds the state of one run.
type simulation struct {
	scenario     Scenario
	clock        *clock
	engines      []*engine
	random       *rand.Rand
	policy       policy
	requests     []*request
	outZone      string
	zoneOutSince time.Time
	// outZoneStarts counts jobs that start in the zone more than 3 s after it was
	// taken out of service.
	outZoneStarts int
	// measuredPrefillTokens is the number of prompt tokens prefilled in the
	// measurement period.
	measuredPrefillTokens int64
}

// longPromptTokens is the length of the prompts added by LongPromptInterval.
const longPromptTokens = 700_000

// zoneOutGracePeriod is the time after which a zone that is out of service must
// get no new work.
const zoneOutGracePeriod = 3 * time.Second

func newSimulation(s Scenario) *simulation {
	sim := &simulation{scenario: s, clock: newClock(), random: rand.New(rand.NewPCG(s.Seed, 11))}
	for i := range engineCount {
		c := defaultEngine()
		if i%2 == 1 {
			c.prefillRate *= s.SpeedFactor
			c.stepTime = time.Duration(float64(c.stepTime) / s.SpeedFactor)
		}
		sim.engines = append(sim.engines, newEngine(sim.clock, fmt.Sprintf("engine-%02d", i), zones[i%len(zones)], c))
	}
	return sim
}

// capacityRequests returns the request rate per second at which all engines
// prefill all the time. Prefill is the bottleneck, because at this rate only about
// 24 jobs decode at a time on an engine with a maximum batch of 64
// (capacity_check_decode_streams).
func (sim *simulation) capacityRequests() float64 {
	return sim.capacityTokens() / meanPromptTokens(math.MaxInt64)
}

// capacityTokens returns the prompt tokens per second of all engines together.
func (sim *simulation) capacityTokens() float64 {
	sum := 0.0
	for _, e := range sim.engines {
		sum += e.config.busyPrefillRate()
	}
	return sum
}

// simulate runs the scenario with one policy.
func simulate(s Scenario, newPolicy func(*simulation) policy) *simulation {
	sim := newSimulation(s)
	sim.policy = newPolicy(sim)
	rate := sim.capacityRequests() * s.LoadFactor
	load := newWorkload(s.Seed, s)
	end := epoch.Add(s.Warmup + s.Duration)
	var arrive func()
	arrive = func() {
		if r := load.nextRequest(sim.clock.now); r.outcome == outcomeOpen {
			sim.handleArrival(r)
		}
		if gap := load.nextInterval(rate * sim.offeredFraction()); sim.clock.now.Add(gap).Before(end) {
			sim.clock.after(gap, arrive)
		}
	}
	sim.clock.after(load.nextInterval(rate*sim.offeredFraction()), arrive)
	sim.scheduleZoneOutage()
	sim.clock.at(epoch.Add(s.Warmup), func() { sim.measuredPrefillTokens -= sim.prefilledTokens() })
	sim.clock.at(end, func() { sim.measuredPrefillTokens += sim.prefilledTokens() })
	if s.LongPromptInterval > 0 {
		sim.clock.every(s.LongPromptInterval, func() {
			if sim.clock.now.Before(end) {
				sim.handleArrival(load.nextLongRequest(sim.clock.now, longPromptTokens))
			}
		})
	}
	sim.clock.runUntil(end.Add(s.Drain))
	return sim
}

// offeredFraction returns the fraction of the load that is currently offered. It
// grows from 0.1 to 1 in the first half of the warm-up, because concurrency limits
// start low and no deployment gets its full load within a second.
func (sim *simulation) offeredFraction() float64 {
	elapsed := sim.clock.now.Sub(epoch).Seconds() / (sim.scenario.Warmup.Seconds() / 2)
	return min(0.1+elapsed, 1)
}

func (sim *simulation) handleArrival(r *request) {
	sim.requests = append(sim.requests, r)
	sim.clock.at(r.deadline, func() {
		if r.outcome == outcomeOpen {
			sim.policy.expire(r)
			sim.finish(r, outcomeLate)
		}
	})
	sim.policy.submit(r)
}

func (sim *simulation) scheduleZoneOutage() {
	if sim.scenario.ZoneOutAt == 0 {
		return
	}
	zone := zones[0]
	sim.clock.after(sim.scenario.ZoneOutAt, func() {
		sim.outZone, sim.zoneOutSince = zone, sim.clock.now
		sim.policy.setZoneState(zone, config.ZoneOut)
	})
	sim.clock.after(sim.scenario.ZoneInAt, func() {
		sim.outZone = ""
		for _, e := range sim.engines {
			if e.zone == zone {
				e.restart()
				sim.policy.engineRestarted(e)
			}
		}
		sim.policy.setZoneState(zone, config.ZoneIn)
	})
}

// countOutZoneStart must be called when a job starts on an engine. It counts the job
// in outZoneStarts if the engine's zone is out of service and the grace period is over.
func (sim *simulation) countOutZoneStart(e *engine) {
	if e.zone == sim.outZone && sim.clock.now.Sub(sim.zoneOutSince) > zoneOutGracePeriod {
		sim.outZoneStarts++
	}
}

// recordFirstToken records the first token, which reaches the caller after the
// latency.
func (sim *simulation) recordFirstToken(r *request, latency time.Duration) {
	if r.firstToken.IsZero() {
		r.firstToken = sim.clock.now.Add(latency)
	}
}

func (sim *simulation) finish(r *request, o outcome) {
	if r.outcome == outcomeOpen {
		r.outcome, r.ended = o, sim.clock.now
	}
}

// forEachMeasured calls visit for each request that arrived after the warm-up.
func (sim *simulation) forEachMeasured(visit func(*request)) {
	for _, r := range sim.requests {
		if !r.arrived.Before(epoch.Add(sim.scenario.Warmup)) {
			visit(r)
		}
	}
}

func (sim *simulation) prefilledTokens() int64 {
	var sum int64
	for _, e := range sim.engines {
		sum += e.prefilledTokens
	}
	return sum
}

// collapsedSteps returns the number of steps slowed down because a cold engine
// was overloaded.
func (sim *simulation) collapsedSteps() int {
	sum := 0
	for _, e := range sim.engines {
		sum += e.collapsedSteps
	}
	return sum
}
