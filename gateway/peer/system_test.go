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

// testSystem runs gateways composed as in the real program, on one store.
type testSystem struct {
	testCluster
	fake     *fake.Store
	store    *store.Client
	head     config.Head
	document *config.Document
	version  int64
}

func newTestSystem(t *testing.T) *testSystem {
	t.Helper()
	var s *server.Server
	f := fake.New(fake.Config{OnRestart: func(d time.Duration) { s.StopFor(d) }})
	s, err := server.StartLoopback(f.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	limits := store.DefaultLimits()
	limits.CallTimeout = time.Second
	return &testSystem{
		testCluster: testCluster{invariants: invariant.NewRegistry(nil)}, fake: f, store: store.NewClient(s.Address(), limits),
		head: config.EmptyHead(), document: config.EmptyDocument(),
	}
}

func (s *testSystem) startGateway(t *testing.T, id, zone string) *testNode {
	t.Helper()
	activeConfig, alarms := config.NewActive(s.invariants), &kvstore.Alarms{}
	claimLog := kvstore.NewClaimLog(kvstore.ClaimLogConfig{Store: s.store, ProcessID: id, Invariants: s.invariants})
	var node *Node
	reader := kvstore.NewReader(kvstore.ReaderConfig{
		Store: s.store, Zone: zone, ProcessID: id, ActiveConfig: activeConfig, Alarms: alarms,
		OnReaderRole: func(isReader bool) { node.SetReader(isReader) },
	})
	node = New(Config{ID: id, Zone: zone, ActiveConfig: activeConfig, Alarms: alarms, TryBecomeReader: reader.RequestLease, ClaimLog: claimLog, ListGateways: s.list, DialOptions: insecureDial})
	return s.serve(t, node, reader.Run, claimLog.Run)
}

// writeEdit writes an edit of a zone's state to the store.
func (s *testSystem) writeEdit(t *testing.T, id, state string) uint64 {
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

// Guards against components that fail only in combination: reader leases of two
// availability zones, a reader that stops, claims forwarded to the preferred
// appender.
func TestGatewaysSharingAStore(t *testing.T) {
	s := newTestSystem(t)
	first := s.writeEdit(t, "c1", "out")
	var members []*testNode
	for i := range 4 {
		members = append(members, s.startGateway(t, fmt.Sprintf("g%d", i), fmt.Sprintf("z%d", i%2)))
	}
	for _, m := range members {
		m.assertReachesRevision(t, first)
	}
	key := claim.NewKey("a", "r", "k")
	claimed := 0
	for i, m := range members {
		r, err := m.ClaimForwarder().Claim(t.Context(), key, fmt.Sprint("claim", i), 1)
		if err != nil {
			t.Errorf("Claim at %s: %v", m.ID, err)
		}
		if r.State == claim.StateClaimed {
			claimed++
		}
	}
	if claimed != 1 {
		t.Errorf("%d of 4 gateways claimed the key, want 1", claimed)
	}
	// A claim whose caller has given up must not block its key. The caller gives up
	// within the 50 ms for which a batch collects claims, so the appender drops the
	// claim from the batch and the gateway releases it in the background.
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if r, err := members[3].ClaimForwarder().Claim(short, claim.NewKey("a", "r", "lost"), "lost", 1); err == nil {
		t.Errorf("Claim after its caller gave up = %s, want an error", r.State)
	}
	deadline := time.Now().Add(15 * time.Second)
	for i := 0; ; i++ {
		r, err := members[0].ClaimForwarder().Claim(t.Context(), claim.NewKey("a", "r", "lost"), fmt.Sprint("again", i), 1)
		if err == nil && r.State == claim.StateClaimed {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the key is still in state %s after 15 s, %v", r.State, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, m := range members[:3] {
		m.stop()
	}
	began := time.Now()
	second := s.writeEdit(t, "c2", "in")
	members[3].assertReachesRevision(t, second)
	t.Logf("with three of four gateways stopped, the edit was in force %s after it was written", time.Since(began).Round(100*time.Millisecond))
	if s.invariants.Total() != 0 {
		t.Error("invariant violations were recorded")
	}
}
