// Package suspect tracks requests that were running when an engine crashed.
// Behind a sidecar, a suspect with one strike runs only in isolation; one with two
// strikes is refused until it expires. Sidecars and gateways each keep a Tracker
// and merge each other's reports. Entry hosts do the same among themselves, but do
// not isolate requests.
package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Fingerprint is the hash of account, model and body of a request.
type Fingerprint uint64

// CrashID identifies one crash of an engine. A process that learns of the same
// crash twice counts one strike.
type CrashID uint64

// Status is the way to treat a request.
type Status string

// Request statuses.
const (
	StatusClear   Status = "clear"
	StatusIsolate Status = "isolate"
	StatusRefuse  Status = "refuse"
)

// RefuseStrikes is the number of strikes at which a request is refused. The
// first crash can be a coincidence; a second one, with the request running in
// isolation, cannot.
const RefuseStrikes = 2

// Report is one suspect as exchanged between processes. Cleared is set if the
// request has finished since the crash; Age is the time since the last change.
type Report struct {
	Fingerprint Fingerprint
	Crashes     []CrashID
	Strikes     uint32
	Age         time.Duration
	Cleared     bool
}

// Config bounds a Tracker.
type Config struct {
	// Expiry is the time after its last change at which a suspect, and with it
	// a refusal, is removed.
	Expiry time.Duration
	// MaxEntries bounds the tracker; a new entry replaces the least recently
	// changed one.
	MaxEntries int
}

// DefaultConfig returns the production settings.
func DefaultConfig() Config { return Config{Expiry: time.Hour, MaxEntries: 4_096} }

// Tracker holds the suspects known to one process.
type Tracker struct {
	config  Config
	entries map[Fingerprint]*entry
}

type entry struct {
	// crashes is sorted and has at most RefuseStrikes distinct members.
	crashes   []CrashID
	strikes   uint32
	changedAt time.Time
	cleared   bool
}

// New returns an empty tracker.
func New(c Config) *Tracker { return &Tracker{config: c, entries: map[Fingerprint]*entry{}} }

// AddStrike adds a strike for a crash, unless it has already been counted, and
// returns the resulting status. A strike after a clearance starts a new count.
func (t *Tracker) AddStrike(now time.Time, f Fingerprint, crash CrashID) Status {
	t.expire(now)
	e := t.entries[f]
	if e == nil || e.cleared {
		e = &entry{}
		t.insert(f, e)
	}
	e.addCrash(crash)
	e.strikes = max(e.strikes, uint32(len(e.crashes)))
	e.changedAt = now
	return e.status()
}

// AddIsolatedStrike adds a strike for a request that ran in isolation because
// another process knew of an earlier strike, which this tracker may have
// missed.
func (t *Tracker) AddIsolatedStrike(now time.Time, f Fingerprint, crash CrashID) Status {
	t.AddStrike(now, f, crash)
	e := t.entries[f]
	e.strikes = max(e.strikes, RefuseStrikes)
	return e.status()
}

// Clear records that the request has finished. The entry stays until it
// expires, so that the clearance spreads like the strike did. A request with
// two strikes is not cleared.
func (t *Tracker) Clear(now time.Time, f Fingerprint) {
	e := t.entries[f]
	if e == nil || e.cleared || e.status() == StatusRefuse {
		return
	}
	e.cleared = true
	e.changedAt = now
}

// Status returns how to treat a request.
func (t *Tracker) Status(now time.Time, f Fingerprint) Status {
	e := t.entries[f]
	if e == nil || t.expired(now, e) {
		return StatusClear
	}
	return e.status()
}

// HasCrash reports whether any crash among a request's strikes matches.
func (t *Tracker) HasCrash(now time.Time, f Fingerprint, matches func(CrashID) bool) bool {
	e := t.entries[f]
	return e != nil && !e.cleared && !t.expired(now, e) && slices.ContainsFunc(e.crashes, matches)
}

// TimeUntilExpiry returns the time until a suspect expires.
func (t *Tracker) TimeUntilExpiry(now time.Time, f Fingerprint) time.Duration {
	if e := t.entries[f]; e != nil {
		return max(t.config.Expiry-now.Sub(e.changedAt), 0)
	}
	return 0
}

