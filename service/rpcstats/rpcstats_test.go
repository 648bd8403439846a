package rpcstats

import (
	"context"
	"testing"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// Guards against counting bytes for the wrong method or direction, and against
// creating a time series for an unregistered method.
func TestHandlerCountsByMethod(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	h := New(scope, &grpc.ServiceDesc{ServiceName: "s.Peer", Methods: []grpc.MethodDesc{{MethodName: "Exchange"}}})
	known := h.TagRPC(context.Background(), &stats.RPCTagInfo{FullMethodName: "/s.Peer/Exchange"})
	h.HandleRPC(known, &stats.OutPayload{WireLength: 7})
	h.HandleRPC(known, &stats.InPayload{WireLength: 5})
	h.HandleRPC(known, &stats.InHeader{WireLength: 2})
	unknown := h.TagRPC(context.Background(), &stats.RPCTagInfo{FullMethodName: "/made/up"})
	h.HandleRPC(unknown, &stats.InPayload{WireLength: 3})
	got := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		got[c.Tags()["method"]+" "+c.Tags()["direction"]] = c.Value()
	}
	for name, want := range map[string]int64{"Exchange sent": 7, "Exchange received": 7, "other received": 3, "other sent": 0} {
		if got[name] != want {
			t.Errorf("%s: got %d, want %d", name, got[name], want)
		}
	}
	if len(got) != 4 {
		t.Errorf("got the series %v, want exactly 4", got)
	}
}
