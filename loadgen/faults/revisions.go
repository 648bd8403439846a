package faults

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskinstand.example/loadgen/cluster"
)

// revisionTracker polls the configuration revision of each process. Processes
// publish it once a second, so the measured delays are up to a second and a
// pollInterval too long.
type revisionTracker struct {
	adminAddresses map[string]string

	mu           sync.Mutex
	observations map[string][]revisionObservation
	reverts      int
}

// revisionObservation is the time at which a process was first seen with a
// revision.
type revisionObservation struct {
	revision   uint64
	observedAt time.Time
}

const pollInterval = 250 * time.Millisecond

func newRevisionTracker(s *scenarioRun) *revisionTracker {
	return &revisionTracker{adminAddresses: s.Layout.AdminAddresses(), observations: map[string][]revisionObservation{}}
}

// watch polls every process until the context ends.
func (t *revisionTracker) watch(ctx context.Context) {
	for sleep(ctx, pollInterval) == nil {
		var group sync.WaitGroup
		for name, admin := range t.adminAddresses {
			group.Go(func() { t.poll(ctx, name, admin) })
		}
		group.Wait()
	}
}

func (t *revisionTracker) poll(ctx context.Context, name, admin string) {
	const pollTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	value, ok := cluster.ReadGauge(ctx, admin, "config_revision")
	if !ok || value == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	revision, list := uint64(value), t.observations[name]
	if n := len(list); n > 0 && list[n-1].revision >= revision {
		if list[n-1].revision > revision {
			t.reverts++
		}
		return
	}
	t.observations[name] = append(list, revisionObservation{revision, time.Now()})
}

// reset discards the observations of a process that restarts.
func (t *revisionTracker) reset(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.observations, name)
}

func (t *revisionTracker) newestRevision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := uint64(1)
	for _, list := range t.observations {
		newest = max(newest, list[len(list)-1].revision)
	}
	return newest
}

// firstObserved returns when a process was first seen with the revision of an edit
// or a later one.
func (t *revisionTracker) firstObserved(name string, edit acceptedEdit) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.observations[name] {
		if o.revision >= edit.revision {
			return o.observedAt, true
		}
	}
	return time.Time{}, false
}

// awaitInForce waits until the edits are in force at every process or the limit has
// passed.
func (t *revisionTracker) awaitInForce(ctx context.Context, edits []acceptedEdit, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for t.countNotInForce(edits) > 0 && time.Now().Before(deadline) {
		if sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// countNotInForce returns the number of pairs of a process and an edit that is not in
// force there.
func (t *revisionTracker) countNotInForce(edits []acceptedEdit) int {
	n := 0
	for _, edit := range edits {
		for name := range t.adminAddresses {
			if _, ok := t.firstObserved(name, edit); !ok {
				n++
			}
		}
	}
	return n
}

// propagationDelays returns the times from the acceptance of each edit until it was
// seen in force at each process, in ascending order. Edits that were never seen in
// force at a process are left out.
func (t *revisionTracker) propagationDelays(edits []acceptedEdit) []time.Duration {
	var list []time.Duration
	for i, edit := range edits {
		for name := range t.adminAddresses {
			at, ok := t.firstObserved(name, edit)
			// The observations from before a restart are discarded, so a process that
			// was restarted after a later edit has no valid time for this one.
			if ok && (i+1 == len(edits) || at.Before(edits[i+1].acceptedAt)) {
				list = append(list, max(0, at.Sub(edit.acceptedAt)))
			}
		}
	}
	slices.Sort(list)
	return list
}

// quantile returns a quantile of a sorted list, or 0 if it is empty.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, int(q*float64(len(list))))]
}
