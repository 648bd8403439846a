// Package relay lets entry hosts of an availability zone learn the changes of the platform's
// store from a host of the zone that watches the store, so that the number of calls to the
// store does not grow with the number of hosts.
//
// A response proves that the known configuration was the newest at a certain time. Each host
// measures only its own times, on the boot clock: the watching host says how long it held the
// question and how old its own proof was when it responded, and the asking host adds both to
// the time at which it sent the question. Delays and suspensions on either side can therefore
// only make a proof look older than it is.
package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"siskinstand.example/platform"
)

// maxLogBytes limits the keys and values in a Log. It is enough for several configurations of
// the maximum size of a value, 1 MB.
const maxLogBytes = 8 << 20

// Update is what a response of the store has shown.
type Update struct {
	// Items are the changes up to Revision, oldest first.
	Items    []platform.Item
	Revision int64
	// ProofAt is the boot clock reading at which Revision is proven to have been the newest.
	ProofAt time.Duration
}

// Log holds the latest changes that this host has learned. It is safe for concurrent use.
type Log struct {
	mu    sync.Mutex
	items []platform.Item
	bytes int
	// keys holds the revision of each key that exists.
	keys map[string]int64
	// after is the revision after which items is complete; revision is the last one known.
	after    int64
	revision int64
	proofAt  time.Duration
	// isWatching is set while this host reads the store itself.
	isWatching bool
	// failedAt is the time of the last failed call to the store, or 0.
	failedAt time.Duration
	// changed is closed at the next change of the fields above.
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{keys: map[string]int64{}, changed: make(chan struct{})} }

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset adds the result of a full read of the store, of which u.Items are all items. The log
// continues with the differences to what it already knows, so that other hosts need no full
// read after the store has compacted its history.
func (l *Log) Reset(u Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision == 0 {
		l.after = u.Revision
		for _, i := range u.Items {
			l.keys[i.Key] = i.Revision
		}
		u.Items = nil
	} else {
		u.Items = l.differences(u)
	}
	l.append(u)
}

// differences returns the changes between the known keys and those of a full read.
func (l *Log) differences(u Update) []platform.Item {
	var changes []platform.Item
	exists := make(map[string]bool, len(u.Items))
	for _, i := range u.Items {
		exists[i.Key] = true
		if i.Revision > l.keys[i.Key] {
			changes = append(changes, i)
		}
	}
	for key := range l.keys {
		if !exists[key] {
			// The revision of the deletion is unknown, but not later than the read.
			changes = append(changes, platform.Item{Key: key, Revision: u.Revision, Deleted: true})
		}
	}
	slices.SortStableFunc(changes, func(a, b platform.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes
}

// Append adds the changes after the log's revision.
func (l *Log) Append(u Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.append(u)
}

func (l *Log) append(u Update) {
	for _, i := range u.Items {
		if i.Deleted {
			delete(l.keys, i.Key)
		} else {
			l.keys[i.Key] = i.Revision
		}
		l.items = append(l.items, i)
		l.bytes += len(i.Key) + len(i.Value)
	}
	for l.bytes > maxLogBytes && len(l.items) > 0 {
		l.bytes -= len(l.items[0].Key) + len(l.items[0].Value)
		l.after = l.items[0].Revision
		l.items = l.items[1:]
	}
	l.revision, l.proofAt = max(l.revision, u.Revision), max(l.proofAt, u.ProofAt)
	l.notify()
}

// SetWatching sets whether this host reads the store itself. Otherwise the log refuses
// questions.
func (l *Log) SetWatching(isWatching bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isWatching != isWatching {
		l.isWatching = isWatching
		l.notify()
	}
}

// RecordFailure records that a call to the store has failed at the given time.
func (l *Log) RecordFailure(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt = now
	l.notify()
}

// state is a consistent copy of a log for one response.
type state struct {
	isWatching bool
	// isComplete is set if items holds all changes after the revision asked for.
	isComplete bool
	items      []platform.Item
	revision   int64
	proofAt    time.Duration
	failedAt   time.Duration
	changed    <-chan struct{}
}

// read returns the state and the changes after the given revision.
func (l *Log) read(after int64) state {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := state{isWatching: l.isWatching, isComplete: after >= l.after, revision: l.revision, proofAt: l.proofAt, failedAt: l.failedAt, changed: l.changed}
	first := len(l.items)
	for first > 0 && l.items[first-1].Revision > after {
		first--
	}
	s.items = l.items[first:len(l.items):len(l.items)]
	return s
}
