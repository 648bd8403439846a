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

// world is an engine with a ledger. Orders can be lost and reports late.
type world struct {
	l      *Ledger
	now    time.Time
	next   int
	pieces map[string]Allocation
	owned  map[string]time.Time
	report []Allocation
	asked  time.Time
}

func (w *world) list() []Allocation {
	var list []Allocation
	for i := range w.next + 1 {
		if p, ok := w.pieces[fmt.Sprint(i)]; ok {
			list = append(list, p)
		}
	}
	return list
}

func (w *world) sweep(t *rapid.T, lost bool) {
	for _, a := range w.l.Reconcile(w.now, w.asked, w.report) {
		until, owned := w.owned[a.Allocation.ID]
		if _, alive := w.owned[a.Allocation.Owner]; !owned && alive {
			until, owned = w.owned[a.Allocation.Owner], true
		}
		if owned && w.now.Before(until) {
			t.Fatalf("%s gives back %+v, which is owned until %s", a.Kind, a.Allocation, until)
		}
		if !lost {
			delete(w.pieces, a.Allocation.ID)
		}
	}
}

// Guards against memory that is freed below its owner, and against memory that
// stays without owner once orders arrive.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{l: New(DefaultConfig()), now: start, pieces: map[string]Allocation{}, owned: map[string]time.Time{}, asked: start}
		kinds := []Kind{KindRunning, KindHold, KindExport, KindImport, KindPrefix}
		t.Repeat(map[string]func(*rapid.T){
			"own": func(t *rapid.T) {
				w.next++
				id := fmt.Sprint(w.next)
				kind := rapid.SampledFrom(kinds[:4]).Draw(t, "kind")
				until := w.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "life")) * time.Second)
				w.l.Put(w.now, Entry{ID: id, Kind: kind, Owner: id, Tokens: 10, Expires: until})
				w.owned[id] = until
				w.pieces[id] = Allocation{ID: id, Kind: kind, Owner: id, Tokens: 10}
			},
			"leak": func(t *rapid.T) {
				w.next++
				id := fmt.Sprint(w.next)
				w.pieces[id] = Allocation{ID: id, Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Tokens: 10}
			},
			"transfer": func(t *rapid.T) {
				owner := fmt.Sprint(rapid.IntRange(1, w.next+1).Draw(t, "owner"))
				w.next++
				id := fmt.Sprint(w.next)
				kind := rapid.SampledFrom([]Kind{KindExport, KindImport}).Draw(t, "kind")
				w.pieces[id] = Allocation{ID: id, Kind: kind, Owner: owner, Tokens: 10}
			},
			"release": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, w.next+1).Draw(t, "id"))
				w.l.Release(id)
				delete(w.owned, id)
			},
			"restart": func(*rapid.T) {
				clear(w.pieces)
				clear(w.owned)
				w.l.Clear()
			},
			"report": func(*rapid.T) { w.report, w.asked = w.list(), w.now },
			"sweep":  func(t *rapid.T) { w.sweep(t, rapid.Bool().Draw(t, "lost")) },
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second)
			},
		})
		// With reports and orders arriving again, everything is given back.
		for range 200 {
			w.now = w.now.Add(5 * time.Second)
			w.report, w.asked = w.list(), w.now
			w.sweep(t, false)
		}
		if len(w.pieces) != 0 || len(w.l.entries) != 0 || len(w.l.unowned) != 0 || w.l.UnaccountedTokens() != 0 {
			t.Fatalf("%v stays, ledger %+v", w.pieces, w.l)
		}
	})
}

// Guards against a leak that no one counts while the engine ignores orders.
func TestLeakIsCounted(t *testing.T) {
	l := New(DefaultConfig())
	leak := []Allocation{{ID: "x", Kind: KindExport, Tokens: 10}}
	for s := range 5 {
		now := start.Add(time.Duration(s) * 5 * time.Second)
		// The report can be older than the end of an owner.
		if actions := l.Reconcile(now, now, leak); (len(actions) > 0) != (s >= 2) {
			t.Errorf("after %d s: %v, want an order from the grace of 10 s on", 5*s, actions)
		}
	}
	if l.LeakedTokens() != 0 || l.UnaccountedTokens() != 10 {
		t.Errorf("after 20 s: leaked %d, foreign %d; want 0 and 10", l.LeakedTokens(), l.UnaccountedTokens())
	}
	now := start.Add(25 * time.Second)
	if actions := l.Reconcile(now, now, leak); len(actions) != 1 || l.LeakedTokens() != 10 {
		t.Errorf("after 25 s: %v, leaked %d; want a repeated order and 10", actions, l.LeakedTokens())
	}
}
