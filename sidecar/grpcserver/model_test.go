package grpcserver

import (
	"testing"

	"siskinstand.example/peerpb"
	"siskinstand.example/sidecar/control"
)

// Guards against answers of another model than the pool's, and against a change
// of model below a running attempt or a hold of a group.
func TestWrongModelTakesNoWork(t *testing.T) {
	f := newFixture(t)
	f.hold(t)
	running := f.open(t, offer("running"))
	next(t, running)
	if _, err := f.client.Hold(t.Context(), &peerpb.HoldRequest{HoldId: "h", GroupId: "g", Tokens: 10, TtlMs: 10_000}); err != nil {
		t.Fatal(err)
	}
	f.configure(t, &peerpb.Slice{Revision: 2, Model: "other"})
	f.waitState(t, control.StateStarting)
	wantRefused(t, f.open(t, offer("new")), "not_run", "endpoint_starting")
	if got := f.loop.Snapshot().ModelToLoad; got != "" {
		t.Errorf("a load of %q is due while an attempt runs", got)
	}
	close(f.engine.block)
	for next(t, running).GetFinal() == nil {
		continue
	}
	eventually(t, "the end of the attempt", func() bool { return f.loop.Snapshot().Load.RunningItems == 0 })
	if got := f.loop.Snapshot().ModelToLoad; got != "" {
		t.Errorf("a load of %q is due while a hold lasts", got)
	}
	if _, err := f.client.ReleaseHold(t.Context(), &peerpb.ReleaseHoldRequest{HoldId: "h"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the load", func() bool { return f.loop.Snapshot().ModelToLoad == "other" })
	f.configure(t, &peerpb.Slice{Revision: 3, Model: "m"})
	f.waitState(t, control.StateServing)
}

// Guards against a sidecar that asks gateways which have left for permits, and
// against one that looks for a gateway on all interfaces on its own host.
func TestGatewaysOfControlStreams(t *testing.T) {
	for _, listed := range []string{"127.0.0.1:1", "0.0.0.0:1", ":1"} {
		t.Run(listed, func(t *testing.T) { followGateway(t, newFixture(t), listed) })
	}
}

func followGateway(t *testing.T, f *fixture, listed string) {
	t.Helper()
	stream, err := f.client.Control(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&peerpb.ControlRequest{PeerAddress: listed}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the gateway's address", func() bool { list := f.service.GatewayAddresses(); return len(list) == 1 && list[0] == "127.0.0.1:1" })
	if err := stream.CloseSend(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the end of the stream", func() bool { return len(f.service.GatewayAddresses()) == 0 })
}
