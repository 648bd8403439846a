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

// fixedPermits grants at the holder and names it elsewhere.
type fixedPermits struct{ holder string }

var wantLoad = kvstore.WeightLoadRequest{Process: budget.Requester{Endpoint: "e", Incarnation: 3}, Model: "m", Bytes: 5}

func (p fixedPermits) RequestPermit(_ context.Context, r kvstore.WeightLoadRequest) (kvstore.PermitDecision, error) {
	if r != wantLoad {
		return kvstore.PermitDecision{}, fmt.Errorf("request %+v, want %+v", r, wantLoad)
	}
	return kvstore.PermitDecision{Permit: budget.Permit{Granted: true, RetryAfter: time.Second}, Fence: 7, Holder: p.holder}, nil
}

// Guards against a permit that is lost between the gateway asked and the
// holder, and against requests passed around between gateways that disagree.
func TestLoadPermit(t *testing.T) {
	f := &fleet{invariants: invariant.NewRegistry(nil)}
	a, c := f.startWith(t, "a", nil, fixedPermits{"b"}), f.startWith(t, "c", nil, fixedPermits{"a"})
	f.startWith(t, "b", nil, fixedPermits{"b"})
	for _, m := range []*member{a, c} {
		waitForPeers(t, m, 2)
	}
	request := &peerpb.LoadPermitRequest{Sender: &peerpb.Sender{ProcessId: "e/1", Incarnation: 3}, Endpoint: "e", Model: "m", Bytes: 5}
	got, err := a.LoadPermit(t.Context(), request)
	if err != nil || !got.GetGranted() || got.GetFence() != 7 || got.GetRetryAfterMs() != 1000 || got.GetSender().GetProcessId() != "b" {
		t.Errorf("LoadPermit = %v, %v", got, err)
	}
	if got, err := c.LoadPermit(t.Context(), request); err == nil {
		t.Errorf("a request passed on twice was answered: %v", got)
	}
}
