package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"siskinstand.example/coord/budget"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/gateway/kvstore"
	"siskinstand.example/peerpb"
)

// fixedPermits grants every permit in the name of a fixed holder.
type fixedPermits struct{ holder string }

var wantLoad = kvstore.WeightLoadRequest{Requester: budget.Requester{Endpoint: "e", Incarnation: 3}, Model: "m", Bytes: 5}

func (p fixedPermits) RequestPermit(_ context.Context, r kvstore.WeightLoadRequest) (kvstore.PermitDecision, error) {
	if r != wantLoad {
		return kvstore.PermitDecision{}, fmt.Errorf("request %+v, want %+v", r, wantLoad)
	}
	return kvstore.PermitDecision{Permit: budget.Permit{Granted: true, RetryAfter: time.Second}, Fence: 7, Holder: p.holder}, nil
}

// Guards against a permit request that is not forwarded to the holder, and against
// one forwarded repeatedly between gateways that disagree on the holder.
func TestLoadPermit(t *testing.T) {
	cluster := &testCluster{invariants: invariant.NewRegistry(nil)}
	a, c := cluster.startWithPermits(t, "a", nil, fixedPermits{"b"}), cluster.startWithPermits(t, "c", nil, fixedPermits{"a"})
	cluster.startWithPermits(t, "b", nil, fixedPermits{"b"})
	for _, m := range []*testNode{a, c} {
		waitForPeers(t, m, 2)
	}
	request := &peerpb.LoadPermitRequest{Sender: &peerpb.Sender{ProcessId: "e/1", Incarnation: 3}, Endpoint: "e", Model: "m", Bytes: 5}
	got, err := a.LoadPermit(t.Context(), request)
	if err != nil || !got.GetGranted() || got.GetFence() != 7 || got.GetRetryAfterMs() != 1000 || got.GetSender().GetProcessId() != "b" {
		t.Errorf("LoadPermit = %v, %v, want a permit of b with fence 7, retry after 1000 ms", got, err)
	}
	if got, err := c.LoadPermit(t.Context(), request); err == nil {
		t.Errorf("a request that needed a second forwarding was answered: %v", got)
	}
}
