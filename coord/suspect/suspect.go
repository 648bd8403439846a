// Package suspect tracks requests that were running when an engine died. A
// suspect with one strike runs only alone; one with two strikes is refused
// until it expires. Sidecars and gateways use the same book and merge each
// other's reports.
package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Fingerprint is the hash of account, model and body of a request.
type Fingerprint uint64

// CrashID identifies one death of an engine. A process that hears of the same
// death twice counts one strike.
type CrashID uint64

// Status says how to treat a request.
type Status string

// The ways to treat a request.
const (
	StatusClear   Status = "clear"
	StatusIsolate Status = "isolate"
	StatusRefuse  Status = "refuse"
)

// RefuseStrikes is the number of strikes from which a request is refused. The
// first death can be a coincidence; the second, with the request running
// alone, cannot.
const RefuseStrikes = 2

// Report is one suspect as processes exchange it. Cleared says that the
// request has finished since; Age is the time since its last change.
type Report struct {
	Fingerprint Fingerprint
	Crashes     []CrashID
	Strikes     uint32
	Age         time.Duration
	Cleared     bool
}

// Config bounds a Book.
type Config struct {
	// Expiry is the time after the last change at which a suspect is
	// forgotten, and with it a refusal.
	Expiry time.Duration
	// MaxEntries bounds the book; the oldest entry makes room.
	MaxEntries int
}

// DefaultConfig returns the bounds used in production.
func DefaultConfig() Config { return Config{Expiry: time.Hour, MaxEntries: 4_096} }

// Tracker holds the suspects that one process knows.
type Tracker struct {
	config  Config
	entries map[Fingerprint]*entry
}

type entry struct {
	// events is a set in ascending order with at most RefuseStrikes members.
	events  []CrashID
	strikes uint32
	changed time.Time
	cleared bool
}

// New returns an empty book.
func New(c Config) *Tracker { return &Tracker{config: c, entries: map[Fingerprint]*entry{}} }

// AddStrike adds a strike for one death and returns the resulting status. A mark
// after a clearance starts afresh.
func (b *Tracker) AddStrike(now time.Time, f Fingerprint, event CrashID) Status {
	b.expire(now)
	e := b.entries[f]
	if e == nil || e.cleared {
		e = &entry{}
		b.insert(f, e)
	}
	e.add(event)
	e.strikes = max(e.strikes, uint32(len(e.events)))
	e.changed = now
	return e.status()
}

// AddIsolatedStrike adds a strike for a request that ran alone because another process
// knew of an earlier strike, which this book may have missed.
func (b *Tracker) AddIsolatedStrike(now time.Time, f Fingerprint, event CrashID) Status {
	b.AddStrike(now, f, event)
	e := b.entries[f]
	e.strikes = max(e.strikes, RefuseStrikes)
	return e.status()
}

// Clear records that the request has finished. It keeps the entry until it
// expires, so that the clearance spreads as the strike did. Two strikes stay.
func (b *Tracker) Clear(now time.Time, f Fingerprint) {
	e := b.entries[f]
	if e == nil || e.cleared || e.status() == StatusRefuse {
		return
	}
	e.cleared = true
	e.changed = now
}

// Status returns how to treat a request.
func (b *Tracker) Status(now time.Time, f Fingerprint) Status {
	e := b.entries[f]
	if e == nil || b.expired(now, e) {
		return StatusClear
	}
	return e.status()
}

// HasCrash reports whether one death is among the strikes of a request.
func (b *Tracker) HasCrash(now time.Time, f Fingerprint, event func(CrashID) bool) bool {
	e := b.entries[f]
	return e != nil && !e.cleared && !b.expired(now, e) && slices.ContainsFunc(e.events, event)
}

// TimeUntilExpiry returns the time until a suspect expires.
func (b *Tracker) TimeUntilExpiry(now time.Time, f Fingerprint) time.Duration {
	if e := b.entries[f]; e != nil {
		return max(b.config.Expiry-now.Sub(e.changed), 0)
	}
	return 0
}

