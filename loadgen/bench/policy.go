package bench

import "time"

// policy decides where and when requests run. The world calls it on the events
// of a request; the policy hands jobs to the engines.
type policy interface {
	name() string
	// offer takes a new request at its gateway.
	offer(r *request)
	// expire gives up a request whose deadline has passed.
	expire(r *request)
	// setZone takes a zone out or back in, as known at once to the operators.
	setZone(zone string, out bool)
	// restarted tells that an engine came back cold.
	restarted(e *engine)
}

// Latencies between the processes: under 1.5 ms one way between zones and a
// fraction of a millisecond on one host.
const (
	peerLatency   = time.Millisecond
	engineLatency = 100 * time.Microsecond
)

// choose picks one of the usable engines for a request at a gateway.
type choose func(b *baseline, r *request, usable []int) int

// baseline sends each request at once to one engine, without queues or
// priorities of its own.
type baseline struct {
	world       *world
	label       string
	choose      choose
	next        []int
	outstanding [][]int
	jobs        map[*request]placed
	out         map[string]bool
}

type placed struct {
	job    *job
	engine int
}

func newBaseline(w *world, label string, c choose) *baseline {
	b := &baseline{world: w, label: label, choose: c, jobs: map[*request]placed{}, out: map[string]bool{}, next: make([]int, w.scenario.Gateways)}
	for range w.scenario.Gateways {
		b.outstanding = append(b.outstanding, make([]int, len(w.engines)))
	}
	return b
}

func newRoundRobin(w *world) policy {
	return newBaseline(w, "round_robin", func(b *baseline, r *request, usable []int) int {
		b.next[r.gateway]++
		return usable[(b.next[r.gateway]+r.gateway)%len(usable)]
	})
}

func newLeastOutstanding(w *world) policy {
	return newBaseline(w, "least_outstanding", func(b *baseline, r *request, usable []int) int {
		counts, best := b.outstanding[r.gateway], -1
		b.next[r.gateway]++
		for i := range usable {
			// The start rotates so that ties do not all go to the first engine.
			e := usable[(i+b.next[r.gateway])%len(usable)]
			if best < 0 || counts[e] < counts[best] {
				best = e
			}
		}
		return best
	})
}

func (b *baseline) name() string { return b.label }

func (b *baseline) offer(r *request) {
	var usable []int
	for i, e := range b.world.engines {
		if !b.out[e.zone] {
			usable = append(usable, i)
		}
	}
	at := b.choose(b, r, usable)
	e := b.world.engines[at]
	b.outstanding[r.gateway][at]++
	r.admitted = true
	j := &job{request: r}
	j.first = func() { b.world.firstToken(r, peerLatency) }
	j.done = func() {
		b.leave(r)
		b.world.end(r, outcomeDone)
	}
	b.jobs[r] = placed{j, at}
	b.world.clock.after(peerLatency, func() {
		if !j.ended {
			b.world.started(e)
			e.submit(j)
		}
	})
}

func (b *baseline) leave(r *request) {
	if p, ok := b.jobs[r]; ok {
		b.outstanding[r.gateway][p.engine]--
		delete(b.jobs, r)
	}
}

func (b *baseline) expire(r *request) {
	if p, ok := b.jobs[r]; ok {
		b.world.engines[p.engine].cancel(p.job)
		b.leave(r)
	}
}

func (b *baseline) setZone(zone string, out bool) { b.out[zone] = out }

func (b *baseline) restarted(*engine) {}
