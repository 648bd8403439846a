// Package directory decides which replicas may get new work, from the
// platform's list of replicas and the zones that operators have evacuated.
// Times are readings of a clock that counts while the host is suspended.
package directory

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// Replica is one process that answers requests of a service.
type Replica struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining replicas finish what they have and get nothing new.
	Draining bool
	// ColdUntil is the moment until which the replica bears little load.
	ColdUntil time.Duration
	// StartUnixMs is the start of the process in Unix milliseconds; an id that comes
	// back with another value is another process with an empty memory.
	StartUnixMs int64
}

// Policy holds the time constants of a table.
type Policy struct {
	// OutageHold is the time for which a replica stays in use after its entry
	// has disappeared around an outage of the store. Leases of live replicas
	// lapse in an outage, and their entries come back within about 2 s.
	OutageHold time.Duration
	// OutageWindow is the time after an outage in which a missing entry is
	// taken for a lapsed lease.
	OutageWindow time.Duration
}

// DefaultPolicy returns the constants used in production.
func DefaultPolicy() Policy {
	return Policy{OutageHold: 1500 * time.Millisecond, OutageWindow: 5 * time.Second}
}

type row struct {
	replica Replica
	// missingUntil is set while the entry is missing and the replica is kept.
	missing      bool
	missingUntil time.Duration
}

// Table is the list of replicas as one process knows it. The control goroutine
// owns it.
type Table struct {
	policy    Policy
	rows      map[string]row
	evacuated map[string]bool
	outage    bool
	outageAt  time.Duration
}

// New returns an empty table.
func New(p Policy) *Table {
	return &Table{policy: p, rows: map[string]row{}, evacuated: map[string]bool{}}
}

// Put adds or changes a replica and reports whether it is another process than
// the one known by that id.
func (t *Table) Put(r Replica) bool {
	old, ok := t.rows[r.ID]
	t.rows[r.ID] = row{replica: r}
	return !ok || old.replica.StartUnixMs != r.StartUnixMs || old.replica.Address != r.Address
}

// Remove removes a replica whose entry is gone, at once or after the hold.
func (t *Table) Remove(now time.Duration, id string) {
	r, ok := t.rows[id]
	if !ok || r.missing {
		return
	}
	if !t.outage || now-t.outageAt > t.policy.OutageWindow {
		delete(t.rows, id)
		return
	}
	r.missing, r.missingUntil = true, now+t.policy.OutageHold
	t.rows[id] = r
}

// RetainOnly drops every replica that is not in the list.
func (t *Table) RetainOnly(now time.Duration, ids map[string]bool) {
	for id := range t.rows {
		if !ids[id] {
			t.Remove(now, id)
		}
	}
}

// RecordOutage records that the store did not answer.
func (t *Table) RecordOutage(now time.Duration) { t.outage, t.outageAt = true, now }

// SetEvacuated sets whether a zone is evacuated.
func (t *Table) SetEvacuated(zone string, out bool) {
	if out {
		t.evacuated[zone] = true
		return
	}
	delete(t.evacuated, zone)
}

// EvacuatedZones returns the evacuated zones.
func (t *Table) EvacuatedZones() []string {
	zones := make([]string, 0, len(t.evacuated))
	for z := range t.evacuated {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	return zones
}

// Get returns a replica that is not forgotten.
func (t *Table) Get(now time.Duration, id string) (Replica, bool) {
	r, ok := t.rows[id]
	if !ok || r.missing && now >= r.missingUntil {
		return Replica{}, false
	}
	return r.replica, true
}

// All yields every replica that is not forgotten, in no order.
func (t *Table) All(now time.Duration) iter.Seq[Replica] {
	return func(yield func(Replica) bool) {
		for _, r := range t.rows {
			if (!r.missing || now < r.missingUntil) && !yield(r.replica) {
				return
			}
		}
	}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.rows) }

// Usable returns the replicas of a service that may get new work, by id. Of
// several entries with one address only the youngest process counts.
func (t *Table) Usable(now time.Duration, service string) []Replica {
	var usable []Replica
	for id, r := range t.rows {
		if r.missing && now >= r.missingUntil {
			delete(t.rows, id)
			continue
		}
		if r.replica.Service == service && !r.replica.Draining && !t.evacuated[r.replica.Zone] {
			usable = append(usable, r.replica)
		}
	}
	// A replica that has come back under another id has its old address; the old
	// entry stays until its lease ends.
	slices.SortFunc(usable, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(b.StartUnixMs, a.StartUnixMs), cmp.Compare(a.ID, b.ID))
	})
	usable = slices.CompactFunc(usable, func(a, b Replica) bool { return a.Address == b.Address })
	slices.SortFunc(usable, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}
