package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	store "siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/invariant"
	fake "siskinstand.example/fakes/kvstore"
	"siskinstand.example/fakes/server"
	"siskinstand.example/gateway/kvstore"
)

// system is a set of gateways wired as main does, on one store.
type system struct {
	fleet
	fake     *fake.Store
	store    *store.Client
	head     config.Head
	document *config.Document
	version  int64
}

func newSystem(t *testing.T) *system {
	t.Helper()
	var s *server.Server
	f := fake.New(fake.Config{OnRestart: func(d time.Duration) { s.StopFor(d) }})
	s, err := server.Start("127.0.0.1:0", f.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	limits := store.DefaultLimits()
	limits.CallTimeout = time.Second
	return &system{
		fleet: fleet{invariants: invariant.NewRegistry(nil)}, fake: f, store: store.NewClient(s.Address(), limits),
		head: config.EmptyHead(), document: config.EmptyDocument(),
	}
}

func (s *system) gateway(t *testing.T, id, zone string) *member {
	t.Helper()
	inForce, alarms := config.NewActive(s.invariants), &kvstore.Alarms{}
	book := kvstore.NewClaimLog(kvstore.ClaimLogConfig{Store: s.store, ProcessID: id, Invariants: s.invariants})
	var node *Node
	reader := kvstore.NewReader(kvstore.ReaderConfig{
		Store: s.store, Zone: zone, ProcessID: id, InForce: inForce, Alarms: alarms,
		OnReaderRole: func(reading bool) { node.SetReader(reading) },
	})
	node = New(Config{ID: id, Zone: zone, InForce: inForce, Alarms: alarms, TryBecomeReader: reader.TryAcquire, ClaimLog: book, Peers: s.list, DialOptions: plain})
	return s.serve(t, node, reader.Run, book.Run)
}

// accept writes an edit of the zone's state to the store.
func (s *system) accept(t *testing.T, id, state string) uint64 {
	t.Helper()
	edit := config.Edit{ID: id, Author: "ann", Base: s.head.Revision, Time: time.Now(), Rows: []config.RowEdit{
		{RowID: config.RowID{Table: config.TablePools, Section: "zone z1"}, Text: "state = " + state + "\n"},
	}}
	plan, err := config.PlanEdit(s.head, s.document, edit)
	if err != nil {
		t.Fatal(err)
	}
	for digest, value := range plan.Shards {
		if _, err := s.store.CompareAndSwap(t.Context(), config.ShardPrefix+digest, value, 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	value, _ := plan.Head.Encode()
	if s.version, err = s.store.CompareAndSwap(t.Context(), config.HeadKey, value, s.version, 0); err != nil {
		t.Fatal(err)
	}
	s.document, err = s.document.Apply(config.Change{Base: s.head.Revision, Revision: plan.Head.Revision, Rows: edit.Rows})
	if err != nil {
		t.Fatal(err)
	}
	s.head = plan.Head
	return s.head.Revision
}

// Guards against parts that work alone but not wired together: reader leases
// of two zones, a reader that stops, claims through the preferred gateway.
func TestSystem(t *testing.T) {
	s := newSystem(t)
	first := s.accept(t, "c1", "out")
	var members []*member
	for i := range 4 {
		members = append(members, s.gateway(t, fmt.Sprintf("g%d", i), fmt.Sprintf("z%d", i%2)))
	}
	for _, m := range members {
		m.assertReaches(t, first)
	}
	key := claim.NewKey("a", "r", "k")
	claimed := 0
	for i, m := range members {
		r, err := m.ClaimForwarder().Claim(t.Context(), key, fmt.Sprint("claim", i), 1)
		if err != nil {
			t.Errorf("%s: %v", m.ID, err)
		}
		if r.State == claim.StateClaimed {
			claimed++
		}
	}
	if claimed != 1 {
		t.Errorf("%d of 4 gateways claimed the key, want 1", claimed)
	}
	// A claim of unknown outcome must not hold its key: its caller gives up
	// within the 50 ms that a batch waits, after which the claim takes effect.
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if r, err := members[3].ClaimForwarder().Claim(short, claim.NewKey("a", "r", "lost"), "lost", 1); err == nil {
		t.Errorf("claim of a caller that gave up = %s", r.State)
	}
	deadline := time.Now().Add(15 * time.Second)
	for i := 0; ; i++ {
		r, err := members[0].ClaimForwarder().Claim(t.Context(), claim.NewKey("a", "r", "lost"), fmt.Sprint("again", i), 1)
		if err == nil && r.State == claim.StateClaimed {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the key is still %s after 15 s, %v", r.State, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, m := range members[:3] {
		m.stop()
	}
	began := time.Now()
	second := s.accept(t, "c2", "in")
	members[3].assertReaches(t, second)
	t.Logf("in force %s after three of four gateways stopped and an edit was made", time.Since(began).Round(100*time.Millisecond))
	if s.invariants.Total() != 0 {
		t.Error("an invariant is violated")
	}
}