// Merge takes over reports and returns the number of entries that changed.
// The result does not depend on the order or the repetition of reports.
func (b *Tracker) Merge(now time.Time, reports []Report) int {
	b.expire(now)
	changed := 0
	for _, r := range reports {
		if r.Age < 0 || r.Age >= b.config.Expiry || (r.Strikes == 0 && len(r.Crashes) == 0) {
			continue
		}
		if b.merge(now, r) {
			changed++
		}
	}
	return changed
}

func (b *Tracker) merge(now time.Time, r Report) bool {
	at := now.Add(-r.Age)
	e := b.entries[r.Fingerprint]
	if e == nil {
		e = &entry{changed: at, cleared: r.Cleared}
		if !b.insert(r.Fingerprint, e) {
			return false
		}
		for _, event := range r.Crashes {
			e.add(event)
		}
		e.strikes = max(min(r.Strikes, RefuseStrikes), uint32(len(e.events)))
		return true
	}
	if r.Cleared != e.cleared {
		return e.replace(r, at)
	}
	before, strikes := len(e.events), e.strikes
	for _, event := range r.Crashes {
		e.add(event)
	}
	e.strikes = max(e.strikes, min(r.Strikes, RefuseStrikes), uint32(len(e.events)))
	if len(e.events) == before && e.strikes == strikes {
		return false
	}
	if at.After(e.changed) {
		e.changed = at
	}
	return true
}

// replace resolves a clearance against a strike: a refusal wins, otherwise the
// newer one does.
func (e *entry) replace(r Report, at time.Time) bool {
	refused := max(r.Strikes, uint32(len(r.Crashes))) >= RefuseStrikes && !r.Cleared
	if e.status() == StatusRefuse || (!refused && !at.After(e.changed)) {
		return false
	}
	e.cleared = r.Cleared
	e.changed = at
	if !r.Cleared {
		e.events = nil
		e.strikes = 0
	}
	for _, event := range r.Crashes {
		e.add(event)
	}
	e.strikes = max(e.strikes, min(r.Strikes, RefuseStrikes), uint32(len(e.events)))
	return true
}

func (e *entry) add(event CrashID) {
	at, found := slices.BinarySearch(e.events, event)
	if found || len(e.events) >= RefuseStrikes {
		return
	}
	e.events = slices.Insert(e.events, at, event)
}

func (e *entry) status() Status {
	switch {
	case e.cleared:
		return StatusClear
	case e.strikes >= RefuseStrikes:
		return StatusRefuse
	default:
		return StatusIsolate
	}
}

// Reports returns up to limit entries, the latest change first.
func (b *Tracker) Reports(now time.Time, limit int) []Report {
	b.expire(now)
	out := make([]Report, 0, len(b.entries))
	for f, e := range b.entries {
		out = append(out, Report{Fingerprint: f, Crashes: slices.Clone(e.events), Strikes: e.strikes, Age: now.Sub(e.changed), Cleared: e.cleared})
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(limit, len(out))]
}

// Len returns the number of entries.
func (b *Tracker) Len() int { return len(b.entries) }

func (b *Tracker) expired(now time.Time, e *entry) bool { return now.Sub(e.changed) >= b.config.Expiry }

func (b *Tracker) expire(now time.Time) {
	for f, e := range b.entries {
		if b.expired(now, e) {
			delete(b.entries, f)
		}
	}
}

// insert makes room by dropping the entry that changed first. An entry older
// than all others in a full book is not added.
func (b *Tracker) insert(f Fingerprint, e *entry) bool {
	if _, known := b.entries[f]; !known && len(b.entries) >= b.config.MaxEntries {
		oldest, at := Fingerprint(0), time.Time{}
		for g, o := range b.entries {
			if at.IsZero() || o.changed.Before(at) || (o.changed.Equal(at) && g < oldest) {
				oldest, at = g, o.changed
			}
		}
		if !e.changed.IsZero() && e.changed.Before(at) {
			return false
		}
		delete(b.entries, oldest)
	}
	b.entries[f] = e
	return true
}
