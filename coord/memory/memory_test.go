package memory

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1_000, 0)

// simulation is an engine with a ledger. Its reports may be late and actions
// may be lost.
type simulation struct {
	l           *Ledger
	now         time.Time
	lastID      int
	allocations map[string]Allocation
	ownedUntil  map[string]time.Time
	report      []Allocation
	requested   time.Time
}

func (s *simulation) listAllocations() []Allocation {
	var list []Allocation
	for i := range s.lastID + 1 {
		if a, ok := s.allocations[fmt.Sprint(i)]; ok {
			list = append(list, a)
		}
	}
	return list
}

func (s *simulation) reconcile(t *rapid.T, lost bool) {
	for _, a := range s.l.Reconcile(s.now, s.requested, s.report) {
		until, owned := s.ownedUntil[a.Allocation.ID]
		if _, alive := s.ownedUntil[a.Allocation.Owner]; !owned && alive {
			until, owned = s.ownedUntil[a.Allocation.Owner], true
		}
		if owned && s.now.Before(until) {
			t.Fatalf("%s reclaims %+v, which is owned until %s", a.Kind, a.Allocation, until)
		}
		if !lost {
			delete(s.allocations, a.Allocation.ID)
		}
	}
}

// Guards against freeing memory that still has an owner, and against memory
// without an owner staying allocated once actions reach the engine.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{l: New(DefaultConfig()), now: start, allocations: map[string]Allocation{}, ownedUntil: map[string]time.Time{}, requested: start}
		kinds := []Kind{KindRunning, KindHold, KindExport, KindImport, KindPrefix}
		t.Repeat(map[string]func(*rapid.T){
			"own": func(t *rapid.T) {
				s.lastID++
				id := fmt.Sprint(s.lastID)
				kind := rapid.SampledFrom(kinds[:4]).Draw(t, "kind")
				until := s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "life")) * time.Second)
				s.l.Put(s.now, Entry{ID: id, Kind: kind, Owner: id, Tokens: 10, Expires: until})
				s.ownedUntil[id] = until
				s.allocations[id] = Allocation{ID: id, Kind: kind, Owner: id, Tokens: 10}
			},
			"leak": func(t *rapid.T) {
				s.lastID++
				id := fmt.Sprint(s.lastID)
				s.allocations[id] = Allocation{ID: id, Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Tokens: 10}
			},
			"transfer": func(t *rapid.T) {
				owner := fmt.Sprint(rapid.IntRange(1, s.lastID+1).Draw(t, "owner"))
				s.lastID++
				id := fmt.Sprint(s.lastID)
				kind := rapid.SampledFrom([]Kind{KindExport, KindImport}).Draw(t, "kind")
				s.allocations[id] = Allocation{ID: id, Kind: kind, Owner: owner, Tokens: 10}
			},
			"release": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, s.lastID+1).Draw(t, "id"))
				s.l.Release(id)
				delete(s.ownedUntil, id)
			},
			"restart": func(*rapid.T) {
				clear(s.allocations)
				clear(s.ownedUntil)
				s.l.Clear()
			},
			"report": func(*rapid.T) { s.report, s.requested = s.listAllocations(), s.now },
			"sweep":  func(t *rapid.T) { s.reconcile(t, rapid.Bool().Draw(t, "lost")) },
			"wait": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second)
			},
		})
		// Once reports and actions get through again, all memory is reclaimed.
		for range 200 {
			s.now = s.now.Add(5 * time.Second)
			s.report, s.requested = s.listAllocations(), s.now
			s.reconcile(t, false)
		}
		if len(s.allocations) != 0 || len(s.l.entries) != 0 || len(s.l.unownedSince) != 0 || s.l.UnaccountedTokens() != 0 {
			t.Fatalf("%v is still allocated, ledger %+v", s.allocations, s.l)
		}
	})
}

// Guards against a leak that stays uncounted while the engine ignores actions.
func TestLeakIsCounted(t *testing.T) {
	l := New(DefaultConfig())
	leak := []Allocation{{ID: "x", Kind: KindExport, Tokens: 10}}
	for s := range 5 {
		now := start.Add(time.Duration(s) * 5 * time.Second)
		// There is no action during the grace, because the report can be older
		// than the release by the owner.
		if actions := l.Reconcile(now, now, leak); (len(actions) > 0) != (s >= 2) {
			t.Errorf("after %d s: %v, want an action once the grace of 10 s has passed", 5*s, actions)
		}
	}
	if l.LeakedTokens() != 0 || l.UnaccountedTokens() != 10 {
		t.Errorf("after 20 s: leaked %d, unaccounted %d; want 0 and 10", l.LeakedTokens(), l.UnaccountedTokens())
	}
	now := start.Add(25 * time.Second)
	if actions := l.Reconcile(now, now, leak); len(actions) != 1 || l.LeakedTokens() != 10 {
		t.Errorf("after 25 s: %v, leaked %d; want a repeated action and 10", actions, l.LeakedTokens())
	}
}
