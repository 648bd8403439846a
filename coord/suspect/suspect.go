// Package suspect tracks requests that were running when an engine crashed.
// Behind a sidecar, a suspect with one strike runs only in isolation; one with two
// strikes is refused until it expires. Sidecars and gateways each keep a Tracker
// and merge each other's reports. Entry hosts do the same among themselves, but do
// not isolate requests. They also track, with a PartTracker, the parts of prompts that
// requests share, because requests with a part that crashes replicas may differ in
// everything else.
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
// request has finished since all of the given crashes; Age is the time since the last
// change.
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
	// crashes holds the crashes that count as strikes. It is sorted and has at most
	// RefuseStrikes members.
	crashes []CrashID
	// cleared holds the crashes after which the request has finished, oldest first, so
	// that late reports of them do not count again.
	cleared []CrashID
	// refused is set if the request was refused although fewer than RefuseStrikes of its
	// crashes are known here.
	refused bool
	// changedAt is the time of the last change, clearedAt that of the last clearance.
	changedAt time.Time
	clearedAt time.Time
}

// maxClearedCrashes is the maximum number of cleared crashes kept for one request.
const maxClearedCrashes = 8

// New returns an empty tracker.
func New(c Config) *Tracker { return &Tracker{config: c, entries: map[Fingerprint]*entry{}} }

// AddStrike adds a strike for a crash, unless it has already been counted, and
// returns the resulting status. Crashes from before a clearance do not count.
func (t *Tracker) AddStrike(now time.Time, f Fingerprint, crash CrashID) Status {
	t.expire(now)
	e := t.entries[f]
	if e == nil {
		e = &entry{changedAt: now}
		t.insert(f, e)
	}
	e.addCrash(crash)
	if !slices.Contains(e.cleared, crash) {
		e.changedAt = now
	}
	return e.status()
}

// AddIsolatedStrike adds a strike for a request that ran in isolation because
// another process knew of an earlier strike, which this tracker may have
// missed.
func (t *Tracker) AddIsolatedStrike(now time.Time, f Fingerprint, crash CrashID) Status {
	t.AddStrike(now, f, crash)
	e := t.entries[f]
	e.refused = true
	return e.status()
}

// Clear records that the request has finished, so that its strikes no longer count.
// The entry stays until it expires, so that the clearance spreads like the strike did.
// A request with two strikes is not cleared.
func (t *Tracker) Clear(now time.Time, f Fingerprint) {
	e := t.entries[f]
	if e == nil || e.status() != StatusIsolate {
		return
	}
	e.clear(e.crashes)
	e.changedAt, e.clearedAt = now, now
}

// Status returns how to treat a request.
func (t *Tracker) Status(now time.Time, f Fingerprint) Status {
	e := t.entries[f]
	if e == nil || t.expired(now, e) {
		return StatusClear
	}
	return e.status()
}

// Strikes returns the number of strikes of a request that count, at most RefuseStrikes.
func (t *Tracker) Strikes(now time.Time, f Fingerprint) int {
	e := t.entries[f]
	if e == nil || t.expired(now, e) {
		return 0
	}
	return int(e.strikes())
}

// Refused returns the requests to refuse of which at least RefuseStrikes crashes are known, in
// no particular order.
func (t *Tracker) Refused(now time.Time) []Report {
	var list []Report
	for f, e := range t.entries {
		if !t.expired(now, e) && len(e.crashes) >= RefuseStrikes {
			list = append(list, Report{Fingerprint: f, Crashes: slices.Clone(e.crashes), Strikes: RefuseStrikes, Age: now.Sub(e.changedAt)})
		}
	}
	return list
}

// HasCrash reports whether any crash among a request's strikes matches.
func (t *Tracker) HasCrash(now time.Time, f Fingerprint, matches func(CrashID) bool) bool {
	e := t.entries[f]
	return e != nil && !t.expired(now, e) && slices.ContainsFunc(e.crashes, matches)
}

