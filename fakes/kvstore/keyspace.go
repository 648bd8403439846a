package kvstore

import (
	"slices"
	"time"
)

// maxHistory bounds the changes kept for watches and for restarts with older
// data.
const maxHistory = 20_000

// change is one write with the pair before it.
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

// data is the content of the store. Its methods need the store's lock.
type data struct {
	revision int64
	pairs    map[string]keyValue
	history  []change
	leases   map[int64]*lease
	// ended keeps the time to live of ended leases for a restart with older
	// data, in which their keys exist again.
	ended map[int64]time.Duration
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newData() *data {
	return &data{
		revision: 1, pairs: map[string]keyValue{}, leases: map[int64]*lease{},
		ended: map[int64]time.Duration{}, changed: make(chan struct{}),
	}
}

func (d *data) record(c change) {
	d.history = append(d.history, c)
	if len(d.history) > maxHistory {
		d.history = slices.Delete(d.history, 0, maxHistory/2)
	}
	d.wake()
}

// wake makes all watches look again.
func (d *data) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *data) put(key string, value []byte, leaseID int64) {
	before := d.pairs[key]
	after := keyValue{
		Key: []byte(key), Value: value, ModRevision: d.revision,
		CreateRevision: before.CreateRevision, Version: before.Version + 1, Lease: leaseID,
	}
	if before.Version == 0 {
		after.CreateRevision = d.revision
	}
	d.pairs[key] = after
	d.record(change{revision: d.revision, key: key, before: before, after: after})
}

func (d *data) delete(key string) {
	before, ok := d.pairs[key]
	if !ok {
		return
	}
	delete(d.pairs, key)
	after := keyValue{Key: []byte(key), ModRevision: d.revision}
	d.record(change{revision: d.revision, key: key, before: before, after: after, deleted: true})
}

// read returns the pairs of a range at a revision, in key order, or false if
// the revision is no longer known.
func (d *data) read(r rangeRequest) (list []keyValue, ok bool) {
	pairs := map[string]keyValue{}
	for key, kv := range d.pairs {
		if r.holds(key) {
			pairs[key] = kv
		}
	}
	if r.Revision > 0 && r.Revision < d.revision {
		if len(d.history) == 0 || d.history[0].revision > r.Revision+1 {
			return nil, false
		}
		for _, c := range slices.Backward(d.history) {
			if c.revision > r.Revision && r.holds(c.key) {
				restore(pairs, c)
			}
		}
	}
	for _, kv := range pairs {
		list = append(list, kv)
	}
	slices.SortFunc(list, func(a, b keyValue) int { return slices.Compare(a.Key, b.Key) })
	return list, true
}

func restore(pairs map[string]keyValue, c change) {
	if c.before.Version == 0 {
		delete(pairs, c.key)
		return
	}
	pairs[c.key] = c.before
}

// rewind goes back by a number of changes and starts the leases of restored
// keys again.
func (d *data) rewind(changes int) {
	for range min(changes, len(d.history)) {
		last := d.history[len(d.history)-1]
		d.history = d.history[:len(d.history)-1]
		restore(d.pairs, last)
		d.revision = last.revision - 1
	}
	d.wake()
}

// eventsSince returns the events of a key from a revision on.
func (d *data) eventsSince(key string, revision int64) []watchEvent {
	var events []watchEvent
	for _, c := range d.history {
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
