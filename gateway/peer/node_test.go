package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/gossip"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/gateway/kvstore"
	"siskinstand.example/peerpb"
	"siskinstand.example/service/burnrate"
)

// fleet is a set of gateways on loopback addresses.
type fleet struct {
	mu         sync.Mutex
	peers      []gossip.Peer
	invariants *invariant.Registry
}

func (f *fleet) list() []gossip.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]gossip.Peer(nil), f.peers...)
}

type member struct {
	*Node
	stop func()
}

func (f *fleet) start(t *testing.T, id string, book LocalClaimLog) *member {
	t.Helper()
	return f.startWith(t, id, book, nil)
}

func (f *fleet) startWith(t *testing.T, id string, book LocalClaimLog, permits PermitIssuer) *member {
	t.Helper()
	return f.serve(t, New(Config{
		ID: id, Zone: "z", InForce: config.NewActive(f.invariants), TryBecomeReader: func() {}, ClaimLog: book, Permits: permits,
		Peers: f.list, DialOptions: plain,
	}))
}

var plain = []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}

// serve runs a node, its server and further parts until the member stops.
func (f *fleet) serve(t *testing.T, n *Node, parts ...func(context.Context) error) *member {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	f.peers = append(f.peers, gossip.Peer{ID: n.ID, Zone: n.Zone, Address: listener.Addr().String()})
	f.mu.Unlock()
	server := grpc.NewServer()
	n.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	for _, run := range append(parts, n.Run) {
		group.Go(func() { _ = run(ctx) })
	}
	m := &member{Node: n, stop: sync.OnceFunc(func() {
		cancel()
		server.Stop()
		group.Wait()
	})}
	t.Cleanup(m.stop)
	return m
}

