// Package memory keeps an owner and an expiry for every piece of engine memory
// and reconciles them with what the engine reports.
package memory

import (
	"slices"
	"strings"
	"time"
)

// Kind is the use of a piece.
type Kind string

// The kinds of pieces.
const (
	KindRunning Kind = "running"
	KindPrefix  Kind = "prefix"
	KindExport  Kind = "export"
	KindImport  Kind = "import"
	KindHold    Kind = "hold"
)

// Allocation is one piece of memory as the engine reports it.
type Allocation struct {
	ID     string
	Kind   Kind
	Owner  string
	Tokens int64
}

// Entry is a piece with its owner.
type Entry struct {
	ID      string
	Kind    Kind
	Owner   string
	Tokens  int64
	Expires time.Time
	added   time.Time
}

// ActionKind says how to give memory back.
type ActionKind string

// The actions of a sweep. Cancel stops the run that uses the piece.
const (
	ActionFree   ActionKind = "free"
	ActionCancel ActionKind = "cancel"
)

// Action gives one piece back.
type Action struct {
	Kind       ActionKind
	Allocation Allocation
}

// OwnerCache owns the prefixes that the engine keeps by itself.
const OwnerCache = "cache"

// Config bounds a Ledger.
type Config struct {
	// Grace is the time for which a piece may lack an owner, or an entry its
	// piece, because the engine's report and the ledger are not taken at the
	// same moment.
	Grace time.Duration
	// PrefixExpiry bounds the life of a cached prefix.
	PrefixExpiry time.Duration
	// MaxEntries bounds the ledger. Prefixes beyond it are freed.
	MaxEntries int
}

// DefaultConfig returns the bounds used in production. The grace is two sweep
// intervals.
func DefaultConfig() Config {
	return Config{Grace: 10 * time.Second, PrefixExpiry: 10 * time.Minute, MaxEntries: 65_536}
}

// Ledger holds the owners of one engine's memory.
type Ledger struct {
	config  Config
	entries map[string]Entry
	// unowned holds the time at which a piece was first seen without owner.
	unowned map[string]time.Time
	// foreign are the tokens of the last sweep that no entry accounts for.
	foreign int64
	leaked  int64
}

// New returns an empty ledger.
func New(c Config) *Ledger {
	return &Ledger{config: c, entries: map[string]Entry{}, unowned: map[string]time.Time{}}
}

// Put adds or replaces an entry. It reports false when the ledger is full.
func (l *Ledger) Put(now time.Time, e Entry) bool {
	if _, known := l.entries[e.ID]; !known && len(l.entries) >= l.config.MaxEntries {
		return false
	}
	e.added = now
	l.entries[e.ID] = e
	delete(l.unowned, e.ID)
	return true
}

// Renew moves the expiry of an entry.
func (l *Ledger) Renew(id string, expires time.Time) bool {
	e, ok := l.entries[id]
	if !ok {
		return false
	}
	e.Expires = expires
	l.entries[id] = e
	return true
}

// Release drops an entry. A piece that the engine still reports is then freed
// by a later sweep.
func (l *Ledger) Release(id string) { delete(l.entries, id) }

// Clear drops all entries, after the engine has lost its memory.
func (l *Ledger) Clear() {
	clear(l.entries)
	clear(l.unowned)
	l.foreign, l.leaked = 0, 0
}

// Tokens returns the sum of the entries of one kind.
func (l *Ledger) Tokens(kind Kind) int64 {
	var sum int64
	for _, e := range l.entries {
		if e.Kind == kind {
			sum += e.Tokens
		}
	}
	return sum
}

// UnaccountedTokens returns the tokens that the engine held at the last sweep without an
// entry, those of exports and imports among them. They are not available to admission until they are freed.
func (l *Ledger) UnaccountedTokens() int64 { return l.foreign }

// LeakedTokens returns the tokens that had no owner for more than twice the grace.
func (l *Ledger) LeakedTokens() int64 { return l.leaked }

// Reconcile compares the ledger with the engine's report, which was requested at
// the given time, and returns what has to be given back. Pieces without owner
// are reported again in each sweep until they are gone.
func (l *Ledger) Reconcile(now, requested time.Time, pieces []Allocation) []Action {
	seen := map[string]bool{}
	var actions []Action
	l.foreign, l.leaked = 0, 0
	for _, p := range pieces {
		id := l.match(p)
		seen[id] = true
		if l.ownerLives(now, p) {
			// Admission must not use the tokens, which no entry accounts for.
			l.foreign += p.Tokens
			delete(l.unowned, id)
			continue
		}
		if l.owned(now, id, p) {
			delete(l.unowned, id)
			continue
		}
		if due := l.orphan(now, id, p); due {
			actions = append(actions, action(p))
		}
	}
	l.forget(requested, seen)
	slices.SortFunc(actions, func(a, b Action) int { return strings.Compare(a.Allocation.ID, b.Allocation.ID) })
	return actions
}

// match returns the key of the entry that accounts for a piece. Engines name a
// running piece by itself or by the attempt that owns it.
func (l *Ledger) match(p Allocation) string {
	if _, ok := l.entries[p.ID]; ok || p.Owner == "" {
		return p.ID
	}
	if e, ok := l.entries[p.Owner]; ok && e.Kind == p.Kind {
		return p.Owner
	}
	return p.ID
}

// ownerLives reports whether an export or import without an entry of its own
// belongs to a run or hold that has not expired. Its life ends with that one's.
func (l *Ledger) ownerLives(now time.Time, p Allocation) bool {
	if p.Kind != KindExport && p.Kind != KindImport {
		return false
	}
	if _, own := l.entries[p.ID]; own {
		return false
	}
	owner, ok := l.entries[p.Owner]
	return ok && now.Before(owner.Expires)
}

func (l *Ledger) owned(now time.Time, id string, p Allocation) bool {
	e, ok := l.entries[id]
	if ok && now.Before(e.Expires) {
		return true
	}
	if ok || p.Kind != KindPrefix {
		return false
	}
	if _, freed := l.unowned[id]; freed {
		return false
	}
	return l.Put(now, Entry{ID: id, Kind: KindPrefix, Owner: OwnerCache, Tokens: p.Tokens, Expires: now.Add(l.config.PrefixExpiry)})
}

// orphan records a piece without a valid owner and reports whether it must be
// given back now. An expired entry needs no grace.
func (l *Ledger) orphan(now time.Time, id string, p Allocation) bool {
	l.foreign += p.Tokens
	first, known := l.unowned[id]
	if !known {
		first = now
		l.unowned[id] = now
	}
	_, expired := l.entries[id]
	delete(l.entries, id)
	if expired {
		l.unowned[id] = now.Add(-l.config.Grace)
		return true
	}
	waited := now.Sub(first)
	if waited > 2*l.config.Grace {
		l.leaked += p.Tokens
	}
	return waited >= l.config.Grace || p.Kind == KindPrefix
}

// forget drops what the engine no longer reports.
func (l *Ledger) forget(requested time.Time, seen map[string]bool) {
	for id := range l.unowned {
		if !seen[id] {
			delete(l.unowned, id)
		}
	}
	for id, e := range l.entries {
		missing := !seen[id] && e.added.Before(requested.Add(-l.config.Grace))
		if missing && e.Kind != KindRunning || !e.Expires.After(requested) && !seen[id] {
			delete(l.entries, id)
		}
	}
}

func action(p Allocation) Action {
	if p.Kind == KindRunning {
		return Action{Kind: ActionCancel, Allocation: p}
	}
	return Action{Kind: ActionFree, Allocation: p}
}