// TimeUntilExpiry returns the time until a suspect expires.
func (t *Tracker) TimeUntilExpiry(now time.Time, f Fingerprint) time.Duration {
	if e := t.entries[f]; e != nil {
		return max(t.config.Expiry-now.Sub(e.changedAt), 0)
	}
	return 0
}

// Merge applies reports and returns the number of reports that changed an entry. The
// resulting statuses do not depend on the order or repetition of reports, except for
// requests with more than maxClearedCrashes cleared crashes.
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
	isNew := e == nil
	if isNew {
		e = &entry{changedAt: at}
		if !t.insert(r.Fingerprint, e) {
			return false
		}
	}
	if !e.apply(r, at) {
		return isNew
	}
	if at.After(e.changedAt) {
		e.changedAt = at
	}
	return true
}

// apply adds the strikes or the clearance of a report and reports whether that changed
// the entry.
func (e *entry) apply(r Report, at time.Time) bool {
	if r.Cleared {
		isChanged := e.clear(r.Crashes)
		if at.After(e.clearedAt) && isChanged {
			e.clearedAt = at
		}
		return isChanged
	}
	isChanged := false
	for _, crash := range r.Crashes {
		isChanged = e.addCrash(crash) || isChanged
	}
	// With fewer crashes than strikes, the sender does not know which crashes led to
	// the refusal, so no clearance can lift it.
	if r.Strikes >= RefuseStrikes && len(r.Crashes) < RefuseStrikes && !e.refused {
		e.refused, isChanged = true, true
	}
	return isChanged
}

// addCrash adds a crash that is neither known nor cleared, and reports whether it did.
func (e *entry) addCrash(crash CrashID) bool {
	index, found := slices.BinarySearch(e.crashes, crash)
	if found || len(e.crashes) >= RefuseStrikes || slices.Contains(e.cleared, crash) {
		return false
	}
	e.crashes = slices.Insert(e.crashes, index, crash)
	return true
}

// clear makes crashes no longer count and reports whether that changed the entry.
func (e *entry) clear(crashes []CrashID) bool {
	isChanged := false
	for _, crash := range slices.Clone(crashes) {
		if slices.Contains(e.cleared, crash) {
			continue
		}
		isChanged = true
		e.cleared = append(e.cleared, crash)
		if index, found := slices.BinarySearch(e.crashes, crash); found {
			e.crashes = slices.Delete(e.crashes, index, index+1)
		}
	}
	if excess := len(e.cleared) - maxClearedCrashes; excess > 0 {
		e.cleared = slices.Delete(e.cleared, 0, excess)
	}
	return isChanged
}

func (e *entry) status() Status {
	switch {
	case e.refused || len(e.crashes) >= RefuseStrikes:
		return StatusRefuse
	case len(e.crashes) > 0:
		return StatusIsolate
	default:
		return StatusClear
	}
}

// strikes returns the number of strikes that count.
func (e *entry) strikes() uint32 {
	if e.refused {
		return RefuseStrikes
	}
	return uint32(len(e.crashes))
}

// reportedCrashes returns the crashes to report. A refusal that no clearance can lift is
// reported with fewer crashes than strikes; see apply.
func (e *entry) reportedCrashes() []CrashID {
	if e.refused {
		return slices.Clone(e.crashes[:min(len(e.crashes), RefuseStrikes-1)])
	}
	return slices.Clone(e.crashes)
}

// Reports returns up to limit reports, most recent change first. A request with a
// clearance and newer strikes has two reports.
func (t *Tracker) Reports(now time.Time, limit int) []Report {
	t.expire(now)
	out := make([]Report, 0, len(t.entries))
	for f, e := range t.entries {
		if n := e.strikes(); n > 0 {
			out = append(out, Report{Fingerprint: f, Crashes: e.reportedCrashes(), Strikes: n, Age: now.Sub(e.changedAt)})
		}
		if len(e.cleared) > 0 {
			out = append(out, Report{Fingerprint: f, Crashes: slices.Clone(e.cleared), Strikes: 1, Age: now.Sub(e.clearedAt), Cleared: true})
		}
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
		} else if now.Sub(e.clearedAt) >= t.config.Expiry {
			e.cleared = nil // other processes no longer accept its report
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
