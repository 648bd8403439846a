// Package directory decides which replicas may receive new requests, from the
// platform's list of replicas and the zones that operators have evacuated.
// Times are readings of a clock that keeps counting while the host is
// suspended.
package directory

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Replica is a process that serves requests of a service.
type Replica struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining replicas finish their running requests and get no new ones.
	Draining bool
	// ColdUntil is the time until which the replica can handle only a small
	// load.
	ColdUntil time.Duration
	// StartUnixMs is the start time of the process in Unix milliseconds. An ID
	// that returns with another value is a new process with empty memory.
	StartUnixMs int64
}

// Policy holds the time limits of a table.
type Policy struct {
	// OutageGracePeriod is how long a replica stays in use after its entry has
	// disappeared around a store outage. Leases of live replicas expire in an
	// outage, and their entries return within about 2 s.
	OutageGracePeriod time.Duration
	// OutageWindow is the time after an outage during which a missing entry is
	// attributed to an expired lease.
	OutageWindow time.Duration
	// RemovalLimit is how long a replica stays in use after the store has removed its entry,
	// unless the store did not respond for longer than that.
	RemovalLimit time.Duration
}

// DefaultPolicy returns the production settings, for a drain time of 2 s.
func DefaultPolicy() Policy {
	return Policy{OutageGracePeriod: 1500 * time.Millisecond, OutageWindow: 5 * time.Second, RemovalLimit: 1750 * time.Millisecond}
}

// removalShare is the share of the drain time after which a replica whose entry was removed is
// no longer used. The rest is for requests on their way.
const removalShare = 0.875

// WithDrainTime returns the policy for a platform whose replicas get no new requests later than
// the given time after they have left.
func (p Policy) WithDrainTime(d time.Duration) Policy {
	p.RemovalLimit = time.Duration(removalShare * float64(d))
	return p
}

// process identifies one start of a replica. IDs and addresses are used again.
type process struct {
	id, address string
	startUnixMs int64
}

// maxLeaving is the maximum number of processes that are remembered as leaving.
const maxLeaving = 4096

type entry struct {
	replica Replica
	// missing is set while the entry has disappeared from the store; the
	// replica is kept until keepUntil.
	missing   bool
	keepUntil time.Duration
}

// Table is the list of known replicas. It is owned by the control goroutine.
type Table struct {
	policy    Policy
	entries   map[string]entry
	evacuated map[string]bool
	// leaving holds the processes that have said that they leave, and when. It is kept when
	// their entries disappear, since an outage of the store may bring these back.
	leaving map[process]time.Duration
	// paused holds until when processes want no requests from this host.
	paused     map[process]time.Duration
	hadOutage  bool
	lastOutage time.Duration
	// usable caches the result of Usable by service. It is valid until the table changes
	// or, if usableUntil is not 0, until the expiry of a missing entry or the end of a pause
	// at usableUntil.
	usable      map[string][]Replica
	usableUntil time.Duration
	version     uint64
}

// invalidate discards the cached lists of usable replicas.
func (t *Table) invalidate() {
	clear(t.usable)
	t.usableUntil = 0
	t.version++
}

// Version changes whenever the result of Usable may change.
func (t *Table) Version(now time.Duration) uint64 {
	if t.usableUntil > 0 && now >= t.usableUntil {
		t.invalidate()
	}
	return t.version
}

// New returns an empty table.
func New(p Policy) *Table {
	return &Table{policy: p, entries: map[string]entry{}, evacuated: map[string]bool{}, leaving: map[process]time.Duration{}, paused: map[process]time.Duration{}, usable: map[string][]Replica{}}
}

// Put adds or updates a replica and reports whether the ID was unknown or belonged
// to a process with another start time or address.
func (t *Table) Put(r Replica) (isNewProcess bool) {
	old, ok := t.entries[r.ID]
	t.entries[r.ID] = entry{replica: r}
	t.invalidate()
	return !ok || old.replica.StartUnixMs != r.StartUnixMs || old.replica.Address != r.Address
}

