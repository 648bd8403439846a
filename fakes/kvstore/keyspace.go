package kvstore

import (
	"slices"
	"time"
)

// maxHistory limits the number of changes kept for watches, for reads at an
// earlier revision and for restarts with older data.
const maxHistory = 20_000

// change is a put or deletion, with the pair before and after it.
type change struct {
	revision int64
	key      string
	before   keyValue
	after    keyValue
	deleted  bool
}

type lease struct {
	timeToLive time.Duration
	expires    time.Time
	timer      *time.Timer
}

// keyspace holds the keys, leases and change history of the store. Its methods
// must be called with the store's lock held.
type keyspace struct {
	revision int64
	pairs    map[string]keyValue
	history  []change
	leases   map[int64]*lease
	// endedLeases holds the time to live of ended leases. A restart with older
	// data restores their keys, and with them the leases.
	endedLeases map[int64]time.Duration
	// changed is closed and replaced to wake the watches.
	changed chan struct{}
}

func newKeyspace() *keyspace {
	return &keyspace{
		revision: 1, pairs: map[string]keyValue{}, leases: map[int64]*lease{},
		endedLeases: map[int64]time.Duration{}, changed: make(chan struct{}),
	}
}

func (k *keyspace) record(c change) {
	k.history = append(k.history, c)
	if len(k.history) > maxHistory {
		k.history = slices.Delete(k.history, 0, maxHistory/2)
	}
	k.wakeWatches()
}

// wakeWatches makes all watches check again for events, restarts and outages.
func (k *keyspace) wakeWatches() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *keyspace) put(key string, value []byte, leaseID int64) {
	before := k.pairs[key]
	after := keyValue{
		Key: []byte(key), Value: value, ModRevision: k.revision,
		CreateRevision: before.CreateRevision, Version: before.Version + 1, Lease: leaseID,
	}
	if before.Version == 0 {
		after.CreateRevision = k.revision
	}
	k.pairs[key] = after
	k.record(change{revision: k.revision, key: key, before: before, after: after})
}

func (k *keyspace) delete(key string) {
	before, ok := k.pairs[key]
	if !ok {
		return
	}
	delete(k.pairs, key)
	after := keyValue{Key: []byte(key), ModRevision: k.revision}
	k.record(change{revision: k.revision, key: key, before: before, after: after, deleted: true})
}

// readRange returns the pairs of a range at a revision, in key order. It reports
// false if the history no longer reaches back to that revision.
func (k *keyspace) readRange(r rangeRequest) (list []keyValue, ok bool) {
	pairs := map[string]keyValue{}
	for key, kv := range k.pairs {
		if r.contains(key) {
			pairs[key] = kv
		}
	}
	if r.Revision > 0 && r.Revision < k.revision {
		if len(k.history) == 0 || k.history[0].revision > r.Revision+1 {
			return nil, false
		}
		for _, c := range slices.Backward(k.history) {
			if c.revision > r.Revision && r.contains(c.key) {
				revertChange(pairs, c)
			}
		}
	}
	for _, kv := range pairs {
		list = append(list, kv)
	}
	slices.SortFunc(list, func(a, b keyValue) int { return slices.Compare(a.Key, b.Key) })
	return list, true
}

// revertChange sets the key of a change back to its state before the change.
func revertChange(pairs map[string]keyValue, c change) {
	if c.before.Version == 0 {
		delete(pairs, c.key)
		return
	}
	pairs[c.key] = c.before
}

// revertChanges reverts the latest changes. The caller must start the leases of
// the restored keys again.
func (k *keyspace) revertChanges(changes int) {
	for range min(changes, len(k.history)) {
		last := k.history[len(k.history)-1]
		k.history = k.history[:len(k.history)-1]
		revertChange(k.pairs, last)
		k.revision = last.revision - 1
	}
	k.wakeWatches()
}

// eventsSince returns the events of a key, starting at a revision.
func (k *keyspace) eventsSince(key string, revision int64) []watchEvent {
	var events []watchEvent
	for _, c := range k.history {
		if c.revision < revision || c.key != key {
			continue
		}
		e := watchEvent{Pair: c.after}
		if c.deleted {
			e.Type = "DELETE"
		}
		events = append(events, e)
	}
	return events
}
