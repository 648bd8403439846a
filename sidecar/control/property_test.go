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

// Long runs let work finish between the faults.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "100")
}

// machine feeds a world with random work and faults.
type machine struct {
	*world
	revision uint64
	out      bool
	outSince time.Time
	next     int
	crashes  int
}

func (m *machine) offer(t *rapid.T) {
	m.next++
	c := &simCall{startWait: time.Duration(rapid.SampledFrom([]int{0, 30, 1_990, 2_100}).Draw(t, "start")) * time.Millisecond}
	c.offer = Offer{
		RequestID: fmt.Sprint(rapid.IntRange(max(1, m.next-1), m.next).Draw(t, "request")), AttemptNumber: uint32(m.next),
		Account:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
		PromptTokens: rapid.SampledFrom([]int64{100, 1_000, 4_000, 4_000, 30_000}).Draw(t, "prompt"), MaxOutputTokens: 20,
		Deadline:    time.Now().Add(time.Duration(rapid.IntRange(500, 60_000).Draw(t, "budget")) * time.Millisecond),
		Fingerprint: uint64(m.next), Repeatable: rapid.Bool().Draw(t, "repeatable"), Revision: m.revision,
	}
	if rapid.IntRange(0, 7).Draw(t, "poison") == 0 {
		c.body, c.offer.Fingerprint = poisonBody, 1
		c.offer.Isolated = rapid.Bool().Draw(t, "isolated")
	}
	m.call(c)
}

func rarely(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "rarely") == 0 }

func (m *machine) zone(t *rapid.T) {
	m.revision++
	m.out = rarely(t)
	m.outSince = time.Now()
	m.loop.SetConfigSlice(ConfigSlice{Revision: m.revision, ChangedRevision: m.revision, ZoneOut: m.out})
	if m.revision > 1 {
		m.loop.SetConfigSlice(ConfigSlice{Revision: m.revision - 1, ZoneOut: !m.out})
	}
}

func (m *machine) restart(t *rapid.T) {
	if !rarely(t) {
		return
	}
	m.stopSidecar()
	m.startSidecar()
	if m.revision > 0 {
		m.loop.SetConfigSlice(ConfigSlice{Revision: m.revision, ChangedRevision: m.revision, ZoneOut: m.out})
	}
	// A successor learns of suspects from gateways, which this test lacks.
	m.crashes = 0
	m.engine.locked(func() { m.engine.poisonKills = 0 })
}

func (m *machine) check(t *rapid.T) {
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engine.locked(func() {
		perRequest := map[string]int{}
		for _, c := range m.calls {
			ran := m.engine.runs[c.offer.ID()]
			if ran > 1 || (c.outcomes > 0 && c.verdict == verdict.NotRun && ran > 0) {
				t.Fatalf("attempt %s ran %d times with verdict %q", c.offer.ID(), ran, c.verdict)
			}
			if late := c.offer.StartRequired() && c.startWait > StartTimeout; late && ran > 0 {
				t.Fatalf("attempt %s ran although its start came after %s", c.offer.ID(), c.startWait)
			}
			if c.outcomes == 0 && time.Since(c.offer.Deadline) > outcomeGrace {
				t.Fatalf("attempt %s has no outcome", c.offer.ID())
			}
			if !c.offer.Repeatable {
				perRequest[c.offer.RequestID] += ran
			}
		}
		for _, at := range m.engine.starts {
			if m.out && at.Sub(m.outSince) > placementGrace {
				t.Fatal("work started in a zone that is out")
			}
		}
		if m.engine.poisonKills > 2 {
			t.Fatalf("one request killed %d engines", m.engine.poisonKills)
		}
	})
	queued := m.loop.Snapshot().Load.QueuedItems
	if m.out && queued > 0 && time.Since(m.outSince) > placementGrace {
		t.Fatalf("%d requests wait in a zone that is out", queued)
	}
	for _, name := range invariant.Names() {
		// A replaced sidecar cuts off its streams; that is the fault here.
		if name != invariant.ShutdownComplete && m.invariants.Count(name) > 0 {
			t.Fatalf("invariant %s: %s", name, m.invariants.LastMessage(name))
		}
	}
}

// quiet waits until every owner has expired and checks that nothing is left.
func (m *machine) quiet(t *rapid.T) {
	time.Sleep(2 * time.Minute)
	m.check(t)
	m.engine.locked(func() {
		if len(m.engine.pieces) != 0 {
			t.Fatalf("memory without owner: %v", m.engine.pieces)
		}
	})
	s := m.loop.Snapshot()
	if s.Load.RunningItems+s.Load.QueuedItems != 0 || s.HeldTokens != 0 || s.Capacity.MemoryTokens != s.TotalTokens {
		t.Fatalf("an idle endpoint has load %+v and capacity %+v", s.Load, s.Capacity)
	}
	if m.out != (s.State == StateDraining) {
		t.Fatalf("state %s with zone out %v", s.State, m.out)
	}
}

// bubble hides Deadline, which must not be called in a synctest bubble.
type bubble struct{ rapid.TB }

// Guards against broken promises of the sidecar when its engine dies, stalls
// or leaks, its zone goes out and returns, gateways are late and the sidecar
// itself is replaced, in any combination.
func TestSidecarUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(bubble{t}, faults) })
}

func faults(t *rapid.T) {
	m := &machine{world: newWorld()}
	defer m.stopSidecar()
	time.Sleep(time.Second)
	wait := func(t *rapid.T) {
		time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 30, 700, 2_500}).Draw(t, "ms")) * time.Millisecond)
	}
	t.Repeat(map[string]func(*rapid.T){
		"offer 1": m.offer, "offer 2": m.offer, "offer 3": m.offer, "offer 4": m.offer,
		"wait 1": wait, "wait 2": wait, "wait 3": wait, "wait 4": wait,
		"zone": m.zone,
		"crash": func(t *rapid.T) {
			if rarely(t) {
				m.engine.crash()
			}
		},
		"deaf": func(t *rapid.T) {
			m.engine.locked(func() { m.engine.deaf = true })
			time.Sleep(time.Duration(rapid.IntRange(1, 2_000).Draw(t, "ms")) * time.Millisecond)
			m.engine.locked(func() { m.engine.deaf = false })
		},
		"leak": func(*rapid.T) {
			m.next++
			id := fmt.Sprint("leak", m.next)
			m.engine.locked(func() { m.engine.pieces[id] = engine.Allocation{ID: id, Kind: engine.AllocationExport, Tokens: 500} })
		},
		"hold": func(t *rapid.T) {
			id := fmt.Sprint("hold", rapid.IntRange(1, 3).Draw(t, "id"))
			loop := m.loop
			m.handlers.Go(func() {
				_ = loop.AcquireHold(context.Background(), group.Hold{ID: id, Group: "g", Tokens: 700}, 10*time.Second)
			})
		},
		"restart": m.restart,
		"":        m.check,
	})
	m.quiet(t)
}