func document(t *testing.T, revision uint64, rows int) *config.Document {
	t.Helper()
	var list []config.RowEdit
	for i := range rows {
		list = append(list, config.RowEdit{
			RowID: config.RowID{Table: config.TablePools, Section: fmt.Sprintf("host h%d", i)},
			Text:  "state = leaving\n", Revision: revision,
		})
	}
	d, err := config.NewDocument(revision, 0, list)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (m *member) assertReaches(t *testing.T, revision uint64) {
	t.Helper()
	deadline := time.After(15 * time.Second)
	for m.Current().Revision != revision {
		changed := m.Changed()
		if m.Current().Revision == revision {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("%s has revision %d after 15 s, want %d", m.ID, m.Current().Revision, revision)
		}
	}
}

// Guards against a change that does not reach every gateway over the wire, by
// snapshot to new processes and by changes to others, and against a revert.
func TestExchangeOverTheWire(t *testing.T) {
	f := &fleet{invariants: invariant.NewRegistry(nil)}
	var members []*member
	for i := range 6 {
		members = append(members, f.start(t, fmt.Sprintf("g%d", i), nil))
	}
	first := document(t, 5, 6_000)
	if pieces := len(encodeSnapshot(nil, first)); pieces < 2 {
		t.Fatalf("the snapshot has %d piece, want several", pieces)
	}
	members[0].InForce.Advance(first)
	for _, m := range members {
		m.assertReaches(t, 5)
	}
	changed, err := members[3].InForce.Document().Apply(config.Change{Revision: 6, Base: 5, Rows: []config.RowEdit{
		{RowID: config.RowID{Table: config.TablePools, Section: "zone z"}, Text: "state = out\n"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	members[3].InForce.Advance(changed)
	members[1].stop()
	restarted := f.start(t, "g6", nil)
	for _, m := range append(members[2:], members[0], restarted) {
		m.assertReaches(t, 6)
		if !m.Current().Tables.ZoneOut("z") || !m.Current().Tables.HostLeaving("h5999") {
			t.Errorf("%s: rows are missing", m.ID)
		}
	}
	if f.invariants.Total() != 0 {
		t.Error(f.invariants.LastMessage(invariant.ConfigMonotonic))
	}
	status, err := restarted.Status(t.Context(), nil)
	if err != nil || status.GetSender().GetConfigRevision() != 6 || len(status.GetPeers()) != 6 {
		t.Errorf("Status = %v, %v", status, err)
	}
}

// Guards against a peer's change that this build cannot read replacing what is
// in force, and against it going without an alarm.
func TestUnreadableChange(t *testing.T) {
	f := &fleet{invariants: invariant.NewRegistry(nil)}
	m := f.start(t, "g", nil)
	m.InForce.Advance(document(t, 5, 1))
	err := m.take(t.Context(), nil, &peerpb.Delta{Changes: []*peerpb.Change{{Revision: 6, Base: 5, Rows: []*peerpb.RowEdit{
		{Table: "pools", Section: "zone a", Text: "state = later\n"},
	}}}})
	alarms := m.Alarms.List()
	if err == nil || m.Current().Revision != 5 || len(alarms) != 1 || alarms[0].Name != kvstore.AlarmConfigUnreadable {
		t.Errorf("err %v, revision %d, alarms %v", err, m.Current().Revision, alarms)
	}
}

func FuzzDelta(f *testing.F) {
	seed, _ := proto.Marshal(&peerpb.Delta{Changes: []*peerpb.Change{{Revision: 6, Base: 5, Rows: []*peerpb.RowEdit{{Table: "pools", Section: "zone a", Text: "state = in\n"}}}}})
	f.Add(seed)
	base, err := config.NewDocument(5, 0, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var delta peerpb.Delta
		if proto.Unmarshal(data, &delta) != nil {
			return
		}
		inForce := config.NewActive(invariant.NewRegistry(nil))
		inForce.Advance(base)
		moved, err := inForce.Apply(decodeChanges(delta.GetChanges()))
		if moved != (inForce.Current().Revision > 5) || moved && err != nil {
			t.Fatalf("moved %t to revision %d with error %v", moved, inForce.Current().Revision, err)
		}
		decodeHeartbeat(delta.GetReaderProcessId(), delta.GetReaderHeartbeatAgeMs())
	})
}

func FuzzSnapshotChunk(f *testing.F) {
	d, err := config.NewDocument(5, 0, nil)
	if err != nil {
		f.Fatal(err)
	}
	seed, _ := proto.Marshal(encodeSnapshot(nil, d)[0])
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var chunk peerpb.SnapshotChunk
		var reader snapshotReader
		if proto.Unmarshal(data, &chunk) != nil {
			return
		}
		if _, err := reader.add(&chunk); err != nil {
			return
		}
		if d, err := reader.document(); err == nil && d.Revision() != chunk.GetRevision() {
			t.Fatalf("revision %d became %d", chunk.GetRevision(), d.Revision())
		}
	})
}

// Guards against a burn report that loses a field or an account on the wire,
// and against a request for any number of accounts.
func TestBurn(t *testing.T) {
	recorder := burnrate.New(burnrate.Config{})
	k := burnrate.Key{Account: "a", Service: "s", Class: "1k"}
	recorder.RecordFirstToken(k, time.Second)
	n := New(Config{ID: "n", InForce: config.NewActive(nil), Burn: recorder})
	r, err := n.Burn(t.Context(), &peerpb.BurnRequest{Accounts: []string{"a"}, Worst: 5})
	if err != nil || len(r.GetSeries()) != 8 || len(r.GetWorstAccounts()) != 1 {
		t.Fatalf("Burn = %v, %v", r, err)
	}
	histograms := 0
	for _, s := range r.GetSeries() {
		if s.GetService() != "s" || s.GetClass() != "1k" || s.GetObjective() != "first_token" || s.GetGood() != 0 || s.GetTotal() != 1 || s.GetWindowS() < 300 {
			t.Errorf("series %v", s)
		}
		if len(s.GetHistogram()) > 0 {
			histograms++
		}
	}
	if histograms != 1 {
		t.Errorf("%d histograms, want that of the sum over accounts for an hour", histograms)
	}
	if _, err := n.Burn(t.Context(), &peerpb.BurnRequest{Accounts: make([]string, maxBurnAccounts+1)}); err == nil {
		t.Error("a request for too many accounts was answered")
	}
}
