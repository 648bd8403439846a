package faults

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskinstand.example/loadgen/cluster"
)

// fleet follows the configuration revision of each process. Processes publish
// it once a second, so delays are up to a second too long.
type fleet struct {
	admins map[string]string

	mu      sync.Mutex
	seen    map[string][]sighting
	reverts int
}

// sighting is a revision that a process reported first at a time.
type sighting struct {
	revision uint64
	at       time.Time
}

const pollInterval = 250 * time.Millisecond

func newFleet(s *stage) *fleet {
	return &fleet{admins: s.Layout.Admins(), seen: map[string][]sighting{}}
}

// watch polls every process until the context ends.
func (f *fleet) watch(ctx context.Context) {
	for rest(ctx, pollInterval) == nil {
		var group sync.WaitGroup
		for name, admin := range f.admins {
			group.Go(func() { f.poll(ctx, name, admin) })
		}
		group.Wait()
	}
}

func (f *fleet) poll(ctx context.Context, name, admin string) {
	const limit = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	value, ok := cluster.Gauge(ctx, admin, "config_revision")
	if !ok || value == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	revision, list := uint64(value), f.seen[name]
	if n := len(list); n > 0 && list[n-1].revision >= revision {
		if list[n-1].revision > revision {
			f.reverts++
		}
		return
	}
	f.seen[name] = append(list, sighting{revision, time.Now()})
}

// restarts forgets what a process reported before its restart.
func (f *fleet) restarts(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.seen, name)
}

func (f *fleet) newest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := uint64(1)
	for _, list := range f.seen {
		newest = max(newest, list[len(list)-1].revision)
	}
	return newest
}

// reached returns when a process first reported at least a change's revision.
func (f *fleet) reached(name string, c change) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.seen[name] {
		if s.revision >= c.revision {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// await waits until every process has the changes or the limit has passed.
func (f *fleet) await(ctx context.Context, changes []change, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for f.missing(changes) > 0 && time.Now().Before(deadline) {
		if rest(ctx, pollInterval) != nil {
			return
		}
	}
}

// missing counts the pairs of process and change that is not in force.
func (f *fleet) missing(changes []change) int {
	n := 0
	for _, c := range changes {
		for name := range f.admins {
			if _, ok := f.reached(name, c); !ok {
				n++
			}
		}
	}
	return n
}

// delays returns the time from acceptance to force of each change at each
// process, in ascending order.
func (f *fleet) delays(changes []change) []time.Duration {
	var list []time.Duration
	for i, c := range changes {
		for name := range f.admins {
			at, ok := f.reached(name, c)
			// A process that restarted later has lost its earlier sightings.
			if ok && (i+1 == len(changes) || at.Before(changes[i+1].at)) {
				list = append(list, max(0, at.Sub(c.at)))
			}
		}
	}
	slices.Sort(list)
	return list
}

// quantile reads a sorted list.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, int(q*float64(len(list))))]
}
