// Package membership determines which endpoints may receive new work. It combines
// the host list, the sidecars' reports and the results of traffic. Because the host
// list lags behind, it alone neither removes an endpoint that still responds nor
// directs work to one that does not.
package membership

import (
	"time"

	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/routing"
)

// State is the state of an endpoint as reported by its sidecar.
type State string

// States of an endpoint. StateUnknown means that there is no current report.
const (
	StateUnknown    State = ""
	StateStarting   State = "starting"
	StateServing    State = "serving"
	StateDraining   State = "draining"
	StateEngineDown State = "engine_down"
)

// Policy holds the timeouts and probe delays.
type Policy struct {
	// SilenceTimeout is the time after the latest response at which an endpoint counts
	// as silent. A silent endpoint that is missing from the host list is removed.
	SilenceTimeout time.Duration
	// InitialProbeDelay is the delay, before jitter, until an unreachable endpoint is
	// probed for the first time. It doubles with each failure up to MaxProbeDelay.
	InitialProbeDelay time.Duration
	MaxProbeDelay     time.Duration
}

// Host is an entry of the host list.
type Host struct {
	Name        string
	Zone        string
	Service     string
	Address     string
	Incarnation uint64
	Leaving     bool
}

// Endpoint is the state of one endpoint.
type Endpoint struct {
	Host
	// Listed reports whether the host list contains the host.
	Listed bool
	// State and ProcessIncarnation are taken from the sidecar's latest report. A
	// higher ProcessIncarnation belongs to a later process.
	State              State
	ProcessIncarnation uint64
	// Probed is true while a control stream probes the endpoint, so that no request
	// is needed to detect that it responds again.
	Probed bool

	lastResponse        time.Time
	consecutiveFailures int
	nextProbe           time.Time
}

// Table holds the state of all endpoints by name. It is not safe for concurrent
// use; the control goroutine owns it.
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

// All iterates over copies of all endpoints in unspecified order.
func (t *Table) All(yield func(Endpoint) bool) {
	for _, e := range t.endpoints {
		if !yield(*e) {
			return
		}
	}
}

// ReplaceHostList applies a complete host list. Endpoints that it does not contain are
// marked as no longer listed.
func (t *Table) ReplaceHostList(hosts []Host) {
	for _, e := range t.endpoints {
		e.Listed = false
	}
	t.UpdateHostList(hosts)
}

// UpdateHostList applies entries of the host list and leaves other endpoints unchanged.
func (t *Table) UpdateHostList(hosts []Host) {
	for _, host := range hosts {
		t.applyHost(host)
	}
}

func (t *Table) applyHost(host Host) {
	e, known := t.endpoints[host.Name]
	switch {
	case !known:
		t.endpoints[host.Name] = &Endpoint{Host: host, Listed: true}
	case host.Incarnation < e.Incarnation:
		// The entry is outdated: a newer incarnation is already known.
		e.Listed = true
	case host.Incarnation > e.Incarnation || host.Address != e.Address:
		// The host was replaced; failures of the old one do not count against it.
		t.endpoints[host.Name] = &Endpoint{Host: host, Listed: true, Probed: e.Probed}
	default:
		e.Host, e.Listed = host, true
	}
}

// RemoveFromHostList marks endpoints as no longer listed.
func (t *Table) RemoveFromHostList(names []string) {
	for _, name := range names {
		if e, ok := t.endpoints[name]; ok {
			e.Listed = false
		}
	}
}

// ApplyReport applies a sidecar's report and returns whether it was accepted.
// Reports for unknown endpoints and from an older process are rejected.
func (t *Table) ApplyReport(name string, incarnation uint64, state State, now time.Time) bool {
	e, ok := t.endpoints[name]
	if !ok || incarnation < e.ProcessIncarnation {
		return false
	}
	e.ProcessIncarnation, e.State = incarnation, state
	e.recordResponse(now)
	return true
}

// RecordResponse records a response to a request and reports whether it ended a
// series of failures. A response shows that the endpoint is reachable, but not that
// its engine works, so the reported state is unchanged.
func (t *Table) RecordResponse(name string, now time.Time) bool {
	e, ok := t.endpoints[name]
	if !ok {
		return false
	}
	recovered := e.consecutiveFailures > 0
	e.recordResponse(now)
	return recovered
}

func (e *Endpoint) recordResponse(now time.Time) {
	e.lastResponse = now
	e.consecutiveFailures = 0
}

// RecordFailure records a failed dial, a broken connection or a silent control
// stream. The reported state is discarded, because another process may have taken
// over the address.
func (t *Table) RecordFailure(name string, now time.Time) {
	e, ok := t.endpoints[name]
	if !ok {
		return
	}
	delay := retry.Backoff(t.policy.InitialProbeDelay, t.policy.MaxProbeDelay, e.consecutiveFailures, routing.HashName(name))
	e.consecutiveFailures++
	e.nextProbe = now.Add(delay)
	e.State = StateUnknown
}

// SetProbed records whether a control stream probes the endpoint.
func (t *Table) SetProbed(name string, probed bool) {
	if e, ok := t.endpoints[name]; ok {
		e.Probed = probed
	}
}

// ProbeDue reports whether the endpoint may be probed now.
func (t *Table) ProbeDue(name string, now time.Time) bool {
	e, ok := t.endpoints[name]
	return ok && (e.consecutiveFailures == 0 || !now.Before(e.nextProbe))
}

// IsSilent reports whether the endpoint is unknown or has not responded within the
// silence timeout.
func (t *Table) IsSilent(name string, now time.Time) bool {
	e, ok := t.endpoints[name]
	return !ok || !t.isResponsive(e, now)
}

// Usable reports whether an endpoint may receive new work according to the host
// list, reports and traffic. The caller applies the operators' zone and host states.
// A listed endpoint that has not responded yet is usable, because work is only sent
// after a successful dial. After failures, a listed endpoint becomes usable again when
// its probe delay has passed, unless a control stream probes it.
func (t *Table) Usable(name string, now time.Time) bool {
	e, ok := t.endpoints[name]
	if !ok || e.Leaving {
		return false
	}
	switch e.State {
	case StateStarting, StateDraining, StateEngineDown:
		return false
	}
	if e.consecutiveFailures > 0 {
		return e.Listed && !e.Probed && !now.Before(e.nextProbe)
	}
	return e.Listed || t.isResponsive(e, now)
}

func (t *Table) isResponsive(e *Endpoint, now time.Time) bool {
	return !e.lastResponse.IsZero() && now.Sub(e.lastResponse) < t.policy.SilenceTimeout
}

// UsabilityChanged reports whether any endpoint may have become usable or unusable
// between since and now without an event, because a probe delay has passed or an
// unlisted endpoint has reached its silence timeout.
func (t *Table) UsabilityChanged(since, now time.Time) bool {
	passed := func(at time.Time) bool { return at.After(since) && !at.After(now) }
	for _, e := range t.endpoints {
		if e.consecutiveFailures > 0 && passed(e.nextProbe) {
			return true
		}
		if !e.Listed && passed(e.lastResponse.Add(t.policy.SilenceTimeout)) {
			return true
		}
	}
	return false
}

// Expire removes endpoints that are not listed and have either failed since their
// latest response or not responded within the silence timeout. It returns their names.
func (t *Table) Expire(now time.Time) []string {
	var removed []string
	for name, e := range t.endpoints {
		if !e.Listed && (e.consecutiveFailures > 0 || !t.isResponsive(e, now)) {
			delete(t.endpoints, name)
			removed = append(removed, name)
		}
	}
	return removed
}
