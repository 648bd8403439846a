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

type fixture struct {
	engine     *memoryEngine
	loop       *control.Loop
	members    *fakeMembers
	client     peerpb.SidecarClient
	peer       peerpb.PeerClient
	invariants *invariant.Registry
	service    *Server
	// violated is the number of violations that the test causes on purpose.
	violated int64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*memoryEngine) {})
}

func newFixtureWith(t *testing.T, prepare func(*memoryEngine)) *fixture {
	t.Helper()
	f := &fixture{engine: newMemoryEngine(), invariants: invariant.NewRegistry(nil), members: &fakeMembers{}}
	prepare(f.engine)
	c := control.DefaultConfig()
	c.Endpoint, c.Zone, c.ProcessID, c.Incarnation = "e1", "z1", "p1", 1
	c.Engine, c.Invariants = f.engine, f.invariants
	f.loop = control.New(c)
	server := grpc.NewServer()
	service := New(Config{
		Loop: f.loop, Engine: f.engine, Invariants: f.invariants, GroupMembers: f.members, Endpoint: "e1", EngineAddress: "127.0.0.1:1",
		ProcessID: "p1", Incarnation: 1, Zone: "z1", MaxBodyBytes: 1 << 20,
	})
	f.service = service
	peerpb.RegisterSidecarServer(server, service)
	peerpb.RegisterPeerServer(server, service)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go server.Serve(listener)
	go f.loop.Run(ctx)
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	f.client, f.peer = peerpb.NewSidecarClient(conn), peerpb.NewPeerClient(conn)
	t.Cleanup(func() {
		conn.Close()
		server.Stop()
		cancel()
		if n := f.invariants.Total(); n != f.violated {
			t.Errorf("%d invariants were violated, want %d", n, f.violated)
		}
	})
	f.waitState(t, control.StateServing)
	return f
}

func (f *fixture) waitState(t *testing.T, want control.State) {
	t.Helper()
	eventually(t, "state "+string(want), func() bool { return f.loop.Snapshot().State == want })
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached within 10 s: %s", what)
}

func offer(id string) *peerpb.Offer {
	return &peerpb.Offer{
		Sender: &peerpb.Sender{ConfigRevision: 1}, RequestId: id, Attempt: 1, Endpoint: "e1", Account: "a", AccountWeight: 1,
		Model: "m", PromptTokens: 100, MaxOutputTokens: 3, BudgetMs: 30_000, Fingerprint: 7, Repeatable: true, Body: []byte("{}"), BodyBytes: 2,
	}
}

func (f *fixture) open(t *testing.T, o *peerpb.Offer) peerpb.Sidecar_AttemptClient {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	stream, err := f.client.Attempt(ctx)
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

func next(t *testing.T, stream peerpb.Sidecar_AttemptClient) *peerpb.AttemptEvent {
	t.Helper()
	e, err := stream.Recv()
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Guards against lost, reordered or misnumbered chunks, also after a resume.
func TestAttemptStreamsWholeAnswer(t *testing.T) {
	f := newFixture(t)
	o := offer("r1")
	o.ResumePosition = 5
	stream := f.open(t, o)
	if next(t, stream).GetAdmitted() == nil {
		t.Fatal("first event is not Admitted")
	}
	for want := int64(5); want < 8; want++ {
		e := next(t, stream)
		if e.GetChunk().GetPosition() != want || e.RequestId != "r1" || e.Attempt != 1 {
			t.Fatalf("event = %v, want chunk %d", e, want)
		}
	}
	if final := next(t, stream).GetFinal(); final.GetChunks() != 8 || final.GetOutputTokens() != 3 {
		t.Errorf("final = %v, want 8 chunks and 3 tokens", final)
	}
}

// Guards against a non-repeatable call that runs although its gateway paused
// for longer than the start limit.
func TestAttemptNeedsStartInTime(t *testing.T) {
	f := newFixture(t)
	o := offer("r1")
	o.Repeatable = false
	stream := f.open(t, o)
	if !next(t, stream).GetAdmitted().GetStartRequired() {
		t.Fatal("start is not required for a non-repeatable call")
	}
	if refused := next(t, stream).GetRefused(); refused.GetVerdict() != "not_run" {
		t.Errorf("event = %v, want not_run", refused)
	}
	if n := f.engine.runs["r1/1"]; n != 0 {
		t.Errorf("the call ran %d times", n)
	}
}

// Guards against a large body that reaches the engine truncated.
func TestAttemptBodyAfterAdmitted(t *testing.T) {
	f := newFixture(t)
	o := offer("r1")
	o.Body, o.BodyBytes = nil, 4
	stream := f.open(t, o)
	next(t, stream)
	send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Body{Body: &peerpb.Body{Data: []byte("ab")}}})
	send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Body{Body: &peerpb.Body{Data: []byte("cd"), Last: true}}})
	send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Start{Start: &peerpb.Start{}}})
	if e := next(t, stream); e.GetChunk() == nil {
		t.Errorf("event = %v, want a chunk", e)
	}
}

// Guards against a remaining time that overflows and refuses the offer as late.
func TestLongestBudget(t *testing.T) {
	f := newFixture(t)
	o := offer("r1")
	o.BudgetMs = math.MaxInt64
	if e := next(t, f.open(t, o)); e.GetAdmitted() == nil {
		t.Errorf("event = %v, want the admission", e)
	}
}
