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
	run    func(ctx context.Context, s *stage, random *rand.Rand) error
}

// disturbances are the times at which a gateway was killed or paused. It is
// safe for concurrent use.
type disturbances struct {
	mu     sync.Mutex
	events map[string][]*span
	counts map[string]int
}

type span struct{ from, to time.Time }

// settle is the time that a gateway may take after a fault until it answers as
// if there had been none.
const settle = time.Second

// begin records that a gateway does not work normally until end is called.
func (d *disturbances) begin(gateway string) (end func()) {
	const open = 24 * time.Hour
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.events == nil {
		d.events = map[string][]*span{}
	}
	now := time.Now()
	event := &span{now, now.Add(open)}
	d.events[gateway] = append(d.events[gateway], event)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		event.to = time.Now().Add(settle)
	}
}

// excuses reports whether a gateway was disturbed while a request was open.
func (d *disturbances) excuses(gateway string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.events[gateway] {
		if from.Before(e.to) && to.After(e.from) {
			return true
		}
	}
	return false
}

func (d *disturbances) count(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = map[string]int{}
	}
	d.counts[name]++
}

// inject draws faults until the time is over and waits for the last to end.
// Every second step injects two at once. Each fault gets its own generator, so
// that the schedule depends on the seed only.
func (s *stage) inject(ctx context.Context, length, interval time.Duration, faults []fault) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var first error
	begin := time.Now()
	busy := map[string]bool{}
	for at := interval; at < length; at += interval {
		if err := rest(ctx, time.Until(begin.Add(at))); err != nil {
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
			s.log.count(f.name)
			group.Go(func() {
				err := f.run(ctx, s, random)
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
	s.report.note(fmt.Sprintf("faults injected: %v", s.log.counts))
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

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func (s *stage) anyGateway(random *rand.Rand) cluster.Gateway {
	return s.Layout.Gateways[random.IntN(len(s.Layout.Gateways))]
}

// anyEndpoint draws a plain endpoint or one with an engine.
func (s *stage) anyEndpoint(random *rand.Rand, plain bool) cluster.Endpoint {
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
func gatewayURL(g cluster.Gateway) string { return "http://" + g.Callers }
