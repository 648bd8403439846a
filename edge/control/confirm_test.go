package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"siskinstand.example/platform"
)

// confirmLoop returns a loop with twelve replicas and another host. Its confirmations are in its
// message queue.
func confirmLoop(t *testing.T, name, other string) *Loop {
	var replicas []platform.Replica
	for i := range 12 {
		replicas = append(replicas, replica(fmt.Sprint("r", i), "llm", "z1"))
	}
	l := testLoop(t, replicas...)
	l.config.Name, l.config.ConfirmMemory = name, true
	l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: other, Peer: platform.Peer{Address: "x", Incarnation: 1}}}})
	return l
}

func (l *Loop) reportTo(now time.Duration, other *Loop) {
	other.handle(now, peerReport{name: l.config.Name, incarnation: 1, report: l.ledger.Report(now, 0, 0, nil)})
}

// handleNext handles the next message, a confirmation.
func (l *Loop) handleNext(t *testing.T, now time.Duration) {
	t.Helper()
	select {
	case m := <-l.messages:
		l.handle(now, m)
	case <-time.After(2 * time.Second):
		t.Fatal("no confirmation is due")
	}
}

// Guards against two hosts that fill the memory of a replica twice, because neither knows of the
// other's placement, and against a prompt that is not sent although it fits.
func TestMemoryIsConfirmed(t *testing.T) {
	l, other := confirmLoop(t, "edge-1", "edge-2"), confirmLoop(t, "edge-2", "edge-1")
	l.reportTo(0, other)
	other.reportTo(0, l)
	now := time.Second
	req := largeRequest(l, t)
	req.Request.PromptTokens = 230_000
	first, second := l.requestPlacement(now, req), other.requestPlacement(now, req)
	if _, ok := pollDecision(first); ok || l.ledger.JobCount() != 1 {
		t.Fatalf("sent %t before the other host knows of it, %d jobs", ok, l.ledger.JobCount())
	}
	l.reportTo(now, other)
	l.handleNext(t, now)
	a, ok := pollDecision(first)
	if !ok || a.assignment.ID == 0 {
		t.Fatalf("not placed although the replica has room: %+v", a)
	}
	other.handleNext(t, now)
	if _, ok := pollDecision(second); ok {
		t.Fatal("the second prompt is sent or refused without another placement")
	}
	now += 400 * time.Millisecond // it may wait for a replica that is already decoding
	other.placeQueued(now)
	other.handleNext(t, now)
	b, ok := pollDecision(second)
	if !ok || b.assignment.ID == 0 || b.assignment.Target.ID == a.assignment.Target.ID || other.ledger.JobCount() != 1 {
		t.Errorf("second prompt at %q with %d jobs, want it at another replica than %q with 1", b.assignment.Target.ID, other.ledger.JobCount(), a.assignment.Target.ID)
	}

	ctx, cancel := context.WithCancel(context.Background())
	reply := make(chan decision, 1)
	req.Request.PromptTokens = 60_000
	l.handle(now, placementMessage{ctx: ctx, request: req, reply: reply, receivedAt: now})
	cancel()
	l.handleNext(t, now)
	if d, ok := pollDecision(reply); !ok || d.assignment.ID == 0 {
		t.Error("no decision for a request whose caller has left, so that its placement is not released")
	}
}
