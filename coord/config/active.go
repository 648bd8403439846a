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

// Active holds the configuration that a process uses, which logs and metrics call
// the configuration in force. Its revision only increases. It is safe for
// concurrent use.
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
	a := &Active{invariants: invariants, changed: make(chan struct{})}
	a.current.Store(EmptyDocument())
	return a
}

// Current returns the tables in force with their revision.
func (a *Active) Current() Snapshot { return a.current.Load().Snapshot() }

// Document returns the document in force.
func (a *Active) Document() *Document { return a.current.Load() }

// Changed returns a channel that is closed when the configuration next changes.
func (a *Active) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// ActivateIfNewer puts a document in force if its revision is higher than the current
// one, and reports whether it did.
func (a *Active) ActivateIfNewer(next *Document) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.current.Load()
	if next.revision <= current.revision {
		return false
	}
	if !a.publish(next) {
		return false
	}
	// The first document is not recorded as a change: a peer at revision 0 fetches
	// a snapshot, which is sent in chunks.
	if current.revision > 0 {
		a.recordChange(Change{Revision: next.revision, Base: current.revision, Rows: next.editsFrom(current)})
	}
	return true
}

// Apply puts the changes in force that were received from a peer and are newer than
// the current revision, and reports whether the configuration changed.
func (a *Active) Apply(changes []Change) (bool, error) {
	a.mu.Lock()
	current := a.current.Load()
	a.mu.Unlock()
	next, err := current.Apply(changes...)
	if err != nil {
		return false, err
	}
	return a.ActivateIfNewer(next), nil
}

// publish replaces the document in force. All replacements go through it, so that
// the invariant is checked for each.
func (a *Active) publish(next *Document) bool {
	current := a.current.Load().revision
	if !a.invariants.Check(next.revision > current, invariant.ConfigMonotonic,
		"revision %d would replace revision %d", next.revision, current) {
		return false
	}
	a.current.Store(next)
	close(a.changed)
	a.changed = make(chan struct{})
	return true
}

// recordChange appends a change to the history and drops the oldest ones beyond
// the limits.
func (a *Active) recordChange(c Change) {
	a.history = append(a.history, c)
	a.historyRows += len(c.Rows)
	for len(a.history) > 0 && (len(a.history) > maxHistoryChanges || a.historyRows > maxHistoryRows) {
		a.historyRows -= len(a.history[0].Rows)
		a.history = a.history[1:]
	}
}

// ChangesSince returns the changes from the given revision to the one in force.
// It returns false if the history has no change that starts at that revision.
func (a *Active) ChangesSince(revision uint64) ([]Change, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision >= a.current.Load().revision {
		return nil, true
	}
	for i, c := range a.history {
		if c.Revision <= revision {
			continue
		}
		if c.Base != revision {
			return nil, false
		}
		return append([]Change(nil), a.history[i:]...), true
	}
	return nil, false
}
