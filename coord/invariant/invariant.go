// Package invariant counts violations of properties that must always hold. The
// checks are cheap enough to stay enabled in production.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Name identifies an invariant in metrics, logs and the operators' documentation.
type Name string

// The invariants, in the order of the requirements in docs/design.md.
const (
	// RequestOutcome: every request ends with an outcome by its deadline or shortly
	// after it.
	RequestOutcome Name = "request_outcome"
	// MemoryOwner: no allocation of engine memory stays without an owner.
	MemoryOwner Name = "memory_owner"
	// RampLimit: an admission keeps the tokens in flight within the endpoint's current
	// limit, unless the request runs alone or has a memory hold.
	RampLimit Name = "ramp_limit"
	// ZoneOut: a zone that is out of service receives no new work.
	ZoneOut Name = "zone_out"
	// StreamIdentity: a stream contains only the chunks of its own request, in order.
	StreamIdentity Name = "stream_identity"
	// NotRunVerdict: a request that ends as not_run has not run. The sidecar checks
	// that it was not dispatched, the gateway that it has produced no output.
	NotRunVerdict Name = "not_run_true"
	// AtMostOnce: a non-repeatable request runs at most once.
	AtMostOnce Name = "at_most_once"
	// LeavingHost: a leaving host receives no new work.
	LeavingHost Name = "leaving"
	// ShutdownComplete: a shutdown does not interrupt requests.
	ShutdownComplete Name = "shutdown_complete"
	// ConfigMonotonic: the configuration revision of a process never decreases.
	ConfigMonotonic Name = "config_monotonic"
)

// Names returns all invariants.
func Names() []Name {
	return []Name{
		RequestOutcome, MemoryOwner, RampLimit, ZoneOut, StreamIdentity,
		NotRunVerdict, AtMostOnce, LeavingHost, ShutdownComplete, ConfigMonotonic,
	}
}

// ReportFunc is called for each violation, for example to log it.
type ReportFunc func(name Name, message string)

// Registry counts violations. It is safe for concurrent use.
type Registry struct {
	report       ReportFunc
	counts       map[Name]*atomic.Int64
	mu           sync.Mutex
	lastMessages map[Name]string
}

// NewRegistry returns a registry that calls report for each violation. report may
// be nil.
func NewRegistry(report ReportFunc) *Registry {
	r := &Registry{report: report, counts: map[Name]*atomic.Int64{}, lastMessages: map[Name]string{}}
	for _, n := range Names() {
		r.counts[n] = &atomic.Int64{}
	}
	return r
}

// Check records a violation if ok is false, and returns ok. The message is only
// formatted for a violation. On a nil registry, Check records nothing.
func (r *Registry) Check(ok bool, name Name, format string, args ...any) bool {
	if ok || r == nil {
		return ok
	}
	message := fmt.Sprintf(format, args...)
	r.counts[name].Add(1)
	r.mu.Lock()
	r.lastMessages[name] = message
	r.mu.Unlock()
	if r.report != nil {
		r.report(name, message)
	}
	return false
}

// Count returns the number of violations of one invariant.
func (r *Registry) Count(name Name) int64 { return r.counts[name].Load() }

// LastMessage returns the message of the latest violation of an invariant, or an
// empty string if there is none.
func (r *Registry) LastMessage(name Name) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastMessages[name]
}

// Total returns the number of violations of all invariants.
func (r *Registry) Total() int64 {
	var sum int64
	for _, c := range r.counts {
		sum += c.Load()
	}
	return sum
}