// Merge applies reports and returns the number of entries that changed. Without
// clearances, the resulting statuses do not depend on the order or repetition of
// reports. With them, a report from before a clearance still counts if it arrives
// after a newer strike.
func (t *Tracker) Merge(now time.Time, reports []Report) int {
	t.expire(now)
	changed := 0
	for _, r := range reports {
		if r.Age < 0 || r.Age >= t.config.Expiry || (r.Strikes == 0 && len(r.Crashes) == 0) {
			continue
		}
		if t.merge(now, r) {
			changed++
		}
	}
	return changed
}

func (t *Tracker) merge(now time.Time, r Report) bool {
	at := now.Add(-r.Age)
	e := t.entries[r.Fingerprint]
	if e == nil {
		e = &entry{changedAt: at, cleared: r.Cleared}
		if !t.insert(r.Fingerprint, e) {
			return false
		}
		for _, crash := range r.Crashes {
			e.addCrash(crash)
		}
		e.strikes = max(min(r.Strikes, RefuseStrikes), uint32(len(e.crashes)))
		return true
	}
	if r.Cleared != e.cleared {
		return e.resolveConflict(r, at)
	}
	before, strikes := len(e.crashes), e.strikes
	for _, crash := range r.Crashes {
		e.addCrash(crash)
	}
	e.strikes = max(e.strikes, min(r.Strikes, RefuseStrikes), uint32(len(e.crashes)))
	if len(e.crashes) == before && e.strikes == strikes {
		return false
	}
	if at.After(e.changedAt) {
		e.changedAt = at
	}
	return true
}

// resolveConflict decides between a clearance and a strike: a refusal wins,
// otherwise the newer one does.
func (e *entry) resolveConflict(r Report, at time.Time) bool {
	refused := max(r.Strikes, uint32(len(r.Crashes))) >= RefuseStrikes && !r.Cleared
	if e.status() == StatusRefuse || (!refused && !at.After(e.changedAt)) {
		return false
	}
	e.cleared = r.Cleared
	e.changedAt = at
	if !r.Cleared {
		e.crashes = nil
		e.strikes = 0
	}
	for _, crash := range r.Crashes {
		e.addCrash(crash)
	}
	e.strikes = max(e.strikes, min(r.Strikes, RefuseStrikes), uint32(len(e.crashes)))
	return true
}

func (e *entry) addCrash(crash CrashID) {
	index, found := slices.BinarySearch(e.crashes, crash)
	if found || len(e.crashes) >= RefuseStrikes {
		return
	}
	e.crashes = slices.Insert(e.crashes, index, crash)
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

// Reports returns up to limit entries, most recent change first.
func (t *Tracker) Reports(now time.Time, limit int) []Report {
	t.expire(now)
	out := make([]Report, 0, len(t.entries))
	for f, e := range t.entries {
		out = append(out, Report{Fingerprint: f, Crashes: slices.Clone(e.crashes), Strikes: e.strikes, Age: now.Sub(e.changedAt), Cleared: e.cleared})
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(limit, len(out))]
}

// Len returns the number of entries.
func (t *Tracker) Len() int { return len(t.entries) }

func (t *Tracker) expired(now time.Time, e *entry) bool {
	return now.Sub(e.changedAt) >= t.config.Expiry
}

func (t *Tracker) expire(now time.Time) {
	for f, e := range t.entries {
		if t.expired(now, e) {
			delete(t.entries, f)
		}
	}
}

// insert adds an entry and reports whether it did. If the tracker is full, the
// least recently changed entry is removed; an entry older than all others is
// not added.
func (t *Tracker) insert(f Fingerprint, e *entry) bool {
	if _, known := t.entries[f]; !known && len(t.entries) >= t.config.MaxEntries {
		oldest, at := Fingerprint(0), time.Time{}
		for g, o := range t.entries {
			if at.IsZero() || o.changedAt.Before(at) || (o.changedAt.Equal(at) && g < oldest) {
				oldest, at = g, o.changedAt
			}
		}
		if !e.changedAt.IsZero() && e.changedAt.Before(at) {
			return false
		}
		delete(t.entries, oldest)
	}
	t.entries[f] = e
	return true
}
