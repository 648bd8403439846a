package grpcserver

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/peerpb"
	"siskinstand.example/sidecar/control"
)

type testServer struct {
	engine        *fakeEngine
	loop          *control.Loop
	members       *fakeGroupMembers
	sidecarClient peerpb.SidecarClient
	peerClient    peerpb.PeerClient
	invariants    *invariant.Registry
	service       *Server
	// wantViolations is the number of invariant violations that the test causes
	// on purpose.
	wantViolations int64
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	return newTestServerWith(t, func(*fakeEngine) {})
}

func newTestServerWith(t *testing.T, prepare func(*fakeEngine)) *testServer {
	t.Helper()
	ts := &testServer{engine: newFakeEngine(), invariants: invariant.NewRegistry(nil), members: &fakeGroupMembers{}}
	prepare(ts.engine)
	c := control.DefaultConfig()
	c.Endpoint, c.Zone, c.ProcessID, c.Incarnation = "e1", "z1", "p1", 1
	c.Engine, c.Invariants = ts.engine, ts.invariants
	ts.loop = control.New(c)
	server := grpc.NewServer()
	service := New(Config{
		Loop: ts.loop, Engine: ts.engine, Invariants: ts.invariants, MemberClient: ts.members, Endpoint: "e1", EngineAddress: "127.0.0.1:1",
		ProcessID: "p1", Incarnation: 1, Zone: "z1", MaxBodyBytes: 1 << 20,
	})
	ts.service = service
	peerpb.RegisterSidecarServer(server, service)
	peerpb.RegisterPeerServer(server, service)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go server.Serve(listener)
	go ts.loop.Run(ctx)
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	ts.sidecarClient, ts.peerClient = peerpb.NewSidecarClient(conn), peerpb.NewPeerClient(conn)
	t.Cleanup(func() {
		conn.Close()
		server.Stop()
		cancel()
		if n := ts.invariants.Total(); n != ts.wantViolations {
			t.Errorf("%d invariant violations, want %d", n, ts.wantViolations)
		}
	})
	ts.waitState(t, control.StateServing)
	return ts
}

func (ts *testServer) waitState(t *testing.T, want control.State) {
	t.Helper()
	eventually(t, "state "+string(want), func() bool { return ts.loop.Snapshot().State == want })
}

func eventually(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatalf("condition not met within 10 s: %s", condition)
}

func newOffer(id string) *peerpb.Offer {
	return &peerpb.Offer{
		Sender: &peerpb.Sender{ConfigRevision: 1}, RequestId: id, Attempt: 1, Endpoint: "e1", Account: "a", AccountWeight: 1,
		Model: "m", PromptTokens: 100, MaxOutputTokens: 3, BudgetMs: 30_000, Fingerprint: 7, Repeatable: true, Body: []byte("{}"), BodyBytes: 2,
	}
}

func (ts *testServer) openAttempt(t *testing.T, o *peerpb.Offer) peerpb.Sidecar_AttemptClient {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	stream, err := ts.sidecarClient.Attempt(ctx)
	if err != nil {
		t.Fatal(err)
	}
	send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Offer{Offer: o}})
	return stream
}

func send(t *testing.T, stream peerpb.Sidecar_AttemptClient, m *peerpb.AttemptRequest) {
	t.Helper()
	if err := stream.Send(m); err != nil {
		t.Fatal(err)
	}
}

func receiveEvent(t *testing.T, stream peerpb.Sidecar_AttemptClient) *peerpb.AttemptEvent {
	t.Helper()
	e, err := stream.Recv()
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Guards against chunks that are lost or misnumbered in a resumed attempt, and
// against wrong counts in Final. It does not check the data of the chunks.
func TestAttemptStreamsAllChunks(t *testing.T) {
	ts := newTestServer(t)
	o := newOffer("r1")
	o.ResumePosition = 5
	stream := ts.openAttempt(t, o)
	if receiveEvent(t, stream).GetAdmitted() == nil {
		t.Fatal("first event is not Admitted")
	}
	for want := int64(5); want < 8; want++ {
		e := receiveEvent(t, stream)
		if e.GetChunk().GetPosition() != want || e.RequestId != "r1" || e.Attempt != 1 {
			t.Fatalf("event = %v, want chunk %d", e, want)
		}
	}
	if final := receiveEvent(t, stream).GetFinal(); final.GetChunks() != 8 || final.GetOutputTokens() != 3 {
		t.Errorf("final = %v, want 8 chunks and 3 tokens", final)
	}
}

// Guards against running a non-repeatable call whose gateway did not send Start
// within the timeout.
func TestAttemptRequiresStartWithinTimeout(t *testing.T) {
	ts := newTestServer(t)
	o := newOffer("r1")
	o.Repeatable = false
	stream := ts.openAttempt(t, o)
	if !receiveEvent(t, stream).GetAdmitted().GetStartRequired() {
		t.Fatal("start is not required for a non-repeatable call")
	}
	if refused := receiveEvent(t, stream).GetRefused(); refused.GetVerdict() != "not_run" {
		t.Errorf("event = %v, want not_run", refused)
	}
	if n := ts.engine.runs["r1/1"]; n != 0 {
		t.Errorf("the call ran %d times, want 0", n)
	}
}

// Guards against an attempt that does not run although Start and all parts of
// its body arrived after Admitted. It does not check the body that the engine
// receives.
func TestAttemptBodyAfterAdmitted(t *testing.T) {
	ts := newTestServer(t)
	o := newOffer("r1")
	o.Body, o.BodyBytes = nil, 4
	stream := ts.openAttempt(t, o)
	receiveEvent(t, stream)
	send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Body{Body: &peerpb.Body{Data: []byte("ab")}}})
	send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Body{Body: &peerpb.Body{Data: []byte("cd"), Last: true}}})
	send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Start{Start: &peerpb.Start{}}})
	if e := receiveEvent(t, stream); e.GetChunk() == nil {
		t.Errorf("event = %v, want a chunk", e)
	}
}

// Guards against a remaining time that overflows, so that the offer is refused
// as past its deadline.
func TestMaxBudgetDoesNotOverflow(t *testing.T) {
	ts := newTestServer(t)
	o := newOffer("r1")
	o.BudgetMs = math.MaxInt64
	if e := receiveEvent(t, ts.openAttempt(t, o)); e.GetAdmitted() == nil {
		t.Errorf("event = %v, want the admission", e)
	}
}
