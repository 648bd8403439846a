package grpcserver

import (
	"testing"

	"siskinstand.example/peerpb"
	"siskinstand.example/sidecar/control"
)

// Guards against responses from a model other than the pool's, and against
// loading a model while an attempt is running or a group holds memory.
func TestEndpointWithWrongModelRefusesWork(t *testing.T) {
	ts := newTestServer(t)
	ts.blockRuns(t)
	running := ts.openAttempt(t, newOffer("running"))
	receiveEvent(t, running)
	if _, err := ts.sidecarClient.Hold(t.Context(), &peerpb.HoldRequest{HoldId: "h", GroupId: "g", Tokens: 10, TtlMs: 10_000}); err != nil {
		t.Fatal(err)
	}
	ts.sendConfigSlice(t, &peerpb.Slice{Revision: 2, Model: "other"})
	ts.waitState(t, control.StateStarting)
	wantRefused(t, ts.openAttempt(t, newOffer("new")), "not_run", "endpoint_starting")
	if got := ts.loop.Snapshot().ModelToLoad; got != "" {
		t.Errorf("model %q is to be loaded while an attempt is running", got)
	}
	close(ts.engine.unblock)
	for receiveEvent(t, running).GetFinal() == nil {
		continue
	}
	eventually(t, "attempt ended", func() bool { return ts.loop.Snapshot().Load.RunningItems == 0 })
	if got := ts.loop.Snapshot().ModelToLoad; got != "" {
		t.Errorf("model %q is to be loaded while memory is held", got)
	}
	if _, err := ts.sidecarClient.ReleaseHold(t.Context(), &peerpb.ReleaseHoldRequest{HoldId: "h"}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "model to load is set", func() bool { return ts.loop.Snapshot().ModelToLoad == "other" })
	ts.sendConfigSlice(t, &peerpb.Slice{Revision: 3, Model: "m"})
	ts.waitState(t, control.StateServing)
}

// Guards against asking disconnected gateways for permits, and against an
// unspecified listen address that the sidecar would resolve to its own host.
func TestGatewayAddressesFollowControlStreams(t *testing.T) {
	for _, announced := range []string{"127.0.0.1:1", "0.0.0.0:1", ":1"} {
		t.Run(announced, func(t *testing.T) { checkGatewayAddress(t, newTestServer(t), announced) })
	}
}

func checkGatewayAddress(t *testing.T, ts *testServer, announced string) {
	t.Helper()
	stream, err := ts.sidecarClient.Control(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&peerpb.ControlRequest{PeerAddress: announced}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "gateway address recorded", func() bool { list := ts.service.GatewayAddresses(); return len(list) == 1 && list[0] == "127.0.0.1:1" })
	if err := stream.CloseSend(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "gateway address removed", func() bool { return len(ts.service.GatewayAddresses()) == 0 })
}
