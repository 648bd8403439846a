package control

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/group"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/verdict"
)

// Longer runs let attempts finish between the faults.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "100")
}

// faultMachine is the state machine that applies random work and faults to a
// simulated endpoint.
type faultMachine struct {
	*simEndpoint
	revision     uint64
	zoneOut      bool
	zoneOutSince time.Time
	nextID       int
	crashes      int
}

func (m *faultMachine) offer(t *rapid.T) {
	m.nextID++
	sim := &simAttempt{startDelay: time.Duration(rapid.SampledFrom([]int{0, 30, 1_990, 2_100}).Draw(t, "start")) * time.Millisecond}
	sim.offer = Offer{
		RequestID: fmt.Sprint(rapid.IntRange(max(1, m.nextID-1), m.nextID).Draw(t, "request")), AttemptNumber: uint32(m.nextID),
		Account:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
		PromptTokens: rapid.SampledFrom([]int64{100, 1_000, 4_000, 4_000, 30_000}).Draw(t, "prompt"), MaxOutputTokens: 20,
		Deadline:    time.Now().Add(time.Duration(rapid.IntRange(500, 60_000).Draw(t, "budget")) * time.Millisecond),
		Fingerprint: uint64(m.nextID), Repeatable: rapid.Bool().Draw(t, "repeatable"), Revision: m.revision,
	}
	if rapid.IntRange(0, 7).Draw(t, "poison") == 0 {
		sim.body, sim.offer.Fingerprint = poisonBody, 1
		sim.offer.Isolated = rapid.Bool().Draw(t, "isolated")
	}
	m.startAttempt(sim)
}

func oneInFour(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rarely") == 0 }

func (m *faultMachine) setRandomZoneState(t *rapid.T) {
	m.revision++
	m.zoneOut = oneInFour(t)
	m.zoneOutSince = time.Now()
	m.loop.SetConfigSlice(ConfigSlice{Revision: m.revision, ChangedRevision: m.revision, ZoneOut: m.zoneOut})
	if m.revision > 1 {
		m.loop.SetConfigSlice(ConfigSlice{Revision: m.revision - 1, ZoneOut: !m.zoneOut})
	}
}

func (m *faultMachine) restartSidecar(t *rapid.T) {
	if !oneInFour(t) {
		return
	}
	m.stopSidecar()
	m.startSidecar()
	if m.revision > 0 {
		m.loop.SetConfigSlice(ConfigSlice{Revision: m.revision, ChangedRevision: m.revision, ZoneOut: m.zoneOut})
	}
	// A restarted sidecar gets its suspects from gateways, which this test does
	// not simulate, so the crash count starts again.
	m.crashes = 0
	m.engine.withLock(func() { m.engine.poisonCrashes = 0 })
}

func (m *faultMachine) check(t *rapid.T) {
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engine.withLock(func() {
		perRequest := map[string]int{}
		for _, sim := range m.attempts {
			ran := m.engine.runs[sim.offer.ID()]
			if ran > 1 || (sim.outcomes > 0 && sim.verdict == verdict.NotRun && ran > 0) {
				t.Fatalf("attempt %s ran %d times with verdict %q, want at most one run, and none with not_run", sim.offer.ID(), ran, sim.verdict)
			}
			if late := sim.offer.StartRequired() && sim.startDelay > StartTimeout; late && ran > 0 {
				t.Fatalf("attempt %s ran although Start arrived after %s, want no run after StartTimeout", sim.offer.ID(), sim.startDelay)
			}
			if sim.outcomes == 0 && time.Since(sim.offer.Deadline) > outcomeGracePeriod {
				t.Fatalf("attempt %s has no outcome although its deadline and outcomeGracePeriod have passed", sim.offer.ID())
			}
			if !sim.offer.Repeatable {
				perRequest[sim.offer.RequestID] += ran
			}
		}
		for _, at := range m.engine.starts {
			if m.zoneOut && at.Sub(m.zoneOutSince) > placementGracePeriod {
				t.Fatal("work started in a zone that is out of service")
			}
		}
		if m.engine.poisonCrashes > 2 {
			t.Fatalf("one request crashed the engine %d times, want at most 2", m.engine.poisonCrashes)
		}
	})
	queued := m.loop.Snapshot().Load.QueuedItems
	if m.zoneOut && queued > 0 && time.Since(m.zoneOutSince) > placementGracePeriod {
		t.Fatalf("%d requests are queued in a zone that is out of service", queued)
	}
	for _, name := range invariant.Names() {
		// Replacing the sidecar cuts off its streams, so this violation is
		// expected.
		if name != invariant.ShutdownComplete && m.invariants.Count(name) > 0 {
			t.Fatalf("invariant %s: %s", name, m.invariants.LastMessage(name))
		}
	}
}

// checkIdle waits until all holds and ledger entries have expired and checks
// that no memory, work or hold is left.
func (m *faultMachine) checkIdle(t *rapid.T) {
	time.Sleep(2 * time.Minute)
	m.check(t)
	m.engine.withLock(func() {
		if len(m.engine.allocations) != 0 {
			t.Fatalf("leaked engine memory: %v", m.engine.allocations)
		}
	})
	s := m.loop.Snapshot()
	if s.Load.RunningItems+s.Load.QueuedItems != 0 || s.HeldTokens != 0 || s.Capacity.MemoryTokens != s.TotalTokens {
		t.Fatalf("idle endpoint reports load %+v and capacity %+v, want no load and all memory free", s.Load, s.Capacity)
	}
	if m.zoneOut != (s.State == StateDraining) {
		t.Fatalf("state is %s although ZoneOut is %v", s.State, m.zoneOut)
	}
}

// synctestTB hides Deadline, which must not be called in a synctest bubble.
type synctestTB struct{ rapid.TB }

// Guards against lost outcomes, duplicate runs, leaked memory, work in a zone
// that is out of service and more than two crashes by one request, under random
// combinations of faults: the engine crashes, stops responding or leaks memory,
// the zone goes out of service and returns, gateways send Start late, and the
// sidecar is restarted.
func TestSidecarUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(synctestTB{t}, checkUnderFaults) })
}

