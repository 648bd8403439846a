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

// testCluster runs gateways on loopback addresses.
type testCluster struct {
	mu         sync.Mutex
	peers      []gossip.Peer
	invariants *invariant.Registry
}

func (c *testCluster) list() []gossip.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]gossip.Peer(nil), c.peers...)
}

type testNode struct {
	*Node
	stop func()
}

func (c *testCluster) start(t *testing.T, id string, claimLog LocalClaimLog) *testNode {
	t.Helper()
	return c.startWithPermits(t, id, claimLog, nil)
}

func (c *testCluster) startWithPermits(t *testing.T, id string, claimLog LocalClaimLog, permits PermitIssuer) *testNode {
	t.Helper()
	return c.serve(t, New(Config{
		ID: id, Zone: "z", ActiveConfig: config.NewActive(c.invariants), TryBecomeReader: func() {}, ClaimLog: claimLog, Permits: permits,
		ListGateways: c.list, DialOptions: insecureDial,
	}))
}

var insecureDial = []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}

// serve runs a node, its server and further tasks until the node is stopped.
func (c *testCluster) serve(t *testing.T, n *Node, tasks ...func(context.Context) error) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	c.peers = append(c.peers, gossip.Peer{ID: n.ID, Zone: n.Zone, Address: listener.Addr().String()})
	c.mu.Unlock()
	server := grpc.NewServer()
	n.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	for _, run := range append(tasks, n.Run) {
		group.Go(func() { _ = run(ctx) })
	}
	m := &testNode{Node: n, stop: sync.OnceFunc(func() {
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

func (m *testNode) assertReachesRevision(t *testing.T, revision uint64) {
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

// Guards against a change that does not reach every gateway, by snapshot to new
// processes and by changes to others, and against a reverted configuration.
func TestExchangeReachesAllGateways(t *testing.T) {
	cluster := &testCluster{invariants: invariant.NewRegistry(nil)}
	var members []*testNode
	for i := range 6 {
		members = append(members, cluster.start(t, fmt.Sprintf("g%d", i), nil))
	}
	first := document(t, 5, 6_000)
	if chunks := len(encodeSnapshot(nil, first)); chunks < 2 {
		t.Fatalf("the snapshot has %d chunk, want several", chunks)
	}
	members[0].ActiveConfig.ActivateIfNewer(first)
	for _, m := range members {
		m.assertReachesRevision(t, 5)
	}
	changed, err := members[3].ActiveConfig.Document().Apply(config.Change{Revision: 6, Base: 5, Rows: []config.RowEdit{
		{RowID: config.RowID{Table: config.TablePools, Section: "zone z"}, Text: "state = out\n"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	members[3].ActiveConfig.ActivateIfNewer(changed)
	members[1].stop()
	restarted := cluster.start(t, "g6", nil)
	for _, m := range append(members[2:], members[0], restarted) {
		m.assertReachesRevision(t, 6)
		if !m.Current().Tables.IsZoneOut("z") || !m.Current().Tables.IsHostLeaving("h5999") {
			t.Errorf("%s: the configuration lacks the state of zone z or of host h5999", m.ID)
		}
	}
	if cluster.invariants.Total() != 0 {
		t.Error(cluster.invariants.LastMessage(invariant.ConfigMonotonic))
	}
	status, err := restarted.Status(t.Context(), nil)
	if err != nil || status.GetSender().GetConfigRevision() != 6 || len(status.GetPeers()) != 6 {
		t.Errorf("Status = %v, %v, want revision 6 and 6 peers", status, err)
	}
}

// Guards against replacing the configuration in force by a peer's change that
// this build cannot read, and against a missing alarm.
func TestUnreadableChange(t *testing.T) {
	cluster := &testCluster{invariants: invariant.NewRegistry(nil)}
	m := cluster.start(t, "g", nil)
	m.ActiveConfig.ActivateIfNewer(document(t, 5, 1))
	err := m.applyDelta(t.Context(), gossip.Peer{}, &peerpb.Delta{Changes: []*peerpb.Change{{Revision: 6, Base: 5, Rows: []*peerpb.RowEdit{
		{Table: "pools", Section: "zone a", Text: "state = later\n"},
	}}}})
	alarms := m.Alarms.List()
	if err == nil || m.Current().Revision != 5 || len(alarms) != 1 || alarms[0].Name != kvstore.AlarmConfigUnreadable {
		t.Errorf("err %v, revision %d, alarms %v; want an error, 5, config_unreadable", err, m.Current().Revision, alarms)
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
		activeConfig := config.NewActive(invariant.NewRegistry(nil))
		activeConfig.ActivateIfNewer(base)
		advanced, err := activeConfig.Apply(decodeChanges(delta.GetChanges()))
		if advanced != (activeConfig.Current().Revision > 5) || advanced && err != nil {
			t.Fatalf("advanced %t to revision %d with error %v, want advanced only for a revision above 5 and no error", advanced, activeConfig.Current().Revision, err)
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
		var assembler snapshotAssembler
		if proto.Unmarshal(data, &chunk) != nil {
			return
		}
		if _, err := assembler.add(&chunk); err != nil {
			return
		}
		if d, err := assembler.document(); err == nil && d.Revision() != chunk.GetRevision() {
			t.Fatalf("chunk of revision %d decoded as revision %d", chunk.GetRevision(), d.Revision())
		}
	})
}

// Guards against a burn report that loses a field or an account in encoding, and
// against requests for an unlimited number of accounts.
func TestBurn(t *testing.T) {
	recorder := burnrate.New(burnrate.Config{})
	k := burnrate.Key{Account: "a", Service: "s", Class: "1k"}
	recorder.RecordFirstToken(k, time.Second)
	n := New(Config{ID: "n", ActiveConfig: config.NewActive(nil), BurnRecorder: recorder})
	r, err := n.Burn(t.Context(), &peerpb.BurnRequest{Accounts: []string{"a"}, Worst: 5})
	if err != nil || len(r.GetSeries()) != 8 || len(r.GetWorstAccounts()) != 1 {
		t.Fatalf("Burn = %v, %v, want 8 series and 1 worst account", r, err)
	}
	histograms := 0
	for _, s := range r.GetSeries() {
		if s.GetService() != "s" || s.GetClass() != "1k" || s.GetObjective() != "first_token" || s.GetGood() != 0 || s.GetTotal() != 1 || s.GetWindowS() < 300 {
			t.Errorf("series %v, want 0 good of 1 for first_token of service s and class 1k", s)
		}
		if len(s.GetHistogram()) > 0 {
			histograms++
		}
	}
	if histograms != 1 {
		t.Errorf("%d histograms, want 1: that of the sum over accounts for one hour", histograms)
	}
	if _, err := n.Burn(t.Context(), &peerpb.BurnRequest{Accounts: make([]string, maxBurnAccounts+1)}); err == nil {
		t.Error("a request for too many accounts succeeded")
	}
}
