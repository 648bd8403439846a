// Package invariant counts violations of the properties that must always hold.
// The checks are cheap enough to stay enabled in production.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Name identifies one invariant in metrics, logs and the operators' pages.
type Name string

// The invariants, in the order of the requirements in docs/design.md.
const (
	RequestOutcome   Name = "request_outcome"
	MemoryOwner      Name = "memory_owner"
	RampLimit        Name = "ramp_limit"
	ZoneOut          Name = "zone_out"
	StreamIdentity   Name = "stream_identity"
	NotRunVerdict    Name = "not_run_true"
	AtMostOnce       Name = "at_most_once"
	LeavingHost      Name = "leaving"
	ShutdownComplete Name = "shutdown_complete"
	ConfigMonotonic  Name = "config_monotonic"
)

// Names lists all invariants.
func Names() []Name {
	return []Name{
		RequestOutcome, MemoryOwner, RampLimit, ZoneOut, StreamIdentity,
		NotRunVerdict, AtMostOnce, LeavingHost, ShutdownComplete, ConfigMonotonic,
	}
}

// ReportFunc receives each violation, for example to log it.
type ReportFunc func(name Name, message string)

// Registry counts violations. It is safe for concurrent use.
type Registry struct {
	report ReportFunc
	counts map[Name]*atomic.Int64
	mu     sync.Mutex
	last   map[Name]string
}

// NewRegistry returns a registry that calls report, which may be nil, on each
// violation.
func NewRegistry(report ReportFunc) *Registry {
	r := &Registry{report: report, counts: map[Name]*atomic.Int64{}, last: map[Name]string{}}
	for _, n := range Names() {
		r.counts[n] = &atomic.Int64{}
	}
	return r
}

// Check records a violation if ok is false and returns ok. The message is
// formatted only on a violation. A nil registry accepts every check.
func (r *Registry) Check(ok bool, name Name, format string, args ...any) bool {
	if ok || r == nil {
		return ok
	}
	message := fmt.Sprintf(format, args...)
	r.counts[name].Add(1)
	r.mu.Lock()
	r.last[name] = message
	r.mu.Unlock()
	if r.report != nil {
		r.report(name, message)
	}
	return false
}

// Count returns the number of violations of one invariant.
func (r *Registry) Count(name Name) int64 { return r.counts[name].Load() }

// LastMessage returns the message of the latest violation, or an empty string.
func (r *Registry) LastMessage(name Name) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last[name]
}

// Total returns the number of violations of all invariants.
func (r *Registry) Total() int64 {
	var sum int64
	for _, c := range r.counts {
		sum += c.Load()
	}
	return sum
}