// Remove removes a replica whose entry is gone, or keeps it in use for a while if the store
// had a recent outage. The entry still existed at lastSeen. Remove returns how long the
// replica stays in use.
func (t *Table) Remove(now, lastSeen time.Duration, id string) time.Duration {
	r, ok := t.entries[id]
	if !ok || r.missing {
		return 0
	}
	t.invalidate()
	keep := t.gracePeriod(now, lastSeen)
	if keep <= 0 {
		delete(t.entries, id)
		return 0
	}
	r.missing, r.keepUntil = true, now+keep
	t.entries[id] = r
	return keep
}

// gracePeriod returns how long a replica stays in use whose entry existed at lastSeen and is
// gone now. A failed call does not prove an outage of the store: it may concern only one host,
// while the other replicas leave as usual. So the period counts from lastSeen, unless more
// time than RemovalLimit has passed without a response of the store.
func (t *Table) gracePeriod(now, lastSeen time.Duration) time.Duration {
	if !t.hadOutage || now-t.lastOutage > t.policy.OutageWindow {
		return 0
	}
	gap := now - lastSeen
	if gap >= t.policy.RemovalLimit {
		return t.policy.OutageGracePeriod
	}
	return min(t.policy.OutageGracePeriod, t.policy.RemovalLimit-gap)
}

// RetainOnly calls Remove for every replica that is not in ids.
func (t *Table) RetainOnly(now, lastSeen time.Duration, ids map[string]bool) {
	for id := range t.entries {
		if !ids[id] {
			t.Remove(now, lastSeen, id)
		}
	}
}

// RecordOutage records that a call to the store failed, at this host or at the one that it
// learns changes from.
func (t *Table) RecordOutage(now time.Duration) { t.hadOutage, t.lastOutage = true, now }

// MarkLeaving records that a process has said that it leaves, and reports whether that is new. It
// gets no new requests, whatever its entry says.
func (t *Table) MarkLeaving(now time.Duration, id, address string, startUnixMs int64) bool {
	p := process{id, address, startUnixMs}
	if _, ok := t.leaving[p]; ok {
		return false
	}
	if len(t.leaving) >= maxLeaving {
		t.forgetOldestLeaving()
	}
	t.leaving[p] = now
	t.invalidate()
	return true
}

func (t *Table) forgetOldestLeaving() {
	var oldest process
	first := true
	for p, at := range t.leaving {
		if first || at < t.leaving[oldest] {
			oldest, first = p, false
		}
	}
	delete(t.leaving, oldest)
}

// Pause records that a process wants no requests from this host until the given time. An earlier
// end does not shorten a pause.
func (t *Table) Pause(now, until time.Duration, id, address string, startUnixMs int64) {
	p := process{id, address, startUnixMs}
	if until <= max(now, t.paused[p]) {
		return
	}
	maps.DeleteFunc(t.paused, func(_ process, end time.Duration) bool { return now >= end })
	t.paused[p] = until
	t.invalidate()
}

// PauseLeft returns the time until the first replica of a service that is paused, and could be
// used otherwise, may be used again, or 0 if there is none.
func (t *Table) PauseLeft(now time.Duration, service string) time.Duration {
	var first time.Duration
	for _, e := range t.entries {
		r := e.replica
		end, ok := t.paused[process{r.ID, r.Address, r.StartUnixMs}]
		if !ok || now >= end || r.Service != service || r.Draining || e.missing || t.evacuated[r.Zone] || t.isLeaving(r) {
			continue
		}
		if left := end - now; first == 0 || left < first {
			first = left
		}
	}
	return first
}

// CountWithdrawn returns the numbers of replicas that have said that they leave and of those in a
// pause.
func (t *Table) CountWithdrawn(now time.Duration) (leaving, paused int) {
	if len(t.leaving)+len(t.paused) == 0 {
		return 0, 0
	}
	for _, e := range t.entries {
		switch {
		case t.isLeaving(e.replica):
			leaving++
		case t.isPaused(now, e.replica):
			paused++
		}
	}
	return leaving, paused
}

