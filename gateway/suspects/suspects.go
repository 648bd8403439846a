// Package suspects tracks the requests that were running when an engine or a
// sidecar crashed. Such a request may crash every endpoint that runs it. Each crash
// is a strike: a request with one runs only in isolation, a request with two is
// refused until its entry expires.
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
	// maxReportsPerMessage limits the suspects in one message.
	maxReportsPerMessage = 1024
	// maxTrackedRequests limits the requests for which crashed endpoints are
	// stored.
	maxTrackedRequests = 4096
)

// Entry is the crash record of one request.
type Entry struct {
	Status suspect.Status
	// CrashedEndpoints are the endpoints known to have crashed while they ran the
	// request.
	CrashedEndpoints []string
	// ExpiresIn is the time until the entry expires.
	ExpiresIn time.Duration
}

// Isolated reports whether the request must run alone on an endpoint.
func (e Entry) Isolated() bool { return e.Status == suspect.StatusIsolate }

// Crash is the loss of a sidecar process that was running a request.
type Crash struct {
	Endpoint    string
	Incarnation uint64
	// Isolated is true if the request ran alone because of an earlier strike.
	Isolated bool
}

// id returns the same value on all gateways that lost the same process.
func (c Crash) id() suspect.CrashID {
	return suspect.CrashID(routing.Mix(routing.HashName(c.Endpoint) ^ c.Incarnation))
}

// Table holds the entries of requests. It is safe for concurrent use.
type Table struct {
	now              func() time.Time
	mu               sync.Mutex
	tracker          *suspect.Tracker
	crashedEndpoints map[suspect.Fingerprint][]string
	version          uint64
}

// New returns an empty table that uses now as its clock.
func New(now func() time.Time) *Table {
	return &Table{now: now, tracker: suspect.New(suspect.DefaultConfig()), crashedEndpoints: map[suspect.Fingerprint][]string{}}
}

// Lookup returns the entry of a request.
func (t *Table) Lookup(fingerprint uint64) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, now := suspect.Fingerprint(fingerprint), t.now()
	entry := Entry{Status: t.tracker.Status(now, f)}
	if entry.Status != suspect.StatusClear {
		entry.CrashedEndpoints, entry.ExpiresIn = slices.Clone(t.crashedEndpoints[f]), t.tracker.TimeUntilExpiry(now, f)
	}
	return entry
}

// AddStrike records the loss of a sidecar that was running the request.
func (t *Table) AddStrike(fingerprint uint64, c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, now := suspect.Fingerprint(fingerprint), t.now()
	if c.Isolated {
		t.tracker.AddIsolatedStrike(now, f, c.id())
	} else {
		t.tracker.AddStrike(now, f, c.id())
	}
	t.version++
	t.addCrashedEndpoint(now, f, c.Endpoint)
}

func (t *Table) addCrashedEndpoint(now time.Time, f suspect.Fingerprint, endpoint string) {
	if len(t.crashedEndpoints) >= maxTrackedRequests {
		for old := range t.crashedEndpoints {
			if t.tracker.Status(now, old) == suspect.StatusClear {
				delete(t.crashedEndpoints, old)
			}
		}
	}
	if len(t.crashedEndpoints) < maxTrackedRequests && !slices.Contains(t.crashedEndpoints[f], endpoint) {
		t.crashedEndpoints[f] = append(t.crashedEndpoints[f], endpoint)
	}
}

// Clear records that a request has completed and clears its strike. A request with
// two strikes stays refused.
func (t *Table) Clear(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := suspect.Fingerprint(fingerprint)
	if t.tracker.Status(t.now(), f) != suspect.StatusIsolate {
		return
	}
	t.tracker.Clear(t.now(), f)
	delete(t.crashedEndpoints, f)
	t.version++
}

// RecordCrashedEndpoint records the endpoint that ran a request when its engine
// crashed. The strike itself is reported by the engine's sidecar.
func (t *Table) RecordCrashedEndpoint(fingerprint uint64, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addCrashedEndpoint(t.now(), suspect.Fingerprint(fingerprint), endpoint)
}

// MergeReports merges suspects reported by another process. The crashedEndpoint is
// the endpoint whose engine has just crashed, or empty. It is not derived from the
// sender, because a sidecar also forwards suspects of other endpoints.
func (t *Table) MergeReports(crashedEndpoint string, list []*pb.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, r := range parseReports(list) {
		if t.tracker.Merge(now, []suspect.Report{r}) == 0 {
			continue
		}
		t.version++
		if crashedEndpoint != "" && !r.Cleared {
			t.addCrashedEndpoint(now, r.Fingerprint, crashedEndpoint)
		}
	}
}

func parseReports(list []*pb.Suspect) []suspect.Report {
	list = list[:min(len(list), maxReportsPerMessage)]
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

// Version returns the version that Snapshot would return.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Snapshot returns the latest suspects. The version changes when a suspect is added
// or changed, but not when one ages or expires.
func (t *Table) Snapshot() ([]*pb.Suspect, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*pb.Suspect
	for _, r := range t.tracker.Reports(t.now(), maxReportsPerMessage) {
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
