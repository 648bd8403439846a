package gossip

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskinstand.example/coord/config"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// edit applies an operator's edit based on the given head. It also checks the
// outcome that Resolve returns if the response to the compare-and-swap is lost: after
// the write, and in half of the edits before it.
func (s *simulation) edit(base config.Head, id, state string) {
	if !s.store.available || base.Revision > s.store.readHead().Revision {
		return
	}
	e := config.Edit{
		ID: id, Author: "operator", Base: base.Revision, Time: s.now,
		Rows: []config.RowEdit{{RowID: config.RowID{Table: config.TablePools, Section: "zone a"}, Text: "state = " + state + "\n"}},
	}
	plan, err := config.PlanEdit(s.store.readHead(), s.store.document(), e)
	if base.Revision != s.store.readHead().Revision {
		var conflict *config.ConflictError
		if !errors.As(err, &conflict) || conflict.ConflictingChange.Revision != base.Revision+1 {
			s.t.Fatalf("edit based on revision %d: error %v, want a conflict that names the conflicting change", base.Revision, err)
		}
		return
	}
	if err != nil {
		s.t.Fatal(err)
	}
	for digest, value := range plan.Shards {
		s.store.shards[digest] = value
	}
	if s.random.IntN(2) == 0 {
		if outcome, _ := s.store.readHead().Resolve(e); outcome != config.OutcomeRetry {
			s.t.Fatalf("outcome of a write that did not reach the store = %s, want repeat", outcome)
		}
	}
	value, err := plan.Head.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.head, s.store.revision = value, plan.Head.Revision
	if outcome, _ := s.store.readHead().Resolve(e); outcome != config.OutcomeAccepted {
		s.t.Fatalf("outcome after the write = %s, want accepted", outcome)
	}
	for _, digest := range plan.ObsoleteShards {
		delete(s.store.shards, digest)
	}
	s.accepted = append(s.accepted, acceptedEdit{revision: plan.Head.Revision, acceptedAt: s.now})
}

func (s *simulation) runEvent(t *rapid.T, i int) {
	switch rapid.SampledFrom([]string{"edit", "race", "outage", "heal", "restart", "wait"}).Draw(t, "event") {
	case "edit":
		s.edit(s.store.readHead(), fmt.Sprintf("c%d", i), "out")
	case "race":
		base := s.store.readHead()
		s.edit(base, fmt.Sprintf("c%d-a", i), "out")
		s.edit(base, fmt.Sprintf("c%d-b", i), "in")
	case "outage":
		s.store.available = false
	case "heal":
		if !s.store.available {
			s.store.available, s.store.availableSince = true, s.now
		}
	case "restart":
		s.restart(rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node"))
	}
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		s.step()
	}
}

// Guards against an edit that is not in force everywhere within 15 s after the
// store is available, and against a process that returns to an older revision, with
// edits, store outages, restarts and message loss in any order.
func TestInForceEverywhere(t *testing.T) {
	var longest time.Duration
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 30).Draw(t, "loss percent"),
			rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "gateways per zone"))
		for i := range 8 {
			s.runEvent(t, i)
		}
		s.store.available, s.store.availableSince = true, s.now
		for range int(propagationLimit/simStep) + 2 {
			s.step()
		}
		longest = max(longest, s.longestPropagation)
	})
	t.Logf("longest time to be in force everywhere: %s", longest)
}

// Guards against a lease that changes hands without a fault and an edit that is not
// in force everywhere after 10 s, in zones of 38 gateways, the design size. The test
// also logs the number of lease attempts. It grows if heartbeats take longer than
// ReaderTimeout to spread in a zone: the gateways then keep trying to acquire the
// lease and load the store.
func TestLargeZone(t *testing.T) {
	for seed := range uint64(2) {
		s := newSimulation(t, seed, 0, 10, 38)
		for range 200 {
			s.step()
		}
		before, startup := s.store.nextID, s.leaseAttempts
		s.edit(s.store.readHead(), "c", "out")
		for range 200 {
			s.step()
		}
		if !s.accepted[0].propagated || s.store.nextID != before {
			t.Fatalf("in force everywhere: %t, want true; the lease changed hands %d times without a fault, want 0", s.accepted[0].propagated, s.store.nextID-before)
		}
		t.Logf("380 gateways: in force everywhere after %s; lease attempts in the first 10 s: %d, in the next 10 s: %d", s.longestPropagation, startup, s.leaseAttempts-startup)
	}
}
