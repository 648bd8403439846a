package config

import (
	"sync"
	"sync/atomic"

	"siskinstand.example/coord/invariant"
)

// Limits of the change history that a process keeps for peers with an older
// revision.
const (
	maxHistoryChanges = 256
	maxHistoryRows    = 8192
)

// Active holds the configuration that a process uses. Its revision only
// increases. It is safe for concurrent use.
type Active struct {
	invariants  *invariant.Registry
	current     atomic.Pointer[Document]
	mu          sync.Mutex
	history     []Change
	historyRows int
	changed     chan struct{}
}

// NewActive returns an Active with an empty configuration at revision 0.
func NewActive(invariants *invariant.Registry) *Active {
	f := &Active{invariants: invariants, changed: make(chan struct{})}
	f.current.Store(EmptyDocument())
	return f
}

// Current returns the active tables with their revision.
func (f *Active) Current() Snapshot { return f.current.Load().Snapshot() }

// Document returns the active document.
func (f *Active) Document() *Document { return f.current.Load() }

// Changed returns a channel that is closed when the configuration next changes.
func (f *Active) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Advance activates a document if its revision is higher than the current one
// and reports whether it did.
func (f *Active) Advance(next *Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if next.revision <= current.revision {
		return false
	}
	if !f.publish(next) {
		return false
	}
	// The first document is not recorded as a change: a peer at revision 0 fetches
	// a snapshot, which is sent in chunks.
	if current.revision > 0 {
		f.recordChange(Change{Revision: next.revision, Base: current.revision, Rows: next.editsFrom(current)})
	}
	return true
}

// Apply activates the changes received from a peer that are newer than the
// current revision, and reports whether the configuration changed.
func (f *Active) Apply(changes []Change) (bool, error) {
	f.mu.Lock()
	current := f.current.Load()
	f.mu.Unlock()
	next, err := current.Apply(changes...)
	if err != nil {
		return false, err
	}
	return f.Advance(next), nil
}

// publish replaces the active document. All replacements go through it, so that
// the invariant is checked for each.
func (f *Active) publish(next *Document) bool {
	current := f.current.Load().revision
	if !f.invariants.Check(next.revision > current, invariant.ConfigMonotonic,
		"revision %d would replace revision %d", next.revision, current) {
		return false
	}
	f.current.Store(next)
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// recordChange appends a change to the history and drops the oldest ones beyond
// the limits.
func (f *Active) recordChange(c Change) {
	f.history = append(f.history, c)
	f.historyRows += len(c.Rows)
	for len(f.history) > 0 && (len(f.history) > maxHistoryChanges || f.historyRows > maxHistoryRows) {
		f.historyRows -= len(f.history[0].Rows)
		f.history = f.history[1:]
	}
}

// ChangesSince returns the changes from the given revision to the active one. It
// returns false if the history does not reach back to that revision.
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
