// Package memory tracks the owner and the expiry of every allocation of engine
// memory and reconciles them with the engine's reports.
package memory

import (
	"slices"
	"strings"
	"time"
)

// Kind is the use of an allocation.
type Kind string

// Kinds of allocations.
const (
	KindRunning Kind = "running"
	KindPrefix  Kind = "prefix"
	KindExport  Kind = "export"
	KindImport  Kind = "import"
	KindHold    Kind = "hold"
)

// Allocation is a block of engine memory as the engine reports it.
type Allocation struct {
	ID     string
	Kind   Kind
	Owner  string
	Tokens int64
}

// Entry records the owner and the expiry of an allocation.
type Entry struct {
	ID      string
	Kind    Kind
	Owner   string
	Tokens  int64
	Expires time.Time
	added   time.Time
}

// ActionKind is the way to reclaim an allocation.
type ActionKind string

// Actions of Reconcile. ActionCancel stops the run that uses the allocation.
const (
	ActionFree   ActionKind = "free"
	ActionCancel ActionKind = "cancel"
)

// Action reclaims one allocation.
type Action struct {
	Kind       ActionKind
	Allocation Allocation
}

// OwnerCache is the owner of prefixes that the engine caches on its own.
const OwnerCache = "cache"

// Config bounds a Ledger.
type Config struct {
	// Grace is how long an allocation may lack an owner, or an entry its
	// allocation, because the engine's report and the ledger are not taken at
	// the same time.
	Grace time.Duration
	// PrefixExpiry bounds the lifetime of a cached prefix.
	PrefixExpiry time.Duration
	// MaxEntries bounds the ledger. Prefixes beyond it are freed.
	MaxEntries int
}

// DefaultConfig returns the production settings. Grace is two reconcile
// intervals.
func DefaultConfig() Config {
	return Config{Grace: 10 * time.Second, PrefixExpiry: 10 * time.Minute, MaxEntries: 65_536}
}

// Ledger records the owners of one engine's memory.
type Ledger struct {
	config  Config
	entries map[string]Entry
	// unownedSince holds the time at which an allocation was first seen without
	// an owner, or Grace before that if its entry had expired.
	unownedSince map[string]time.Time
	// unaccountedTokens is the sum of the tokens at the last reconcile that no
	// entry accounts for.
	unaccountedTokens int64
	leakedTokens      int64
}

// New returns an empty ledger.
func New(c Config) *Ledger {
	return &Ledger{config: c, entries: map[string]Entry{}, unownedSince: map[string]time.Time{}}
}

// Put adds or replaces an entry. It returns false if the ledger is full.
func (l *Ledger) Put(now time.Time, e Entry) bool {
	if _, known := l.entries[e.ID]; !known && len(l.entries) >= l.config.MaxEntries {
		return false
	}
	e.added = now
	l.entries[e.ID] = e
	delete(l.unownedSince, e.ID)
	return true
}

// Renew changes the expiry of an entry and reports whether the entry exists.
func (l *Ledger) Renew(id string, expires time.Time) bool {
	e, ok := l.entries[id]
	if !ok {
		return false
	}
	e.Expires = expires
	l.entries[id] = e
	return true
}

// Release removes an entry. If the engine still reports the allocation, a later
// Reconcile reclaims it.
func (l *Ledger) Release(id string) { delete(l.entries, id) }

// Clear removes all entries after the engine has lost its memory.
func (l *Ledger) Clear() {
	clear(l.entries)
	clear(l.unownedSince)
	l.unaccountedTokens, l.leakedTokens = 0, 0
}

// Tokens returns the total of the entries of one kind.
func (l *Ledger) Tokens(kind Kind) int64 {
	var sum int64
	for _, e := range l.entries {
		if e.Kind == kind {
			sum += e.Tokens
		}
	}
	return sum
}

// UnaccountedTokens returns the tokens that the engine held without a valid entry at
// the last reconcile, including those of exports and imports that have no entry of
// their own. They are not available to admission until they are freed.
func (l *Ledger) UnaccountedTokens() int64 { return l.unaccountedTokens }

// LeakedTokens returns the tokens that have had no owner for more than twice
// Grace, or for more than Grace after their entry was found expired.
func (l *Ledger) LeakedTokens() int64 { return l.leakedTokens }

