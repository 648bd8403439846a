package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"siskinstand.example/loadgen/cluster"
)

// fault is one kind of fault; run injects it and ends it again.
type fault struct {
	name   string
	weight int
	inject func(ctx context.Context, s *scenarioRun, random *rand.Rand) error
}

// disruptionLog are the times at which a gateway was killed or paused. It is
// safe for concurrent use.
type disruptionLog struct {
	mu          sync.Mutex
	intervals   map[string][]*interval
	faultCounts map[string]int
}

type interval struct{ from, to time.Time }

// recoveryTime is the time that a gateway may take after a fault until it answers as
// if there had been none.
const recoveryTime = time.Second

// begin records that a gateway does not work normally until end is called.
func (d *disruptionLog) begin(gateway string) (end func()) {
	const open = 24 * time.Hour
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.intervals == nil {
		d.intervals = map[string][]*interval{}
	}
	now := time.Now()
	event := &interval{now, now.Add(open)}
	d.intervals[gateway] = append(d.intervals[gateway], event)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		event.to = time.Now().Add(recoveryTime)
	}
}

// overlaps reports whether a gateway was disturbed while a request was open.
func (d *disruptionLog) overlaps(gateway string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.intervals[gateway] {
		if from.Before(e.to) && to.After(e.from) {
			return true
		}
	}
	return false
}

func (d *disruptionLog) countFault(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faultCounts == nil {
		d.faultCounts = map[string]int{}
	}
	d.faultCounts[name]++
}

// injectFaults draws faults until the time is over and waits for the last to end.
// Every second step injects two at once. Each fault gets its own generator, so
// that the schedule depends on the seed only.
func (s *scenarioRun) injectFaults(ctx context.Context, length, interval time.Duration, faults []fault) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var first error
	begin := time.Now()
	busy := map[string]bool{}
	for at := interval; at < length; at += interval {
		if err := sleep(ctx, time.Until(begin.Add(at))); err != nil {
			break
		}
		for range 1 + s.random.IntN(2) {
			f := pickFault(s.random, faults)
			random := rand.New(rand.NewPCG(s.random.Uint64(), 3))
			mu.Lock()
			running := busy[f.name]
			busy[f.name] = true
			mu.Unlock()
			if running {
				continue
			}
			s.disruptions.countFault(f.name)
			group.Go(func() {
				err := f.inject(ctx, s, random)
				mu.Lock()
				defer mu.Unlock()
				busy[f.name] = false
				if err != nil && first == nil && ctx.Err() == nil {
					first = fmt.Errorf("inject %s: %w", f.name, err)
				}
			})
		}
	}
	group.Wait()
	s.report.comment(fmt.Sprintf("faults injected: %v", s.disruptions.faultCounts))
	return first
}

func pickFault(random *rand.Rand, faults []fault) fault {
	sum := 0
	for _, f := range faults {
		sum += f.weight
	}
	x := random.IntN(sum)
	for _, f := range faults {
		if x < f.weight {
			return f
		}
		x -= f.weight
	}
	return faults[0]
}

func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func (s *scenarioRun) randomGateway(random *rand.Rand) cluster.Gateway {
	return s.Layout.Gateways[random.IntN(len(s.Layout.Gateways))]
}

// randomEndpoint draws a plain endpoint or one with an engine.
func (s *scenarioRun) randomEndpoint(random *rand.Rand, plain bool) cluster.Endpoint {
	var list []cluster.Endpoint
	for _, e := range s.Layout.Endpoints {
		if e.Plain == plain {
			list = append(list, e)
		}
	}
	return list[random.IntN(len(list))]
}

func backendName(e cluster.Endpoint) string { return e.Name + "-backend" }

// gatewayURL is the address that results name.
func gatewayURL(g cluster.Gateway) string { return "http://" + g.CallerAddress }
