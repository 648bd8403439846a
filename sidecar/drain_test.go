package main

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/peerpb"
	"siskinstand.example/sidecar/control"
	"siskinstand.example/sidecar/grpcserver"
)

// chunkEngine answers each request with chunks of chunkBytes.
type chunkEngine struct{ control.Engine }

const (
	chunkBytes = 16 << 10
	chunkCount = 20
)

func (chunkEngine) State(context.Context) (engine.State, error) {
	return engine.State{Incarnation: "1", Model: "m", Ready: true, TotalTokens: 100_000}, nil
}

func (chunkEngine) Load(context.Context) (engine.Load, error) {
	return engine.Load{PrefillTokensPerSec: 10_000, DecodeTokensPerSec: 1_000, TotalTokens: 100_000}, nil
}

func (chunkEngine) Run(_ context.Context, r engine.Request, deliver func(engine.Chunk) error) (engine.Result, error) {
	for range chunkCount {
		if err := deliver(engine.Chunk{Data: make([]byte, chunkBytes), Tokens: 1}); err != nil {
			return engine.Result{}, err
		}
	}
	return engine.Result{FinishReason: "stop", PromptTokens: r.PromptTokens, OutputTokens: chunkCount}, nil
}

// Guards against a response that loses its end because the gateway still reads it when the
// sidecar stops: the engine's last bytes were given 1 s, since a gateway's control stream
// kept the graceful stop from ending.
func TestDrainWaitsForSlowGateways(t *testing.T) {
	c := control.DefaultConfig()
	c.Endpoint, c.ProcessID, c.Incarnation = "e1", "p1", 1
	c.Engine, c.Invariants = chunkEngine{}, invariant.NewRegistry(nil)
	loop := control.New(c)
	service := grpcserver.New(grpcserver.Config{Loop: loop, Engine: c.Engine, Invariants: c.Invariants, Endpoint: "e1", MaxBodyBytes: 1 << 20})
	server := grpc.NewServer()
	peerpb.RegisterSidecarServer(server, service)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	go loop.Run(t.Context())
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStaticStreamWindowSize(64<<10), grpc.WithStaticConnWindowSize(1<<20))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	client := peerpb.NewSidecarClient(conn)
	reports, err := client.Control(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for loop.Snapshot().State != control.StateServing {
		if _, err := reports.Recv(); err != nil {
			t.Fatal(err)
		}
	}
	stream, err := client.Attempt(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	offer := &peerpb.Offer{
		Sender: &peerpb.Sender{}, RequestId: "r1", Attempt: 1, Endpoint: "e1", Account: "a", AccountWeight: 1, Model: "m",
		PromptTokens: 100, MaxOutputTokens: chunkCount, BudgetMs: 30_000, Repeatable: true, Body: []byte("{}"), BodyBytes: 2,
	}
	if err := stream.Send(&peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Offer{Offer: offer}}); err != nil {
		t.Fatal(err)
	}
	receive := func() *peerpb.AttemptEvent {
		e, err := stream.Recv()
		if err != nil {
			t.Fatalf("the stream ended before its Final event: %v", err)
		}
		return e
	}
	// The last chunks fit into the stream window of the gateway (64 KiB) and the write quota
	// of the sidecar (64 KiB).
	var received int64
	for received < chunkCount-7 {
		if receive().GetChunk() != nil {
			received++
		}
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		drain(t.Context(), 20*time.Second, components{loop: loop, server: server, endControlStreams: service.EndControlStreams})
		server.Stop()
	}()
	time.Sleep(1500 * time.Millisecond)
	for receive().GetFinal() == nil {
	}
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Error("the sidecar is still draining 5s after the end of its last response")
	}
}
