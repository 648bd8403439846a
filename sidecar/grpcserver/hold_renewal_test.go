package grpcserver

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/coord/group"
	"siskinstand.example/peerpb"
	"siskinstand.example/sidecar/peerclient"
)

// renewalObserver reports each granted renewal.
type renewalObserver struct {
	GroupMemberClient
	renewed chan struct{}
}

func (o renewalObserver) RenewHold(ctx context.Context, m group.Member, groupID string, timeToLive time.Duration) (bool, error) {
	held, err := o.GroupMemberClient.RenewHold(ctx, m, groupID, timeToLive)
	if held && err == nil {
		select {
		case o.renewed <- struct{}{}:
		default:
		}
	}
	return held, err
}

// serveMember serves a member's sidecar at an address of its own, which it returns.
func serveMember(t *testing.T, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peerpb.RegisterSidecarServer(server, s)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func (ts *testServer) hold(t *testing.T, id, account string) *peerpb.HoldResponse {
	t.Helper()
	response, err := ts.sidecarClient.Hold(t.Context(), &peerpb.HoldRequest{HoldId: id, GroupId: "g", Account: account, Tokens: 10, TtlMs: group.MaxTimeToLive.Milliseconds()})
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// Guards against an account with more holds on an endpoint than MaxPerAccount. A hold
// that was renewed by the leader of its group no longer counts as a hold of its account.
func TestRenewedHoldCountsForAccount(t *testing.T) {
	leader, member := newTestServer(t), newTestServer(t)
	pool := peerclient.NewConnectionPool(&peerpb.Sender{}, insecure.NewCredentials())
	t.Cleanup(pool.Close)
	renewed := make(chan struct{}, 1)
	leader.service.config.MemberClient = renewalObserver{pool, renewed}
	leader.blockRuns(t)

	if own, other := leader.hold(t, "h1", "a"), member.hold(t, "h2", "a"); !own.Held || !other.Held {
		t.Fatalf("holds of the group = %v, %v, want both held", own, other)
	}
	o := newOffer("r1")
	o.Group = &peerpb.Group{GroupId: "g", Members: []*peerpb.GroupMember{
		{Endpoint: "e1", HoldId: "h1", Tokens: 10}, {Endpoint: "e2", SidecarAddress: serveMember(t, member.service), HoldId: "h2", Tokens: 10},
	}}
	receiveEvent(t, leader.openAttempt(t, o))
	select {
	case <-renewed:
	case <-time.After(group.MaxTimeToLive):
		t.Fatal("the hold was not renewed")
	}

	limit := group.DefaultConfig().MaxPerAccount
	for i := 1; i < limit; i++ {
		if r := member.hold(t, fmt.Sprintf("more-%d", i), "a"); !r.Held {
			t.Fatalf("hold %d of account a refused: %s", i+1, r.Reason)
		}
	}
	if r := member.hold(t, "one too many", "a"); r.Held {
		t.Errorf("hold %d of account a is granted, want at most %d holds", limit+1, limit)
	}
}

// Guards against a group's prompt that is cut off because the sidecar of a member stops while
// the member's engine still holds a part of it.
func TestDrainWaitsForHolds(t *testing.T) {
	ts := newTestServer(t)
	request := &peerpb.HoldRequest{HoldId: "h", GroupId: "g", Tokens: 10, TtlMs: group.MaxTimeToLive.Milliseconds()}
	hold := func() *peerpb.HoldResponse {
		t.Helper()
		response, err := ts.sidecarClient.Hold(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	if !hold().Held {
		t.Fatal("no hold")
	}
	drained := ts.loop.Drain()
	select {
	case <-drained:
		t.Fatal("the drain ended while a group used the engine's memory")
	case <-time.After(200 * time.Millisecond):
	}
	if r := hold(); !r.Held {
		t.Errorf("renewal during the drain refused: %s", r.Reason)
	}
	if _, err := ts.sidecarClient.ReleaseHold(t.Context(), &peerpb.ReleaseHoldRequest{HoldId: "h"}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-drained:
	case <-time.After(5 * time.Second):
		t.Error("the drain goes on after the release of the last hold")
	}
}
