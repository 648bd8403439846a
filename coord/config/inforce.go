package config

import (
	"sync"
	"sync/atomic"

	"siskinstand.example/coord/invariant"
)

// Bounds of the history that a process keeps for peers that are behind.
const (
	maxHistoryChanges = 256
	maxHistoryRows    = 8192
)

// Active is the configuration that a process acts on. It only moves to a
// higher revision. It is safe for concurrent use.
type Active struct {
	invariants *invariant.Registry
	current    atomic.Pointer[Document]
	mu         sync.Mutex
	history    []Change
	rows       int
	changed    chan struct{}
}

// NewActive starts without a configuration, at revision 0.
func NewActive(invariants *invariant.Registry) *Active {
	f := &Active{invariants: invariants, changed: make(chan struct{})}
	f.current.Store(EmptyDocument())
	return f
}

// Current returns the tables in force.
func (f *Active) Current() Snapshot { return f.current.Load().Snapshot() }

// Document returns the document in force.
func (f *Active) Document() *Document { return f.current.Load() }

// Changed returns a channel that is closed at the next move.
func (f *Active) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Advance puts a document in force if its revision is higher and reports
// whether it did.
func (f *Active) Advance(next *Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.current.Load()
	if next.revision <= now.revision {
		return false
	}
	if !f.publish(next) {
		return false
	}
	// A peer at revision 0 fetches a snapshot, which is sent in pieces.
	if now.revision > 0 {
		f.remember(Change{Revision: next.revision, Base: now.revision, Rows: next.editsFrom(now)})
	}
	return true
}

// Apply puts the changes of a peer in force as far as they lie ahead.
func (f *Active) Apply(changes []Change) (bool, error) {
	f.mu.Lock()
	now := f.current.Load()
	f.mu.Unlock()
	next, err := now.Apply(changes...)
	if err != nil {
		return false, err
	}
	return f.Advance(next), nil
}

// publish is the only place that replaces the document in force.
func (f *Active) publish(next *Document) bool {
	now := f.current.Load().revision
	if !f.invariants.Check(next.revision > now, invariant.ConfigMonotonic,
		"revision %d would replace revision %d", next.revision, now) {
		return false
	}
	f.current.Store(next)
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// remember keeps a change for Since.
func (f *Active) remember(c Change) {
	f.history = append(f.history, c)
	f.rows += len(c.Rows)
	for len(f.history) > 0 && (len(f.history) > maxHistoryChanges || f.rows > maxHistoryRows) {
		f.rows -= len(f.history[0].Rows)
		f.history = f.history[1:]
	}
}

// ChangesSince returns the changes that lead from a revision to the one in force. It
// returns false if the history does not reach back far enough.
func (f *Active) ChangesSince(revision uint64) ([]Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision >= f.current.Load().revision {
		return nil, true
	}
	for i, c := range f.history {
		if c.Revision <= revision {
			continue
		}
		if c.Base > revision {
			return nil, false
		}
		return append([]Change(nil), f.history[i:]...), true
	}
	return nil, false
}