// isPaused reports whether a replica wants no requests now. It lets the cached lists expire at
// the end of the pause.
func (t *Table) isPaused(now time.Duration, r Replica) bool {
	end, ok := t.paused[process{r.ID, r.Address, r.StartUnixMs}]
	if !ok || now >= end {
		return false
	}
	if t.usableUntil == 0 || end < t.usableUntil {
		t.usableUntil = end
	}
	return true
}

func (t *Table) isLeaving(r Replica) bool {
	_, ok := t.leaving[process{r.ID, r.Address, r.StartUnixMs}]
	return ok
}

// SetEvacuated sets or clears the evacuation of a zone.
func (t *Table) SetEvacuated(zone string, evacuated bool) {
	t.invalidate()
	if evacuated {
		t.evacuated[zone] = true
		return
	}
	delete(t.evacuated, zone)
}

// EvacuatedZones returns the evacuated zones, sorted.
func (t *Table) EvacuatedZones() []string {
	zones := make([]string, 0, len(t.evacuated))
	for z := range t.evacuated {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	return zones
}

// Get returns the replica with the given ID, unless its entry is missing and the time for
// which Remove keeps it in use is over.
func (t *Table) Get(now time.Duration, id string) (Replica, bool) {
	r, ok := t.entries[id]
	if !ok || r.missing && now >= r.keepUntil {
		return Replica{}, false
	}
	return r.replica, true
}

// All yields every replica that Get returns, in no particular order.
func (t *Table) All(now time.Duration) iter.Seq[Replica] {
	return func(yield func(Replica) bool) {
		for _, r := range t.entries {
			if (!r.missing || now < r.keepUntil) && !yield(r.replica) {
				return
			}
		}
	}
}

// Addresses returns the addresses of the replicas that may get new requests now or after a pause.
func (t *Table) Addresses(now time.Duration) map[string]bool {
	addresses := map[string]bool{}
	for r := range t.All(now) {
		if !t.isWithdrawn(r) {
			addresses[r.Address] = true
		}
	}
	return addresses
}

// isWithdrawn reports whether a replica gets no new requests until its entry or the evacuation of its
// zone changes.
func (t *Table) isWithdrawn(r Replica) bool {
	return r.Draining || t.evacuated[r.Zone] || t.isLeaving(r)
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Usable returns the replicas of a service that may receive new requests,
// sorted by ID. Of several replicas with the same address only the latest
// process counts, even if it may not receive requests itself. Missing entries are deleted
// when their time is over. The caller must not modify the result.
func (t *Table) Usable(now time.Duration, service string) []Replica {
	t.Version(now) // discards lists that have expired
	if list, ok := t.usable[service]; ok {
		return list
	}
	list := t.listUsable(now, service)
	t.usable[service] = list
	return list
}

func (t *Table) listUsable(now time.Duration, service string) []Replica {
	var list []Replica
	for id, r := range t.entries {
		if r.missing && now >= r.keepUntil {
			delete(t.entries, id)
			continue
		}
		if r.missing && (t.usableUntil == 0 || r.keepUntil < t.usableUntil) {
			t.usableUntil = r.keepUntil
		}
		if r.replica.Service == service {
			list = append(list, r.replica)
		}
	}
	// A replica that has restarted under another ID has the same address as
	// before; the old entry remains until its lease expires.
	slices.SortFunc(list, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(b.StartUnixMs, a.StartUnixMs), cmp.Compare(a.ID, b.ID))
	})
	list = slices.CompactFunc(list, func(a, b Replica) bool { return a.Address == b.Address })
	list = slices.DeleteFunc(list, func(r Replica) bool { return t.isWithdrawn(r) || t.isPaused(now, r) })
	slices.SortFunc(list, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