// Reconcile compares the ledger with the engine's report, which was requested
// at the given time, and returns the allocations to reclaim. Each call returns
// them again until they are gone.
func (l *Ledger) Reconcile(now, requested time.Time, report []Allocation) []Action {
	seen := map[string]bool{}
	var actions []Action
	l.unaccountedTokens, l.leakedTokens = 0, 0
	for _, a := range report {
		id := l.entryID(a)
		seen[id] = true
		if l.ownerIsLive(now, a) {
			// No entry accounts for these tokens; admission must not use them.
			l.unaccountedTokens += a.Tokens
			delete(l.unownedSince, id)
			continue
		}
		if l.ensureOwned(now, id, a) {
			delete(l.unownedSince, id)
			continue
		}
		if reclaim := l.recordUnowned(now, id, a); reclaim {
			actions = append(actions, reclaimAction(a))
		}
	}
	l.removeUnreported(requested, seen)
	slices.SortFunc(actions, func(a, b Action) int { return strings.Compare(a.Allocation.ID, b.Allocation.ID) })
	return actions
}

// entryID returns the key of the entry that accounts for an allocation: its own ID,
// or its owner if only the owner has an entry and that is of the same kind. Engines
// may give a running allocation another ID than the attempt that owns it.
func (l *Ledger) entryID(a Allocation) string {
	if _, ok := l.entries[a.ID]; ok || a.Owner == "" {
		return a.ID
	}
	if e, ok := l.entries[a.Owner]; ok && e.Kind == a.Kind {
		return a.Owner
	}
	return a.ID
}

// ownerIsLive reports whether an export or import without an entry of its own
// belongs to a run or hold that has not expired. Such an allocation expires
// together with its owner.
func (l *Ledger) ownerIsLive(now time.Time, a Allocation) bool {
	if a.Kind != KindExport && a.Kind != KindImport {
		return false
	}
	if _, hasEntry := l.entries[a.ID]; hasEntry {
		return false
	}
	owner, ok := l.entries[a.Owner]
	return ok && now.Before(owner.Expires)
}

// ensureOwned reports whether an allocation has a valid entry. If the ledger has room,
// it adds one for a prefix that is reported for the first time.
func (l *Ledger) ensureOwned(now time.Time, id string, a Allocation) bool {
	e, ok := l.entries[id]
	if ok && now.Before(e.Expires) {
		return true
	}
	if ok || a.Kind != KindPrefix {
		return false
	}
	if _, unowned := l.unownedSince[id]; unowned {
		return false
	}
	return l.Put(now, Entry{ID: id, Kind: KindPrefix, Owner: OwnerCache, Tokens: a.Tokens, Expires: now.Add(l.config.PrefixExpiry)})
}

// recordUnowned records an allocation without a valid owner, removes its expired
// entry and reports whether it must be reclaimed now. Prefixes and allocations whose
// entry has expired get no grace.
func (l *Ledger) recordUnowned(now time.Time, id string, a Allocation) bool {
	l.unaccountedTokens += a.Tokens
	first, known := l.unownedSince[id]
	if !known {
		first = now
		l.unownedSince[id] = now
	}
	_, expired := l.entries[id]
	delete(l.entries, id)
	if expired {
		l.unownedSince[id] = now.Add(-l.config.Grace)
		return true
	}
	age := now.Sub(first)
	if age > 2*l.config.Grace {
		l.leakedTokens += a.Tokens
	}
	return age >= l.config.Grace || a.Kind == KindPrefix
}

// removeUnreported removes the state of allocations that the engine no longer
// reports. The entry of a run is kept until it expires, any other entry until it
// expires or Grace has passed since it was added.
func (l *Ledger) removeUnreported(requested time.Time, seen map[string]bool) {
	for id := range l.unownedSince {
		if !seen[id] {
			delete(l.unownedSince, id)
		}
	}
	for id, e := range l.entries {
		missing := !seen[id] && e.added.Before(requested.Add(-l.config.Grace))
		if missing && e.Kind != KindRunning || !e.Expires.After(requested) && !seen[id] {
			delete(l.entries, id)
		}
	}
}

func reclaimAction(a Allocation) Action {
	if a.Kind == KindRunning {
		return Action{Kind: ActionCancel, Allocation: a}
	}
	return Action{Kind: ActionFree, Allocation: a}
}
