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

var testStart = time.Unix(1_000, 0)

func newServingLoop() *Loop {
	c := DefaultConfig()
	c.Engine, c.Invariants, c.Endpoint, c.Zone = newSimEngine(), invariant.NewRegistry(nil), "e1", "z1"
	l := New(c)
	l.ctx = context.Background()
	l.startServing(testStart, 100_000, 1_000)
	return l
}

func newTestAttempt(id string) *Attempt {
	o := Offer{RequestID: id, AttemptNumber: 1, PromptTokens: 10, Deadline: testStart.Add(time.Minute)}
	return &Attempt{Offer: o, decisions: make(chan Decision, 2), aborted: make(chan struct{})}
}

// Guards against an invariant check that can never fail. Each case bypasses the
// checks that normally prevent the invalid state.
func TestInvariantChecksDetectViolations(t *testing.T) {
	tests := map[invariant.Name]func(l *Loop){
		invariant.RequestOutcome: func(l *Loop) {
			l.attempts["r/1"] = newTestAttempt("r")
			l.assertOutcomes(testStart.Add(time.Minute + outcomeGracePeriod))
			l.assertOutcomes(testStart.Add(time.Hour))
		},
		invariant.MemoryOwner: func(l *Loop) {
			leak := engine.State{Allocations: []engine.Allocation{{ID: "x", Kind: engine.AllocationExport, Tokens: 5}}}
			for s := range 6 {
				now := testStart.Add(time.Duration(s) * memoryReconcileInterval)
				l.reconcileMemory(now, stateMessage{requestedAt: now, state: leak})
			}
		},
		invariant.RampLimit: func(l *Loop) {
			for _, id := range []string{"a", "b"} {
				l.queue.SetCapacity(admission.Capacity{MemoryTokens: 100_000, LimitTokens: 100_000})
				_ = l.queue.Enqueue(testStart, admission.Item{ID: id, PromptTokens: 8_000, Deadline: testStart.Add(time.Minute)})
				for _, o := range l.queue.Admit(testStart) {
					l.admit(testStart, newTestAttempt(id), o)
				}
			}
		},
		invariant.ZoneOut: func(l *Loop) {
			l.applyConfigSlice(testStart, ConfigSlice{Revision: 1, ZoneOut: true})
			l.recordDispatch(testStart.Add(placementGracePeriod-1), newTestAttempt("in time"))
			l.recordDispatch(testStart.Add(placementGracePeriod), newTestAttempt("r"))
		},
		invariant.LeavingHost: func(l *Loop) {
			l.applyConfigSlice(testStart, ConfigSlice{Revision: 1, HostLeaving: true})
			l.recordDispatch(testStart.Add(placementGracePeriod-1), newTestAttempt("in time"))
			l.recordDispatch(testStart.Add(placementGracePeriod), newTestAttempt("r"))
		},
		invariant.NotRunVerdict: func(l *Loop) {
			r := newTestAttempt("r")
			l.recordDispatch(testStart, r)
			l.refuse(r, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "wrong"))
		},
		invariant.AtMostOnce: func(l *Loop) {
			l.recordDispatch(testStart, newTestAttempt("r"))
			second := newTestAttempt("r")
			second.Offer.AttemptNumber = 2
			l.recordDispatch(testStart, second)
		},
		invariant.ShutdownComplete: func(l *Loop) {
			l.assertNoAttemptsLeft()
			l.attempts["r/1"] = newTestAttempt("r")
			l.assertNoAttemptsLeft()
		},
		invariant.ConfigMonotonic: func(l *Loop) {
			l.applyConfigSlice(testStart, ConfigSlice{Revision: 2})
			l.applyConfigSlice(testStart, ConfigSlice{Revision: 1})
		},
	}
	for name, violate := range tests {
		t.Run(string(name), func(t *testing.T) {
			l := newServingLoop()
			violate(l)
			if l.config.Invariants.Count(name) != 1 || l.config.Invariants.Total() != 1 {
				t.Errorf("%d violations of %d in total, want exactly this one; last: %s", l.config.Invariants.Count(name), l.config.Invariants.Total(), l.config.Invariants.LastMessage(name))
			}
			l.background.Wait()
		})
	}
}

// Guards against a dispatch log that grows with the number of requests.
func TestDispatchLogIsBounded(t *testing.T) {
	d := newDispatchLog()
	for i := range maxDispatchLogEntries + 10 {
		d.add(testStart, Offer{RequestID: "r", AttemptNumber: uint32(i)}.ID())
	}
	if len(d.expiresAt) > maxDispatchLogEntries || len(d.insertionOrder) > maxDispatchLogEntries || d.has(testStart, "r/0") || !d.has(testStart, "r/70") {
		t.Errorf("%d entries, want the latest %d", len(d.expiresAt), maxDispatchLogEntries)
	}
	d.add(testStart.Add(dispatchLogExpiry), "late")
	if len(d.expiresAt) != 1 {
		t.Errorf("%d entries after the expiry, want 1", len(d.expiresAt))
	}
}

// Guards against throttling a plain service by a prefill rate that was
// estimated from requests whose duration does not depend on their length.
func TestPlainServiceHasNoPrefillRate(t *testing.T) {
	l := newServingLoop()
	l.config.RampEnabled = false
	l.startServing(testStart, 100_000, 0)
	l.limiter.RecordAdmission(testStart, "a", 4_000, 4_000, 4_000)
	l.limiter.RecordFirstToken(testStart.Add(time.Second), "a")
	if c := l.capacity(); c.PrefillRate != 0 || c.LimitTokens != 100_000 {
		t.Errorf("capacity = %+v, want no prefill rate and the total memory as limit", c)
	}
}
