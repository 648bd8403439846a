// Package suspects holds the requests that were running when an engine or a
// sidecar died. One of them may crash every endpoint that runs it.
package suspects

import (
	"slices"
	"sync"
	"time"

	pb "siskinstand.example/peerpb"
)

const (
	// Expiry is the time for which a suspect is remembered.
	Expiry = time.Hour
	// RefuseStrikes is the number of strikes at which a request is refused.
	RefuseStrikes = 2
	// maxEntries bounds the table; the oldest suspect gives way.
	maxEntries = 4096
)

// Standing is what is known of one request.
type Standing struct {
	Strikes int
	// Endpoints are those that died while they ran the request.
	Endpoints []string
	// Age is the time since the latest strike.
	Age time.Duration
}

type entry struct {
	reported  int
	endpoints []string
	at        time.Time
}

func (e *entry) strikes() int { return max(e.reported, len(e.endpoints)) }

// Table is safe for concurrent use.
type Table struct {
	now     func() time.Time
	mu      sync.Mutex
	entries map[uint64]*entry
	cleared map[uint64]time.Time
	version uint64
}

// New returns an empty table that reads the time from now.
func New(now func() time.Time) *Table {
	return &Table{now: now, entries: map[uint64]*entry{}, cleared: map[uint64]time.Time{}}
}

// Standing returns what is known of a request.
func (t *Table) Standing(fingerprint uint64) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	if !ok || t.now().Sub(e.at) >= Expiry {
		return Standing{}
	}
	return Standing{Strikes: e.strikes(), Endpoints: slices.Clone(e.endpoints), Age: t.now().Sub(e.at)}
}

// Strike records that an endpoint died while it ran the request. The same
// endpoint counts once, because a sidecar and a gateway may both report it.
func (t *Table) Strike(fingerprint uint64, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.strike(fingerprint, endpoint, 1, t.now())
}

// Clear forgets a request that has finished.
func (t *Table) Clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(fingerprint)
}

// Learn takes suspects that a sidecar reported.
func (t *Table) Learn(endpoint string, list []*pb.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range list {
		at := now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)
		if s.GetCleared() {
			t.clear(s.GetFingerprint())
			continue
		}
		// A report that is older than the clearing doesn't bring it back.
		if cleared, ok := t.cleared[s.GetFingerprint()]; ok && !at.After(cleared) {
			continue
		}
		t.strike(s.GetFingerprint(), endpoint, int(s.GetStrikes()), at)
	}
}

// Known lists all suspects; the version changes with their strikes.
func (t *Table) Known() ([]*pb.Suspect, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	now := t.now()
	list := make([]*pb.Suspect, 0, len(t.entries)+len(t.cleared))
	for f, e := range t.entries {
		list = append(list, &pb.Suspect{Fingerprint: f, Strikes: uint32(e.strikes()), AgeMs: now.Sub(e.at).Milliseconds()})
	}
	for f, at := range t.cleared {
		list = append(list, &pb.Suspect{Fingerprint: f, Cleared: true, AgeMs: now.Sub(at).Milliseconds()})
	}
	return list, t.version
}

func (t *Table) strike(fingerprint uint64, endpoint string, strikes int, at time.Time) {
	e, ok := t.entries[fingerprint]
	if !ok {
		t.makeRoom()
		e = &entry{}
		t.entries[fingerprint] = e
	}
	before := e.strikes()
	e.reported = max(e.reported, strikes)
	// A report of two strikes repeats what the sidecar learnt from others.
	if strikes == 1 && len(e.endpoints) < RefuseStrikes && !slices.Contains(e.endpoints, endpoint) {
		e.endpoints = append(e.endpoints, endpoint)
	}
	if e.strikes() != before {
		e.at = at
		t.version++
		delete(t.cleared, fingerprint)
	}
}

func (t *Table) clear(fingerprint uint64) {
	if _, ok := t.entries[fingerprint]; !ok {
		return
	}
	delete(t.entries, fingerprint)
	t.cleared[fingerprint] = t.now()
	t.version++
}

func (t *Table) expire() {
	now := t.now()
	for f, e := range t.entries {
		if now.Sub(e.at) >= Expiry {
			delete(t.entries, f)
			t.version++
		}
	}
	for f, at := range t.cleared {
		if now.Sub(at) >= time.Minute {
			delete(t.cleared, f)
		}
	}
}

func (t *Table) makeRoom() {
	if len(t.entries) < maxEntries {
		return
	}
	var oldest uint64
	var at time.Time
	for f, e := range t.entries {
		if at.IsZero() || e.at.Before(at) {
			oldest, at = f, e.at
		}
	}
	delete(t.entries, oldest)
}
