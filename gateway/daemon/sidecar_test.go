package daemon

import (
	"cmp"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	pb "siskinstand.example/peerpb"
)

// script handles one offer.
type script func(offer *pb.Offer, s *scriptedStream) error

// testSidecar is an in-process sidecar whose script handles the offers.
type testSidecar struct {
	pb.UnimplementedSidecarServer
	name   string
	server *grpc.Server
	addr   string

	mu         sync.Mutex
	script     script
	offers     []*pb.Offer
	holds      map[string]*pb.HoldRequest
	released   []string
	grantHolds bool
	state      string
	// reportedEndpoint is the endpoint name in control reports. If it is empty,
	// they contain name.
	reportedEndpoint string
	load             *pb.Load
	slices           []*pb.Slice
}

func startSidecar(t *testing.T, name string, run script, c credentials.TransportCredentials) *testSidecar {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var options []grpc.ServerOption
	if c != nil {
		options = append(options, grpc.Creds(c))
	}
	s := &testSidecar{
		name: name, server: grpc.NewServer(options...), addr: l.Addr().String(), script: run,
		holds: map[string]*pb.HoldRequest{}, grantHolds: true, state: "serving",
		load: &pb.Load{PrefillTokensPerSecond: 1000, MemoryTotalTokens: 1_000_000},
	}
	pb.RegisterSidecarServer(s.server, s)
	go s.server.Serve(l)
	t.Cleanup(s.server.Stop)
	return s
}

func (s *testSidecar) sender() *pb.Sender { return &pb.Sender{ProcessId: s.name, Incarnation: 1} }

func (s *testSidecar) Attempt(stream pb.Sidecar_AttemptServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	offer := first.GetOffer()
	s.mu.Lock()
	s.offers = append(s.offers, offer)
	run := s.script
	s.mu.Unlock()
	return run(offer, &scriptedStream{stream: stream, sidecar: s, offer: offer})
}

func (s *testSidecar) Control(stream pb.Sidecar_ControlServer) error {
	for {
		s.mu.Lock()
		report := &pb.ControlReport{Sender: s.sender(), Endpoint: cmp.Or(s.reportedEndpoint, s.name), State: s.state, Load: s.load}
		s.mu.Unlock()
		if err := stream.Send(report); err != nil {
			return err
		}
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.slices = append(s.slices, request.GetSlice())
		s.mu.Unlock()
	}
}

func (s *testSidecar) Hold(_ context.Context, r *pb.HoldRequest) (*pb.HoldResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grantHolds {
		s.holds[r.GetHoldId()] = r
	}
	return &pb.HoldResponse{Sender: s.sender(), Held: s.grantHolds, Reason: "full", EngineAddress: "engine-" + s.name}, nil
}

func (s *testSidecar) ReleaseHold(_ context.Context, r *pb.ReleaseHoldRequest) (*pb.ReleaseHoldResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = append(s.released, r.GetHoldId())
	delete(s.holds, r.GetHoldId())
	return &pb.ReleaseHoldResponse{Sender: s.sender()}, nil
}

func (s *testSidecar) offerCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.offers)
}

func (s *testSidecar) lastOffer() *pb.Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.offers) == 0 {
		return nil
	}
	return s.offers[len(s.offers)-1]
}

// scriptedStream sends the events of one attempt on behalf of a script.
type scriptedStream struct {
	stream  pb.Sidecar_AttemptServer
	sidecar *testSidecar
	offer   *pb.Offer
}

func (s *scriptedStream) send(e *pb.AttemptEvent) error {
	e.Sender = s.sidecar.sender()
	if e.RequestId == "" {
		e.RequestId, e.Attempt = s.offer.GetRequestId(), s.offer.GetAttempt()
	}
	return s.stream.Send(e)
}

func (s *scriptedStream) sendAdmitted(startRequired bool) error {
	return s.send(&pb.AttemptEvent{Kind: &pb.AttemptEvent_Admitted{Admitted: &pb.Admitted{StartRequired: startRequired}}})
}

func (s *scriptedStream) sendRefused(verdict, reason string) error {
	return s.send(&pb.AttemptEvent{Kind: &pb.AttemptEvent_Refused{Refused: &pb.Refused{Verdict: verdict, Reason: reason, Message: "test"}}})
}

func (s *scriptedStream) sendChunk(position int64, text string) error {
	return s.send(chunkEvent(position, text))
}

func chunkEvent(position int64, text string) *pb.AttemptEvent {
	return &pb.AttemptEvent{Kind: &pb.AttemptEvent_Chunk{Chunk: &pb.Chunk{Position: position, Data: []byte(text), Tokens: 1}}}
}

func (s *scriptedStream) sendFinal(chunks int64) error {
	return s.send(&pb.AttemptEvent{Kind: &pb.AttemptEvent_Final{Final: &pb.Final{FinishReason: "stop", Chunks: chunks, PromptTokens: 7, OutputTokens: chunks}}})
}

// respondWith sends the words as chunks, starting at the offer's resume position.
func respondWith(words ...string) script {
	return func(o *pb.Offer, s *scriptedStream) error {
		if err := s.sendAdmitted(false); err != nil {
			return err
		}
		for i := o.GetResumePosition(); i < int64(len(words)); i++ {
			if err := s.sendChunk(i, words[i]); err != nil {
				return err
			}
		}
		return s.sendFinal(int64(len(words)))
	}
}

// refuseWith refuses every offer.
func refuseWith(verdict, reason string) script {
	return func(_ *pb.Offer, s *scriptedStream) error { return s.sendRefused(verdict, reason) }
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s did not happen within 5 s", what)
}
