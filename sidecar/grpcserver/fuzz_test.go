package grpcserver

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/peerpb"
	"siskinstand.example/sidecar/control"
)

// fuzzTimeout bounds one stream: the fuzzed output limit of an attempt can be any
// number, and a control stream runs until its context ends.
const fuzzTimeout = 50 * time.Millisecond

// fuzzStream returns the decoded messages from Recv and then blocks until the
// context ends.
type fuzzStream[In, Out any] struct {
	grpc.ServerStream
	ctx      context.Context
	mu       sync.Mutex
	received []*In
	sent     []*Out
}

func (s *fuzzStream[In, Out]) Context() context.Context { return s.ctx }

func (s *fuzzStream[In, Out]) Recv() (*In, error) {
	s.mu.Lock()
	if len(s.received) > 0 {
		defer s.mu.Unlock()
		m := s.received[0]
		s.received = s.received[1:]
		return m, nil
	}
	s.mu.Unlock()
	<-s.ctx.Done()
	return nil, io.ErrUnexpectedEOF
}

func (s *fuzzStream[In, Out]) Send(m *Out) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, m)
	return s.ctx.Err()
}

// startFuzzServer starts a server. The returned function stops it and checks
// that no invariant was violated.
func startFuzzServer(t *testing.T) (*Server, *fakeEngine, func()) {
	e, invariants := newFakeEngine(), invariant.NewRegistry(nil)
	c := control.DefaultConfig()
	c.Endpoint, c.Engine, c.Invariants = "e1", e, invariants
	loop := control.New(c)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- loop.Run(ctx) }()
	eventually(t, "serving", func() bool { return loop.Snapshot().State == control.StateServing })
	s := New(Config{Loop: loop, Engine: e, Invariants: invariants, MemberClient: &fakeGroupMembers{}, Endpoint: "e1", MaxBodyBytes: 1 << 20})
	return s, e, func() {
		cancel()
		if err := <-done; err != nil || invariants.Total() != 0 {
			t.Fatalf("loop ended with %v, %d invariant violations", err, invariants.Total())
		}
	}
}

func FuzzAttempt(f *testing.F) {
	seed := func(messages ...*peerpb.AttemptRequest) {
		encoded := make([][]byte, 3)
		for i, m := range messages {
			encoded[i], _ = proto.Marshal(m)
		}
		f.Add(encoded[0], encoded[1], encoded[2])
	}
	bodyFollows := newOffer("r2")
	bodyFollows.Body, bodyFollows.BodyBytes, bodyFollows.Repeatable = nil, 2, false
	start := &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Start{Start: &peerpb.Start{}}}
	body := &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Body{Body: &peerpb.Body{Data: []byte("{}"), Last: true}}}
	seed(&peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Offer{Offer: newOffer("r1")}})
	seed(&peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Offer{Offer: bodyFollows}}, body, start)
	seed(&peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Offer{Offer: bodyFollows}}, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Cancel{Cancel: &peerpb.Cancel{}}})
	f.Fuzz(func(t *testing.T, first, second, third []byte) {
		stream := &fuzzStream[peerpb.AttemptRequest, peerpb.AttemptEvent]{}
		for _, data := range [][]byte{first, second, third} {
			m := &peerpb.AttemptRequest{}
			if proto.Unmarshal(data, m) != nil {
				return
			}
			stream.received = append(stream.received, m)
		}
		s, e, stop := startFuzzServer(t)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), fuzzTimeout)
		defer cancel()
		stream.ctx = ctx
		if err := s.Attempt(stream); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("the stream ended with %v", err)
		}
		checkOutcome(t, stream.sent, e)
	})
}

// checkOutcome checks that there is exactly one outcome, and that it is not_run
// only if nothing ran.
func checkOutcome(t *testing.T, events []*peerpb.AttemptEvent, e *fakeEngine) {
	t.Helper()
	outcomes, notRun := 0, false
	for _, event := range events {
		if event.GetRefused() != nil || event.GetFailed() != nil || event.GetFinal() != nil {
			outcomes++
		}
		notRun = notRun || event.GetRefused().GetVerdict() == string(verdict.NotRun) || event.GetFailed().GetVerdict() == string(verdict.NotRun)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if outcomes != 1 || notRun && len(e.runs) != 0 {
		t.Fatalf("%d outcomes, not_run %t after %d runs; want one outcome, and not_run only without a run: %v", outcomes, notRun, len(e.runs), events)
	}
}

func FuzzControl(f *testing.F) {
	slice, _ := proto.Marshal(&peerpb.ControlRequest{
		Slice: &peerpb.Slice{Revision: 2, ChangedRevision: 2, Endpoint: "e1", Model: "m"}, PeerAddress: "127.0.0.1:1",
		Suspects: []*peerpb.Suspect{{Fingerprint: 7, Strikes: 1, AgeMs: 5, Events: []uint64{3}}},
	})
	hold, _ := proto.Marshal(&peerpb.HoldRequest{HoldId: "h", GroupId: "g", Tokens: 10, TtlMs: 100})
	f.Add(slice, hold)
	f.Fuzz(func(t *testing.T, request, held []byte) {
		m, h := &peerpb.ControlRequest{}, &peerpb.HoldRequest{}
		if proto.Unmarshal(request, m) != nil || proto.Unmarshal(held, h) != nil {
			return
		}
		s, _, stop := startFuzzServer(t)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), fuzzTimeout)
		defer cancel()
		stream := &fuzzStream[peerpb.ControlRequest, peerpb.ControlReport]{ctx: ctx, received: []*peerpb.ControlRequest{m, m}}
		if err := s.Control(stream); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("the stream ended with %v", err)
		}
		if _, err := s.Hold(t.Context(), h); err != nil {
			t.Fatalf("Hold = %v", err)
		}
		if got := s.config.Loop.Snapshot(); got.HeldTokens < 0 || got.HeldTokens > got.TotalTokens {
			t.Fatalf("%d tokens are held of %d", got.HeldTokens, got.TotalTokens)
		}
	})
}