func checkUnderFaults(t *rapid.T) {
	m := &faultMachine{simEndpoint: newSimEndpoint()}
	defer m.stopSidecar()
	time.Sleep(time.Second)
	wait := func(t *rapid.T) {
		time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 30, 700, 2_500}).Draw(t, "ms")) * time.Millisecond)
	}
	t.Repeat(map[string]func(*rapid.T){
		"offer 1": m.offer, "offer 2": m.offer, "offer 3": m.offer, "offer 4": m.offer,
		"wait 1": wait, "wait 2": wait, "wait 3": wait, "wait 4": wait,
		"zone": m.setRandomZoneState,
		"crash": func(t *rapid.T) {
			if oneInFour(t) {
				m.engine.crash()
			}
		},
		"deaf": func(t *rapid.T) {
			m.engine.withLock(func() { m.engine.unreachable = true })
			time.Sleep(time.Duration(rapid.IntRange(1, 2_000).Draw(t, "ms")) * time.Millisecond)
			m.engine.withLock(func() { m.engine.unreachable = false })
		},
		"leak": func(*rapid.T) {
			m.nextID++
			id := fmt.Sprint("leak", m.nextID)
			m.engine.withLock(func() {
				m.engine.allocations[id] = engine.Allocation{ID: id, Kind: engine.AllocationExport, Tokens: 500}
			})
		},
		"hold": func(t *rapid.T) {
			id := fmt.Sprint("hold", rapid.IntRange(1, 3).Draw(t, "id"))
			loop := m.loop
			m.handlers.Go(func() {
				_ = loop.AcquireHold(context.Background(), group.Hold{ID: id, Group: "g", Tokens: 700}, 10*time.Second)
			})
		},
		"restart": m.restartSidecar,
		"":        m.check,
	})
	m.checkIdle(t)
}
