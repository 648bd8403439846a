package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/spread"
	fake "siskinstand.example/fakes/kvstore"
	"siskinstand.example/fakes/server"
	"siskinstand.example/gateway/kvstore"
	store "siskinstand.example/platform/kvstore"
)

// system is a set of gateways wired as main does, on one store.
type system struct {
	fleet
	fake  *fake.Store
	store store.Store
}

func newSystem(t *testing.T) *system {
	t.Helper()
	var s *server.Server
	f := fake.New(fake.Config{OnDown: func(d time.Duration) { s.Down(d) }})
	s, err := server.Start("127.0.0.1:0", f.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	limits := store.DefaultLimits()
	limits.CallTimeout = time.Second
	return &system{fleet: fleet{invariants: invariant.NewRegistry(nil)}, fake: f, store: store.NewHTTP(s.Address(), limits)}
}

func (s *system) gateway(t *testing.T, id, zone string) *member {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	s.peers = append(s.peers, spread.Peer{ID: id, Zone: zone, Address: listener.Addr().String()})
	s.mu.Unlock()
	inForce, alarms := config.NewInForce(s.invariants), &kvstore.Alarms{}
	book := kvstore.NewBook(kvstore.BookConfig{Store: s.store, ProcessID: id, Invariants: s.invariants})
	var node *Node
	reader := kvstore.NewReader(kvstore.ReaderConfig{
		Store: s.store, Zone: zone, ProcessID: id, InForce: inForce, Alarms: alarms,
		Reading: func(reading bool) { node.Reading(reading) },
	})
	node = New(Config{
		ID: id, Zone: zone, InForce: inForce, Alarms: alarms, Peers: s.list, TryRead: reader.Try, Book: book,
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
	})
	grpcServer := grpc.NewServer()
	node.Register(grpcServer)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = grpcServer.Serve(listener) })
	for _, run := range []func(context.Context) error{node.Run, reader.Run, book.Run} {
		group.Go(func() { _ = run(ctx) })
	}
	m := &member{Node: node, stop: sync.OnceFunc(func() {
		cancel()
		grpcServer.Stop()
		group.Wait()
	})}
	t.Cleanup(m.stop)
	return m
}

// accept writes an edit of the zone's state based on the newest document.
func (s *system) accept(t *testing.T, base *config.Document, id, state string) uint64 {
	t.Helper()
	head, version := config.EmptyHead(), int64(0)
	pair, err := s.store.Get(t.Context(), config.HeadKey)
	if err == nil {
		if head, err = config.DecodeHead(pair.Value); err != nil {
			t.Fatal(err)
		}
		version = pair.Version
	} else if !errors.Is(err, store.ErrNotFound) {
		t.Fatal(err)
	}
	plan, err := config.PlanEdit(head, base, config.Edit{
		ID: id, Author: "ann", Base: base.Revision(), Time: time.Now(),
		Rows: []config.RowEdit{{RowID: config.RowID{Table: config.TablePools, Section: "zone z1"}, Text: "state = " + state + "\n"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for digest, value := range plan.Shards {
		if _, err := s.store.CompareAndSwap(t.Context(), config.ShardPrefix+digest, value, 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	value, err := plan.Head.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.store.CompareAndSwap(t.Context(), config.HeadKey, value, version, 0); err != nil {
		t.Fatal(err)
	}
	return plan.Head.Revision
}

// Guards against parts that work alone but not wired together: reader leases
// of two zones, a reader that stops, claims through the preferred gateway.
func TestSystem(t *testing.T) {
	s := newSystem(t)
	first := s.accept(t, config.EmptyDocument(), "c1", "out")
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
		r, err := m.Claims().Claim(t.Context(), key, fmt.Sprint("claim", i), 1)
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
	for _, m := range members[:3] {
		m.stop()
	}
	began := time.Now()
	second := s.accept(t, members[3].InForce.Document(), "c2", "in")
	members[3].assertReaches(t, second)
	t.Logf("in force %s after three of four gateways stopped and an edit was made", time.Since(began).Round(100*time.Millisecond))
	if s.invariants.Total() != 0 {
		t.Error("an invariant is violated")
	}
}
