package control

import (
	"testing"
	"time"

	"siskinstand.example/coord/fairshare"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/edge/peer"
	"siskinstand.example/platform"
)

func fairLoop(t *testing.T, replicas ...platform.Replica) *Loop {
	l := testLoop(t, replicas...)
	l.accounts = newAccounts()
	l.config.Sections = []ReportSection{l.accounts}
	return l
}

func promptOf(l *Loop, t *testing.T, account string, tokens int) PlacementRequest {
	req := largeRequest(l, t)
	req.Account, req.Request.PromptTokens = account, tokens
	return req
}

// Load pattern: one account fills 14 of the 16 slots of the only replica with short prompts, then
// another host reports that prompts of another account wait. Guards against an account over its
// share that takes the last slots, against refusals without competition, and against a host that
// does not learn of requests that wait elsewhere.
func TestLastSlotsAreLeftToOthers(t *testing.T) {
	l := fairLoop(t, replica("a", "llm", "z1"))
	addPeer := func(incarnation int64) {
		l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Address: "x", Incarnation: incarnation}}}})
	}
	addPeer(1)
	var placed []Assignment
	for i := range 15 {
		account := "large"
		if i == 0 {
			account = "idle"
		}
		d, ok := pollDecision(l.requestPlacement(time.Millisecond, promptOf(l, t, account, 200)))
		if !ok || d.refusal.Reason != "" {
			t.Fatalf("refused without competition: %+v", d.refusal)
		}
		placed = append(placed, d.assignment)
	}
	other := fairshare.New(fairshare.DefaultConfig())
	other.RecordWait(0, "small", fairshare.Short)
	other.Charge(0, "elsewhere", fairshare.Short, time.Second)
	report := peerReport{name: "edge-2", incarnation: 1, sequence: 1, sections: []peer.Section{{Type: peer.SectionAccountUsage, Data: other.Append(0, nil)}}}
	now := 50 * time.Millisecond
	l.handle(now, report)
	placeAndCheckReason(t, l, now, promptOf(l, t, "large", 200), RefusedAccountShare)
	placeAndCheckReason(t, l, now, promptOf(l, t, "small", 200), "")

	// The other host restarts, so that its request no longer waits.
	addPeer(2)
	l.handle(now, sendEnded{assignmentID: placed[0].ID, target: placed[0].Target, result: SendResult{Outcome: health.Served}})
	if share := l.accounts.Share(now, "elsewhere"); share > 0 {
		t.Errorf("share %.2f after the restart of the host that reported it, want none", share)
	}
	now += time.Second
	placeAndCheckReason(t, l, now, promptOf(l, t, "large", 200), "")
	l.endContention(now + 2*time.Second)
	if len(l.accounts.contentions) > 0 {
		t.Error("the requests to the service still compete after 2 s without a refusal")
	}
}

// Guards against a charge that stays too high after a send that the replica did not answer, or too
// low after a long answer, and against charges that are kept after the end of their requests.
func TestChargesAreCorrected(t *testing.T) {
	l := fairLoop(t, replica("a", "llm", "z1"))
	for _, tc := range []struct {
		account string
		began   bool
		took    time.Duration
	}{{"failed", false, time.Millisecond}, {"short", true, 500 * time.Millisecond}, {"", true, 10 * time.Second}} {
		d, _ := pollDecision(l.requestPlacement(0, promptOf(l, t, tc.account, 2000)))
		l.handle(tc.took, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served, Began: tc.began}})
	}
	now := 11 * time.Second
	failed, short, public := l.accounts.Share(now, "failed"), l.accounts.Share(now, "short"), l.accounts.Share(now, "")
	if len(l.accounts.charges) > 0 || failed > 0.02 || short < 2*failed || public < 2*short {
		t.Errorf("%d charges left, shares %.3f, %.3f and %.3f, want increasing ones", len(l.accounts.charges), failed, short, public)
	}
}

// Load pattern: three large prompts of one account wait, then one of another. Guards against a
// queue in which an account waits behind all prompts of another.
func TestFairOrder(t *testing.T) {
	l := fairLoop(t)
	var queue []placementMessage
	for i, account := range []string{"a", "a", "a", "b"} {
		queue = append(queue, placementMessage{request: promptOf(l, t, account, 200_000), receivedAt: time.Duration(i)})
	}
	got := ""
	for _, m := range l.fairOrder(time.Second, queue) {
		got += m.request.Account
	}
	l.accounts = nil
	if l.fairOrder(time.Second, queue)[3].request.Account != "b" || got != "abaa" {
		t.Errorf("order %s with shares, want abaa", got)
	}
	if class, _, _ := l.requestCost(plainRequest(l, t)); class != fairshare.Short || l.leavesLastSlots(0, plainRequest(l, t), []placement.Candidate{}) {
		t.Error("a plain call is subject to shares")
	}
}
