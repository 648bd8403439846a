// Package membership decides which endpoints may get new work, from the host
// list, the sidecars' reports and the evidence of traffic. The host list lags,
// so it alone neither removes an endpoint that responds nor sends work to one
// that does not.
package membership

import (
	"time"

	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/routing"
)

// State is what a sidecar reports of its endpoint.
type State string

// The states of an endpoint. Unknown stands for no report yet.
const (
	StateUnknown    State = ""
	StateStarting   State = "starting"
	StateServing    State = "serving"
	StateDraining   State = "draining"
	StateEngineDown State = "engine_down"
)

// Policy holds the time constants.
type Policy struct {
	// SilenceTimeout is the time after the latest response at which an endpoint that
	// the host list no longer names is forgotten.
	SilenceTimeout time.Duration
	// InitialProbeDelay is the first wait before an unreachable endpoint is tried
	// again. The wait doubles with each failure up to ProbeLimit.
	InitialProbeDelay time.Duration
	MaxProbeDelay     time.Duration
}

// Host is one host of the host list.
type Host struct {
	Name        string
	Zone        string
	Service     string
	Address     string
	Incarnation uint64
	Leaving     bool
}

// Endpoint is what is known of one endpoint.
type Endpoint struct {
	Host
	// Listed is false after the host list has dropped the host.
	Listed bool
	// State and Process come from the sidecar's latest report.
	State     State
	ProcessID uint64
	// Probed is true while a control stream tries the endpoint, so that traffic
	// need not find out whether it responds again.
	Probed bool

	lastResponse time.Time
	failures     int
	probeAt      time.Time
}

// Table is the state of all endpoints, keyed by name. It is not safe for
// concurrent use; the control goroutine owns it.
type Table struct {
	policy    Policy
	endpoints map[string]*Endpoint
}

// New returns an empty table.
func New(p Policy) *Table { return &Table{policy: p, endpoints: map[string]*Endpoint{}} }

// Get returns a copy of an endpoint.
func (t *Table) Get(name string) (Endpoint, bool) {
	e, ok := t.endpoints[name]
	if !ok {
		return Endpoint{}, false
	}
	return *e, true
}

// All calls yield with a copy of each endpoint, in no order.
func (t *Table) All(yield func(Endpoint) bool) {
	for _, e := range t.endpoints {
		if !yield(*e) {
			return
		}
	}
}

// ApplyHostList applies rows of the host list. A full list also marks every other
// endpoint as no longer listed.
func (t *Table) ApplyHostList(rows []Host, full bool) {
	if full {
		for _, e := range t.endpoints {
			e.Listed = false
		}
	}
	for _, row := range rows {
		t.listOne(row)
	}
}

func (t *Table) listOne(row Host) {
	e, known := t.endpoints[row.Name]
	switch {
	case !known:
		t.endpoints[row.Name] = &Endpoint{Host: row, Listed: true}
	case row.Incarnation < e.Incarnation:
		// The row is older than what the list has said before.
		e.Listed = true
	case row.Incarnation > e.Incarnation || row.Address != e.Address:
		// A replaced host starts without the evidence against the old one.
		t.endpoints[row.Name] = &Endpoint{Host: row, Listed: true, Probed: e.Probed}
	default:
		e.Host, e.Listed = row, true
	}
}

// RemoveFromHostList applies removals from the host list.
func (t *Table) RemoveFromHostList(names []string) {
	for _, name := range names {
		if e, ok := t.endpoints[name]; ok {
			e.Listed = false
		}
	}
}

// ApplyReport applies a sidecar's report and returns whether it was accepted. A
// report of an older process of the same endpoint is ignored.
func (t *Table) ApplyReport(name string, process uint64, state State, now time.Time) bool {
	e, ok := t.endpoints[name]
	if !ok || process < e.ProcessID {
		return false
	}
	e.ProcessID, e.State = process, state
	e.respond(now)
	return true
}

// RecordResponse applies a response to traffic and reports whether it ended a time
// of failures. It proves a connection, but says nothing of the engine.
func (t *Table) RecordResponse(name string, now time.Time) bool {
	e, ok := t.endpoints[name]
	if !ok {
		return false
	}
	recovered := e.failures > 0
	e.respond(now)
	return recovered
}

func (e *Endpoint) respond(now time.Time) {
	e.lastResponse = now
	e.failures = 0
}

// RecordFailure applies a failed dial, a broken connection or silence of the
// control stream. The process behind the address is no longer known.
func (t *Table) RecordFailure(name string, now time.Time) {
	e, ok := t.endpoints[name]
	if !ok {
		return
	}
	wait := retry.Backoff(t.policy.InitialProbeDelay, t.policy.MaxProbeDelay, e.failures, routing.HashName(name))
	e.failures++
	e.probeAt = now.Add(wait)
	e.State = StateUnknown
}

// SetProbed records whether a control stream tries the endpoint.
func (t *Table) SetProbed(name string, probed bool) {
	if e, ok := t.endpoints[name]; ok {
		e.Probed = probed
	}
}

// ProbeDue reports whether a connection to the endpoint may be tried now.
func (t *Table) ProbeDue(name string, now time.Time) bool {
	e, ok := t.endpoints[name]
	return ok && (e.failures == 0 || !now.Before(e.probeAt))
}

// IsSilent reports whether nothing was heard from the endpoint for the policy's
// time of silence.
func (t *Table) IsSilent(name string, now time.Time) bool {
	e, ok := t.endpoints[name]
	return !ok || !t.responsive(e, now)
}

// Usable reports whether an endpoint may get new work as far as host list,
// reports and evidence say. Operators' zone and host states are applied by the
// caller. An endpoint without any response is usable, because its first work
// is sent only after a successful dial. After failures, traffic tries one again
// when its wait is over, unless a control stream does so.
func (t *Table) Usable(name string, now time.Time) bool {
	e, ok := t.endpoints[name]
	if !ok || e.Leaving {
		return false
	}
	switch e.State {
	case StateStarting, StateDraining, StateEngineDown:
		return false
	}
	if e.failures > 0 {
		return e.Listed && !e.Probed && !now.Before(e.probeAt)
	}
	return e.Listed || t.responsive(e, now)
}

func (t *Table) responsive(e *Endpoint, now time.Time) bool {
	return !e.lastResponse.IsZero() && now.Sub(e.lastResponse) < t.policy.SilenceTimeout
}

// UsabilityChanged reports whether an endpoint's use has changed after since by the passing
// of time alone: a wait before the next try has ended, or an endpoint that the
// host list no longer names has fallen silent.
func (t *Table) UsabilityChanged(since, now time.Time) bool {
	passed := func(at time.Time) bool { return at.After(since) && !at.After(now) }
	for _, e := range t.endpoints {
		if e.failures > 0 && passed(e.probeAt) {
			return true
		}
		if !e.Listed && passed(e.lastResponse.Add(t.policy.SilenceTimeout)) {
			return true
		}
	}
	return false
}

// Expire forgets endpoints that are neither listed nor responsive and returns
// their names.
func (t *Table) Expire(now time.Time) []string {
	var gone []string
	for name, e := range t.endpoints {
		if !e.Listed && (e.failures > 0 || !t.responsive(e, now)) {
			delete(t.endpoints, name)
			gone = append(gone, name)
		}
	}
	return gone
}
