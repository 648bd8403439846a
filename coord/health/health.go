// Package health takes replicas out of use by the evidence of traffic. The
// platform's own health answers can be wrong in both directions, so they do
// not count. Times are readings of a clock that counts while the host is
// suspended.
package health

import "time"

// Outcome is what a request showed of its replica.
type Outcome string

// The outcomes of requests.
const (
	// Served is an answer in the protocol.
	Served Outcome = "served"
	// Unreachable is a connection that could not be opened.
	Unreachable Outcome = "unreachable"
	// Silent is a connection whose other end confirms nothing any more.
	Silent Outcome = "silent"
	// Broken is a connection that ended, or bytes that are no answer.
	Broken Outcome = "broken"
	// Failed is an error that the replica answered.
	Failed Outcome = "failed"
	// Full is a request that the replica did not accept.
	Full Outcome = "full"
	// NoHelp is a prompt that the replica did not help to read, as one does that
	// is leaving before its entry says so.
	NoHelp Outcome = "no_help"
	// Replaced is an answer by another replica at the same address.
	Replaced Outcome = "replaced"
)

// Policy holds the constants.
type Policy struct {
	// MinEjection is the time out of use after the first ejection; it doubles with
	// each further one up to Limit.
	MinEjection time.Duration
	MaxEjection time.Duration
	// FullPause is the time out of use after a rejected request.
	FullPause time.Duration
	// SuspectInterval is the time after which another host's report of an
	// unreachable replica is looked into again.
	SuspectInterval time.Duration
	// FailureThreshold is the weight of failures at which a replica is taken out.
	FailureThreshold float64
}

// DefaultPolicy returns the constants used in production.
func DefaultPolicy() Policy {
	return Policy{MinEjection: 400 * time.Millisecond, MaxEjection: 3 * time.Second, FullPause: 60 * time.Millisecond, SuspectInterval: 2 * time.Second, FailureThreshold: 2.5}
}

// servedFactor is what a served request leaves of the weight of failures. With
// 0.7 a replica that breaks two of five answers reaches a weight of 3, one that
// breaks one of twenty a weight of 1.
const servedFactor = 0.7

var weights = map[Outcome]float64{Broken: 1, Failed: 0.5}

type state struct {
	weight   float64
	until    time.Duration
	ejected  int
	replaced bool
	// down is set while the replica can't be reached, served and suspected are
	// the times of its last answer and of the last look at a report.
	down      bool
	served    time.Duration
	suspected time.Duration
}

// Tracker holds the evidence by replica. The control goroutine owns it.
type Tracker struct {
	policy Policy
	states map[string]*state
}

// New returns an empty book.
func New(p Policy) *Tracker { return &Tracker{policy: p, states: map[string]*state{}} }

// Record adds an outcome and reports whether it took the replica out of use.
func (b *Tracker) Record(now time.Duration, id string, o Outcome) bool {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	switch o {
	case Served:
		s.weight *= servedFactor
		s.served = now
		return false
	case Full:
		s.until = max(s.until, now+b.policy.FullPause)
		return false
	case Replaced:
		s.replaced = true
		return true
	case Unreachable, Silent:
		was := s.down
		s.down = true
		return !was
	}
	if o == NoHelp {
		s.weight = b.policy.FailureThreshold
	}
	s.weight += weights[o]
	if s.weight < b.policy.FailureThreshold || now < s.until {
		return false
	}
	s.until = now + min(b.policy.MaxEjection, b.policy.MinEjection<<min(s.ejected, 8))
	s.ejected++
	s.weight = b.policy.FailureThreshold / 2
	return true
}

// MarkSuspected takes a replica out of use that another host can't reach, and reports
// whether to look into it. A replica that has just answered here stays in use.
func (b *Tracker) MarkSuspected(now time.Duration, id string) bool {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	if s.down || s.served > 0 && now-s.served < b.policy.MinEjection || s.suspected > 0 && now-s.suspected < b.policy.SuspectInterval {
		return false
	}
	s.suspected, s.down = now, true
	return true
}

// MarkReachable brings back a replica that could not be reached.
func (b *Tracker) MarkReachable(id string) {
	if s, ok := b.states[id]; ok {
		s.down = false
	}
}

// IsUnreachable reports whether a replica can't be reached.
func (b *Tracker) IsUnreachable(id string) bool {
	s, ok := b.states[id]
	return ok && s.down
}

// Reset forgets the evidence on a replica that has started again.
func (b *Tracker) Reset(id string) { delete(b.states, id) }

// Usable reports whether a replica may get work.
func (b *Tracker) Usable(now time.Duration, id string) bool {
	s, ok := b.states[id]
	return !ok || !s.replaced && !s.down && now >= s.until
}
