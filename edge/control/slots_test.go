package control

import (
	"context"
	"testing"
	"time"

	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/edge/peer"
	"siskinstand.example/platform"
)

// slotLoop returns a loop that lets short prompts wait, with one replica of two slots.
func slotLoop(t *testing.T) *Loop {
	r := replica("a", "llm", "z1")
	r.Slots = 2
	l := testLoop(t, r)
	l.config.Placement.WaitForSlots = true
	l.waiting = newWaitingSection()
	return l
}

func shortRequest(l *Loop, t *testing.T, id string) PlacementRequest {
	return PlacementRequest{ID: id, Service: l.service(t, "llm"), Request: placement.Request{
		Service: "llm", PromptTokens: 2_000, OutputTokens: 800, Objective: 300 * time.Millisecond, TimeLeft: 10 * time.Second, MaxGap: 200 * time.Millisecond, Hash: placement.HashID(id),
	}}
}

func (l *Loop) end(now time.Duration, d decision) {
	l.handle(now, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served, Finished: true}})
}

func mustPlace(t *testing.T, l *Loop, now time.Duration, id string) decision {
	t.Helper()
	d, ok := pollDecision(l.requestPlacement(now, shortRequest(l, t, id)))
	if !ok || d.assignment.ID == 0 {
		t.Fatalf("%s was not placed: %+v", id, d.refusal)
	}
	return d
}

// Guards against a short prompt that is refused or sent to a full replica although a stream of
// its own host ends in time.
func TestWaitingPromptTakesFreedSlot(t *testing.T) {
	l := slotLoop(t)
	first := mustPlace(t, l, 0, "r1")
	mustPlace(t, l, 0, "r2")
	reply := l.requestPlacement(10*time.Millisecond, shortRequest(l, t, "r3"))
	if d, ok := pollDecision(reply); ok {
		t.Fatalf("decided at once: %+v", d)
	}
	l.end(60*time.Millisecond, first)
	if d, ok := pollDecision(reply); !ok || d.assignment.Target.ID != "a" {
		t.Errorf("decided %t: %+v, want the freed slot", ok, d)
	}
}

// Guards against prompts that wait although they can no longer meet their objective, and
// against a refusal that does not say when to come back.
func TestWaitingPromptIsRefusedInTime(t *testing.T) {
	l := slotLoop(t)
	mustPlace(t, l, 0, "r1")
	mustPlace(t, l, 0, "r2")
	reply := l.requestPlacement(0, shortRequest(l, t, "r3"))
	for now := time.Duration(0); now <= 300*time.Millisecond; now += slotScanInterval {
		l.placeWaitingForSlot(now)
	}
	d, ok := pollDecision(reply)
	if !ok || d.refusal.Reason != RefusalReason(placement.RefusedNoPlace) || d.refusal.RetryAfter <= 0 {
		t.Errorf("decided %t: %+v, want a refusal with a delay", ok, d.refusal)
	}
}

// Guards against a prompt that keeps its place after its caller has left.
func TestWaitingPromptOfCallerThatLeft(t *testing.T) {
	l := slotLoop(t)
	first := mustPlace(t, l, 0, "r1")
	mustPlace(t, l, 0, "r2")
	ctx, cancel := context.WithCancel(t.Context())
	l.handle(0, placementMessage{ctx: ctx, request: shortRequest(l, t, "r3"), reply: make(chan decision, 1)})
	second := l.requestPlacement(0, shortRequest(l, t, "r4"))
	cancel()
	l.end(20*time.Millisecond, first)
	if d, ok := pollDecision(second); !ok || d.assignment.ID == 0 {
		t.Errorf("decided %t: %+v, want the slot", ok, d)
	}
}

// Guards against prompts that wait at a draining host, which has no time for them.
func TestDrainingHostLetsNoPromptWait(t *testing.T) {
	l := slotLoop(t)
	l.handle(0, drainStarted{})
	l.drainStartedAt = 1
	mustPlace(t, l, 0, "r1")
	mustPlace(t, l, 0, "r2")
	d, ok := pollDecision(l.requestPlacement(time.Second, shortRequest(l, t, "r3")))
	if !ok || d.refusal.Reason != RefusedDraining {
		t.Errorf("decided %t: %+v, want %s", ok, d.refusal, RefusedDraining)
	}
}

// Guards against all hosts filling the same replicas after a restart of all of them, when none
// has reports of the others.
func TestSilentPeersCountAsUnreportedPrompts(t *testing.T) {
	l := slotLoop(t)
	for _, name := range []string{"edge-2", "edge-3"} {
		l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: name, Peer: platform.Peer{Address: name, Incarnation: 1}}}})
	}
	if n := l.silentPeerCount(time.Millisecond); n != 2 {
		t.Errorf("%d silent hosts, want 2", n)
	}
	now := time.Millisecond + silentPeerInterval
	l.handle(now, peerReport{name: "edge-2", incarnation: 1, sections: []peer.Section{{Type: peer.SectionWaitingPrompts, Data: []byte{7}}}})
	if n := l.silentPeerCount(now); n != 1 {
		t.Errorf("%d silent hosts after a report, want 1", n)
	}
}

// Guards against prompts of a host that has stopped or been suspended that count as waiting for
// good, and against malformed sections.
func TestWaitingSection(t *testing.T) {
	s := newWaitingSection()
	if err := s.Merge(0, "edge-2", []byte{7}); err != nil {
		t.Fatal(err)
	}
	if err := s.Merge(0, "edge-3", nil); err == nil {
		t.Error("an empty section was accepted")
	}
	if n := s.atPeers(maxWaitingAge); n != 7 {
		t.Errorf("%d prompts wait, want 7", n)
	}
	if n := s.atPeers(maxWaitingAge + 1); n != 0 {
		t.Errorf("%d prompts wait at a silent host, want 0", n)
	}
	s.own = 3
	s.Append(0, nil)
	s.own = 0
	if data := s.Append(0, nil); len(data) != 1 || data[0] != 0 {
		t.Errorf("section %v after the last prompt, want one zero", data)
	}
	if data := s.Append(0, nil); len(data) != 0 {
		t.Errorf("section %v without prompts, want none", data)
	}
}
