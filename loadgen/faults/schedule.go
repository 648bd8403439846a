package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/cluster"
)

// fault is a kind of fault. inject injects it and returns once a fault with a
// duration has ended.
type fault struct {
	name string
	// weight is the relative frequency with which pickFault draws the fault.
	weight int
	inject func(ctx context.Context, s *scenarioRun, random *rand.Rand) error
}

// disruptionLog records when each gateway was killed or paused, and how often each
// kind of fault was injected. It is safe for concurrent use.
type disruptionLog struct {
	mu          sync.Mutex
	spans       map[string][]*timeSpan // by the gateway's base URL
	faultCounts map[string]int
}

type timeSpan struct{ from, to time.Time }

// recoveryTime is how long a gateway may be affected by a fault after its end.
const recoveryTime = time.Second

// begin records that a gateway is disrupted until recoveryTime after the call of
// end.
func (d *disruptionLog) begin(gateway string) (end func()) {
	const openEnd = 24 * time.Hour
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spans == nil {
		d.spans = map[string][]*timeSpan{}
	}
	now := time.Now()
	span := &timeSpan{now, now.Add(openEnd)}
	d.spans[gateway] = append(d.spans[gateway], span)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		span.to = time.Now().Add(recoveryTime)
	}
}

// overlaps reports whether a gateway was disrupted at any time between from and
// to.
func (d *disruptionLog) overlaps(gateway string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.spans[gateway] {
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

// injectFaults injects random faults at each interval until duration has passed,
// and waits until all of them have ended. It draws two faults at about half of the
// intervals. A kind of fault that is still active is not injected again. Each fault
// has its own random generator, so that the draws depend only on the seed. It returns
// the first error of a fault.
func (s *scenarioRun) injectFaults(ctx context.Context, duration, interval time.Duration, faults []fault) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var first error
	begin := time.Now()
	active := map[string]bool{}
	for at := interval; at < duration; at += interval {
		if err := sleep(ctx, time.Until(begin.Add(at))); err != nil {
			break
		}
		for range 1 + s.random.IntN(2) {
			f := pickFault(s.random, faults)
			random := rand.New(rand.NewPCG(s.random.Uint64(), 3))
			mu.Lock()
			running := active[f.name]
			active[f.name] = true
			mu.Unlock()
			if running {
				continue
			}
			s.disruptions.countFault(f.name)
			group.Go(func() {
				err := f.inject(ctx, s, random)
				mu.Lock()
				defer mu.Unlock()
				active[f.name] = false
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

// randomEndpoint returns a random endpoint whose pool is of the given kind.
func (s *scenarioRun) randomEndpoint(random *rand.Rand, kind config.PoolKind) cluster.Endpoint {
	var list []cluster.Endpoint
	for _, e := range s.Layout.Endpoints {
		if e.IsPlain == (kind == config.KindPlain) {
			list = append(list, e)
		}
	}
	return list[random.IntN(len(list))]
}

func backendName(e cluster.Endpoint) string { return e.Name + "-backend" }

// gatewayURL returns the base URL of a gateway as it appears in load results.
func gatewayURL(g cluster.Gateway) string { return "http://" + g.CallerAddress }
