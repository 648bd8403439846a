// Package health ejects replicas that fail requests. It ignores the platform's
// health checks, which can be wrong in both directions. Times are readings of a
// clock that keeps counting while the host is suspended.
package health

import (
	"maps"
	"time"
)

// Outcome is what a request revealed about its replica.
type Outcome string

// Outcomes of requests.
const (
	// Served means that the replica sent a valid response, or that the request
	// ended without one through no fault of the replica, for example because the
	// caller disconnected.
	Served Outcome = "served"
	// Unreachable means that the connection could not be opened.
	Unreachable Outcome = "unreachable"
	// Silent means that the peer stopped acknowledging data on an open
	// connection.
	Silent Outcome = "silent"
	// Broken means that the connection ended early or carried an invalid
	// response.
	Broken Outcome = "broken"
	// Failed means that the replica responded with an error.
	Failed Outcome = "failed"
	// Full means that the replica did not accept the request.
	Full Outcome = "full"
	// NoHelp means that the replica, as a helper, did not prefill its part of a
	// prompt, for example because it is leaving and its entry does not show it
	// yet.
	NoHelp Outcome = "no_help"
	// Replaced means that another replica responded at the address.
	Replaced Outcome = "replaced"
	// AtLimit means that the replica accepts no further connections, while it
	// works on those that it has.
	AtLimit Outcome = "at_limit"
	// Moved means that the request was ended here since it runs at another
	// replica.
	Moved Outcome = "moved"
)

// Policy holds the tuning constants of ejection.
type Policy struct {
	// MinEjection is the duration of the first ejection. It doubles with each
	// further one up to MaxEjection. It is also how long a response to this host
	// counts more than another host's report that the replica is unreachable.
	MinEjection time.Duration
	MaxEjection time.Duration
	// FullPause is how long a replica gets no requests after it has rejected
	// one.
	FullPause time.Duration
	// SuspectInterval is the minimum time between two checks of a replica that
	// other hosts report as unreachable.
	SuspectInterval time.Duration
	// EjectionMemory is the time without an ejection after which the next one is
	// again as short as the first.
	EjectionMemory time.Duration
	// FailureThreshold is the failure weight at which a replica is ejected.
	FailureThreshold float64
}

// DefaultPolicy returns the production settings.
func DefaultPolicy() Policy {
	return Policy{MinEjection: 400 * time.Millisecond, MaxEjection: 3 * time.Second, FullPause: 60 * time.Millisecond, SuspectInterval: 2 * time.Second, EjectionMemory: 30 * time.Second, FailureThreshold: 2.5}
}

// servedDecay is the factor that a served request applies to the failure
// weight. With 0.7, a replica that breaks two of five responses reaches a
// weight of 3, one that breaks one of twenty a weight of 1.
const servedDecay = 0.7

var failureWeights = map[Outcome]float64{Broken: 1, Failed: 0.5}

type replicaState struct {
	failureWeight float64
	ejectedUntil  time.Duration
	ejections     int
	replaced      bool
	// unreachable is set while the replica cannot be reached. lastServed is the
	// time of the last Served outcome, lastSuspected the time at which a report
	// by another host last marked it unreachable.
	unreachable   bool
	lastServed    time.Duration
	lastSuspected time.Duration
}

// Tracker holds the health of all replicas. It is owned by the control
// goroutine.
type Tracker struct {
	policy   Policy
	replicas map[string]*replicaState
}

// New returns an empty tracker.
func New(p Policy) *Tracker { return &Tracker{policy: p, replicas: map[string]*replicaState{}} }

// Record adds an outcome and reports whether it took the replica out of use. The
// pause after Full is not reported; Replaced is reported each time.
func (t *Tracker) Record(now time.Duration, id string, o Outcome) bool {
	s := t.replicas[id]
	if s == nil {
		s = &replicaState{}
		t.replicas[id] = s
	}
	switch o {
	case Served:
		s.failureWeight *= servedDecay
		s.lastServed = now
		return false
	case Full:
		s.ejectedUntil = max(s.ejectedUntil, now+t.policy.FullPause)
		return false
	case AtLimit, Moved:
		return false
	case Replaced:
		s.replaced = true
		return true
	case Unreachable, Silent:
		wasUnreachable := s.unreachable
		s.unreachable = true
		return !wasUnreachable
	}
	if o == NoHelp {
		s.failureWeight = t.policy.FailureThreshold
	}
	s.failureWeight += failureWeights[o]
	if s.failureWeight < t.policy.FailureThreshold || now < s.ejectedUntil {
		return false
	}
	if s.ejections > 0 && now-s.ejectedUntil > t.policy.EjectionMemory {
		s.ejections = 0
	}
	s.ejectedUntil = now + min(t.policy.MaxEjection, t.policy.MinEjection<<min(s.ejections, 8))
	s.ejections++
	s.failureWeight = t.policy.FailureThreshold / 2
	return true
}

// MarkSuspected marks a replica unreachable because another host reported it,
// and reports whether the caller should probe it. A replica that has responded
// to this host within MinEjection stays in use.
func (t *Tracker) MarkSuspected(now time.Duration, id string) bool {
	s := t.replicas[id]
	if s == nil {
		s = &replicaState{}
		t.replicas[id] = s
	}
	if s.unreachable || s.lastServed > 0 && now-s.lastServed < t.policy.MinEjection || s.lastSuspected > 0 && now-s.lastSuspected < t.policy.SuspectInterval {
		return false
	}
	s.lastSuspected, s.unreachable = now, true
	return true
}

// MarkReachable puts a replica that could not be reached back into use.
func (t *Tracker) MarkReachable(id string) {
	if s, ok := t.replicas[id]; ok {
		s.unreachable = false
	}
}

// IsUnreachable reports whether a replica is marked unreachable, by an outcome
// here or by another host's report.
func (t *Tracker) IsUnreachable(id string) bool {
	s, ok := t.replicas[id]
	return ok && s.unreachable
}

// Reset deletes the state of a replica that has restarted.
func (t *Tracker) Reset(id string) { delete(t.replicas, id) }

// Retain deletes the state of the replicas that are not in known.
func (t *Tracker) Retain(known map[string]bool) {
	maps.DeleteFunc(t.replicas, func(id string, _ *replicaState) bool { return !known[id] })
}

// Len returns the number of replicas with state.
func (t *Tracker) Len() int { return len(t.replicas) }

// Usable reports whether a replica may receive requests.
func (t *Tracker) Usable(now time.Duration, id string) bool {
	s, ok := t.replicas[id]
	return !ok || !s.replaced && !s.unreachable && now >= s.ejectedUntil
}
