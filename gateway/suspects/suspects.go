// Package suspects keeps the gateway's book of requests that were running when
// an engine or a sidecar died. One of them may crash every endpoint that runs
// it.
package suspects

import (
	"slices"
	"sync"
	"time"

	"siskinstand.example/coord/routing"
	"siskinstand.example/coord/suspect"
	pb "siskinstand.example/peerpb"
)

const (
	// maxExchanged bounds the suspects in one message.
	maxExchanged = 1024
	// maxStruck bounds the requests whose endpoint is remembered.
	maxStruck = 4096
)

// Entry is what is known of one request.
type Entry struct {
	Status suspect.Status
	// CrashedEndpoints are those that are known to have died while they ran it.
	CrashedEndpoints []string
	// ExpiresIn is the time until the request is forgotten.
	ExpiresIn time.Duration
}

// Isolated reports whether the request may only run alone.
func (s Entry) Isolated() bool { return s.Status == suspect.StatusIsolate }

// Crash is the loss of a sidecar process while it ran a request.
type Crash struct {
	Endpoint    string
	Incarnation uint64
	// Isolated says that the request ran isolated, because of an earlier strike.
	Isolated bool
}

// event is the same at all gateways that lost the same process.
func (d Crash) event() suspect.CrashID {
	return suspect.CrashID(routing.Mix(routing.HashName(d.Endpoint) ^ d.Incarnation))
}

// Table is safe for concurrent use.
type Table struct {
	now     func() time.Time
	mu      sync.Mutex
	book    *suspect.Tracker
	struck  map[suspect.Fingerprint][]string
	version uint64
}

// New returns an empty table that reads the time from now.
func New(now func() time.Time) *Table {
	return &Table{now: now, book: suspect.New(suspect.DefaultConfig()), struck: map[suspect.Fingerprint][]string{}}
}

// Lookup returns what is known of a request.
func (t *Table) Lookup(fingerprint uint64) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, now := suspect.Fingerprint(fingerprint), t.now()
	s := Entry{Status: t.book.Status(now, f)}
	if s.Status != suspect.StatusClear {
		s.CrashedEndpoints, s.ExpiresIn = slices.Clone(t.struck[f]), t.book.TimeUntilExpiry(now, f)
	}
	return s
}

// AddStrike records that a sidecar was lost while it ran the request.
func (t *Table) AddStrike(fingerprint uint64, d Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, now := suspect.Fingerprint(fingerprint), t.now()
	if d.Isolated {
		t.book.AddIsolatedStrike(now, f, d.event())
	} else {
		t.book.AddStrike(now, f, d.event())
	}
	t.version++
	t.remember(now, f, d.Endpoint)
}

func (t *Table) remember(now time.Time, f suspect.Fingerprint, endpoint string) {
	if len(t.struck) >= maxStruck {
		for old := range t.struck {
			if t.book.Status(now, old) == suspect.StatusClear {
				delete(t.struck, old)
			}
		}
	}
	if len(t.struck) < maxStruck && !slices.Contains(t.struck[f], endpoint) {
		t.struck[f] = append(t.struck[f], endpoint)
	}
}

// Clear records that a request has finished.
func (t *Table) Clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := suspect.Fingerprint(fingerprint)
	if t.book.Status(t.now(), f) != suspect.StatusIsolate {
		return
	}
	t.book.Clear(t.now(), f)
	delete(t.struck, f)
	t.version++
}

// RecordCrashedEndpoint records where a request was running when the engine died. The strike
// itself comes from the engine's sidecar.
func (t *Table) RecordCrashedEndpoint(fingerprint uint64, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remember(t.now(), suspect.Fingerprint(fingerprint), endpoint)
}

// MergeReports takes suspects that another process reported. Endpoint names the one
// whose engine has just died, or is empty: a sidecar also passes on suspects
// of other endpoints, so its own name alone doesn't tell where they ran.
func (t *Table) MergeReports(endpoint string, list []*pb.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, r := range reportsOf(list) {
		if t.book.Merge(now, []suspect.Report{r}) == 0 {
			continue
		}
		t.version++
		if endpoint != "" && !r.Cleared {
			t.remember(now, r.Fingerprint, endpoint)
		}
	}
}

func reportsOf(list []*pb.Suspect) []suspect.Report {
	list = list[:min(len(list), maxExchanged)]
	reports := make([]suspect.Report, 0, len(list))
	for _, s := range list {
		r := suspect.Report{
			Fingerprint: suspect.Fingerprint(s.GetFingerprint()), Strikes: s.GetStrikes(),
			Age: time.Duration(s.GetAgeMs()) * time.Millisecond, Cleared: s.GetCleared(),
		}
		for _, e := range s.GetEvents() {
			r.Crashes = append(r.Crashes, suspect.CrashID(e))
		}
		reports = append(reports, r)
	}
	return reports
}

// Version returns the version of Known.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Snapshot lists the latest suspects. The version changes with the list, but not
// with the suspects' age.
func (t *Table) Snapshot() ([]*pb.Suspect, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*pb.Suspect
	for _, r := range t.book.Reports(t.now(), maxExchanged) {
		s := &pb.Suspect{
			Fingerprint: uint64(r.Fingerprint), Strikes: r.Strikes, AgeMs: r.Age.Milliseconds(), Cleared: r.Cleared,
		}
		for _, e := range r.Crashes {
			s.Events = append(s.Events, uint64(e))
		}
		list = append(list, s)
	}
	return list, t.version
}
