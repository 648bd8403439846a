package bench

import (
	"time"

	"siskinstand.example/coord/config"
)

// policy decides where and when requests run. The simulation notifies it of
// request and zone events, and the policy submits jobs to the engines.
type policy interface {
	name() string
	// submit handles a request that arrives at its gateway.
	submit(r *request)
	// expire cancels a request whose deadline has passed.
	expire(r *request)
	// setZoneState takes an availability zone out of service or brings it back. It
	// is called at the time of the operators' change.
	setZoneState(zone string, state config.ZoneState)
	// engineRestarted is called when an engine has restarted cold.
	engineRestarted(e *engine)
}

// One-way network latencies: less than 1.5 ms between availability zones and a
// fraction of a millisecond within a host.
const (
	peerLatency   = time.Millisecond
	engineLatency = 100 * time.Microsecond
)

// engineSelector selects one of the usable engines for a request.
type engineSelector func(b *baseline, r *request, usable []int) int

// baseline sends each request to an engine immediately, without queueing or
// priorities in front of the engine.
type baseline struct {
	simulation    *simulation
	label         string
	selectEngine  engineSelector
	selections    []int
	outstanding   [][]int
	jobs          map[*request]placement
	excludedZones map[string]bool
}

type placement struct {
	job    *job
	engine int
}

func newBaseline(sim *simulation, label string, c engineSelector) *baseline {
	b := &baseline{simulation: sim, label: label, selectEngine: c, jobs: map[*request]placement{}, excludedZones: map[string]bool{}, selections: make([]int, sim.scenario.Gateways)}
	for range sim.scenario.Gateways {
		b.outstanding = append(b.outstanding, make([]int, len(sim.engines)))
	}
	return b
}

func newRoundRobin(sim *simulation) policy {
	return newBaseline(sim, "round_robin", func(b *baseline, r *request, usable []int) int {
		b.selections[r.gateway]++
		return usable[(b.selections[r.gateway]+r.gateway)%len(usable)]
	})
}

func newLeastOutstanding(sim *simulation) policy {
	return newBaseline(sim, "least_outstanding", func(b *baseline, r *request, usable []int) int {
		counts, best := b.outstanding[r.gateway], -1
		b.selections[r.gateway]++
		for i := range usable {
			// Rotate the start so that ties don't all go to the first engine.
			e := usable[(i+b.selections[r.gateway])%len(usable)]
			if best < 0 || counts[e] < counts[best] {
				best = e
			}
		}
		return best
	})
}

func (b *baseline) name() string { return b.label }

func (b *baseline) submit(r *request) {
	var usable []int
	for i, e := range b.simulation.engines {
		if !b.excludedZones[e.zone] {
			usable = append(usable, i)
		}
	}
	at := b.selectEngine(b, r, usable)
	e := b.simulation.engines[at]
	b.outstanding[r.gateway][at]++
	r.admitted = true
	j := &job{request: r}
	j.onFirstToken = func() { b.simulation.recordFirstToken(r, peerLatency) }
	j.onDone = func() {
		b.release(r)
		b.simulation.finish(r, outcomeDone)
	}
	b.jobs[r] = placement{j, at}
	b.simulation.clock.after(peerLatency, func() {
		if !j.ended {
			b.simulation.countOutZoneStart(e)
			e.submit(j)
		}
	})
}

func (b *baseline) release(r *request) {
	if p, ok := b.jobs[r]; ok {
		b.outstanding[r.gateway][p.engine]--
		delete(b.jobs, r)
	}
}

func (b *baseline) expire(r *request) {
	if p, ok := b.jobs[r]; ok {
		b.simulation.engines[p.engine].remove(p.job)
		b.release(r)
	}
}

func (b *baseline) setZoneState(zone string, state config.ZoneState) {
	b.excludedZones[zone] = state == config.ZoneOut
}

func (b *baseline) engineRestarted(*engine) {}
