package control

import (
	"context"
	"testing"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/verdict"
)

var start = time.Unix(1_000, 0)

func quietLoop() *Loop {
	c := DefaultConfig()
	c.Engine, c.Invariants, c.Endpoint, c.Zone = newSimEngine(), invariant.NewRegistry(nil), "e1", "z1"
	l := New(c)
	l.ctx = context.Background()
	l.openService(start, 100_000, 1_000)
	return l
}

func ticketOf(id string) *Attempt {
	o := Offer{RequestID: id, AttemptNumber: 1, PromptTokens: 10, Deadline: start.Add(time.Minute)}
	return &Attempt{Offer: o, decisions: make(chan Decision, 2), aborted: make(chan struct{})}
}

// Guards against an invariant whose check cannot fail. Each case goes around
// the gate that normally keeps the state away.
func TestInvariantsAreViolatedOnPurpose(t *testing.T) {
	tests := map[invariant.Name]func(l *Loop){
		invariant.RequestOutcome: func(l *Loop) {
			l.attempts["r/1"] = ticketOf("r")
			l.checkOutcomes(start.Add(time.Minute + outcomeGrace))
			l.checkOutcomes(start.Add(time.Hour))
		},
		invariant.MemoryOwner: func(l *Loop) {
			leak := engine.State{Allocations: []engine.Allocation{{ID: "x", Kind: engine.AllocationExport, Tokens: 5}}}
			for s := range 6 {
				now := start.Add(time.Duration(s) * sweepInterval)
				l.sweep(now, stateMessage{requested: now, state: leak})
			}
		},
		invariant.RampLimit: func(l *Loop) {
			for _, id := range []string{"a", "b"} {
				l.queue.SetCapacity(admission.Capacity{MemoryTokens: 100_000, LimitTokens: 100_000})
				_ = l.queue.Enqueue(start, admission.Item{ID: id, PromptTokens: 8_000, Deadline: start.Add(time.Minute)})
				for _, o := range l.queue.Admit(start) {
					l.admit(start, ticketOf(id), o)
				}
			}
		},
		invariant.ZoneOut: func(l *Loop) {
			l.setSlice(start, ConfigSlice{Revision: 1, ZoneOut: true})
			l.startRun(start.Add(placementGrace-1), ticketOf("in time"))
			l.startRun(start.Add(placementGrace), ticketOf("r"))
		},
		invariant.LeavingHost: func(l *Loop) {
			l.setSlice(start, ConfigSlice{Revision: 1, HostLeaving: true})
			l.startRun(start.Add(placementGrace-1), ticketOf("in time"))
			l.startRun(start.Add(placementGrace), ticketOf("r"))
		},
		invariant.NotRunVerdict: func(l *Loop) {
			r := ticketOf("r")
			l.startRun(start, r)
			l.refuse(r, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "wrong"))
		},
		invariant.AtMostOnce: func(l *Loop) {
			l.startRun(start, ticketOf("r"))
			second := ticketOf("r")
			second.Offer.AttemptNumber = 2
			l.startRun(start, second)
		},
		invariant.ShutdownComplete: func(l *Loop) {
			l.checkShutdown()
			l.attempts["r/1"] = ticketOf("r")
			l.checkShutdown()
		},
		invariant.ConfigMonotonic: func(l *Loop) {
			l.setSlice(start, ConfigSlice{Revision: 2})
			l.setSlice(start, ConfigSlice{Revision: 1})
		},
	}
	for name, violate := range tests {
		t.Run(string(name), func(t *testing.T) {
			l := quietLoop()
			violate(l)
			if l.config.Invariants.Count(name) != 1 || l.config.Invariants.Total() != 1 {
				t.Errorf("%d violations of %d in all, want this one alone; last: %s", l.config.Invariants.Count(name), l.config.Invariants.Total(), l.config.Invariants.LastMessage(name))
			}
			l.background.Wait()
		})
	}
}

// Guards against state that grows with the number of requests.
func TestSeenIsBounded(t *testing.T) {
	s := newSeen()
	for i := range maxSeen + 10 {
		s.add(start, Offer{RequestID: "r", AttemptNumber: uint32(i)}.ID())
	}
	if len(s.until) > maxSeen || len(s.order) > maxSeen || s.has(start, "r/0") || !s.has(start, "r/70") {
		t.Errorf("%d entries, want the latest %d", len(s.until), maxSeen)
	}
	s.add(start.Add(seenExpiry), "late")
	if len(s.until) != 1 {
		t.Errorf("%d entries after the expiry, want 1", len(s.until))
	}
}

// Guards against a plain service that is throttled by a prefill speed learnt
// from requests whose time does not depend on their length.
func TestPlainServiceHasNoPrefillSpeed(t *testing.T) {
	l := quietLoop()
	l.config.RampEnabled = false
	l.openService(start, 100_000, 0)
	l.limiter.RecordAdmission(start, "a", 4_000, 4_000, 4_000)
	l.limiter.RecordFirstToken(start.Add(time.Second), "a")
	if c := l.capacity(); c.PrefillRate != 0 || c.LimitTokens != 100_000 {
		t.Errorf("capacity = %+v, want no prefill speed and a limit of all tokens", c)
	}
}
