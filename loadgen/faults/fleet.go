package faults

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskinstand.example/loadgen/cluster"
)

// revisionTracker follows the configuration revision of each process. Processes publish
// it once a second, so delays are up to a second too long.
type revisionTracker struct {
	admins map[string]string

	mu           sync.Mutex
	observations map[string][]revisionObservation
	reverts      int
}

// revisionObservation is a revision that a process reported first at a time.
type revisionObservation struct {
	revision   uint64
	observedAt time.Time
}

const pollInterval = 250 * time.Millisecond

func newRevisionTracker(s *scenarioRun) *revisionTracker {
	return &revisionTracker{admins: s.Layout.AdminAddresses(), observations: map[string][]revisionObservation{}}
}

// watch polls every process until the context ends.
func (f *revisionTracker) watch(ctx context.Context) {
	for sleep(ctx, pollInterval) == nil {
		var group sync.WaitGroup
		for name, admin := range f.admins {
			group.Go(func() { f.poll(ctx, name, admin) })
		}
		group.Wait()
	}
}

func (f *revisionTracker) poll(ctx context.Context, name, admin string) {
	const limit = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	value, ok := cluster.ReadGauge(ctx, admin, "config_revision")
	if !ok || value == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	revision, list := uint64(value), f.observations[name]
	if n := len(list); n > 0 && list[n-1].revision >= revision {
		if list[n-1].revision > revision {
			f.reverts++
		}
		return
	}
	f.observations[name] = append(list, revisionObservation{revision, time.Now()})
}

// reset forgets what a process reported before its restart.
func (f *revisionTracker) reset(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.observations, name)
}

func (f *revisionTracker) newestRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := uint64(1)
	for _, list := range f.observations {
		newest = max(newest, list[len(list)-1].revision)
	}
	return newest
}

// firstObserved returns when a process first reported at least a change's revision.
func (f *revisionTracker) firstObserved(name string, c acceptedEdit) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.observations[name] {
		if s.revision >= c.revision {
			return s.observedAt, true
		}
	}
	return time.Time{}, false
}

// await waits until every process has the changes or the limit has passed.
func (f *revisionTracker) await(ctx context.Context, changes []acceptedEdit, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for f.countMissing(changes) > 0 && time.Now().Before(deadline) {
		if sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// countMissing counts the pairs of process and change that is not in force.
func (f *revisionTracker) countMissing(changes []acceptedEdit) int {
	n := 0
	for _, c := range changes {
		for name := range f.admins {
			if _, ok := f.firstObserved(name, c); !ok {
				n++
			}
		}
	}
	return n
}

// propagationDelays returns the time from acceptance to force of each change at each
// process, in ascending order.
func (f *revisionTracker) propagationDelays(changes []acceptedEdit) []time.Duration {
	var list []time.Duration
	for i, c := range changes {
		for name := range f.admins {
			at, ok := f.firstObserved(name, c)
			// A process that restarted later has lost its earlier sightings.
			if ok && (i+1 == len(changes) || at.Before(changes[i+1].acceptedAt)) {
				list = append(list, max(0, at.Sub(c.acceptedAt)))
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
