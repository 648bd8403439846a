package control

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/edge/peer"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// countingSender counts the reports that a loop sends.
type countingSender struct {
	reports    []placement.Report
	recipients peer.Recipients
	neighbors  []string
}

func (s *countingSender) Send(to peer.Recipients, m peer.Message) {
	s.reports = append(s.reports, m.Report)
	s.recipients = to
}

func (s *countingSender) SetNeighbors(addresses []string) { s.neighbors = addresses }

// Guards against reports that tell other hosts nothing: each goes to all of them, and in a
// burst of short prompts on a large deployment, reports took most of a small host's processor
// time. A request without helpers changes the load twice, when it starts and when it ends.
func TestReportsPerRequest(t *testing.T) {
	l := testLoop(t, replica("a", "llm", "z1"))
	sender := &countingSender{}
	l.config.ReportSender = sender
	l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Address: "x", Incarnation: 1}}}})
	now := bootclock.Now()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	l.lastFullReport, l.nextReport = now, 0
	step := func(m message) {
		t.Helper()
		if m != nil {
			l.handle(now, m)
		}
		now += 200 * time.Millisecond
		l.lastFullReport = now // only partial reports
		l.sendReportIfDue(now, timer)
	}
	step(nil)
	sender.reports = nil
	req := largeRequest(l, t)
	req.Request.PromptTokens = 1000
	d, ok := pollDecision(l.requestPlacement(now, req))
	if !ok || d.assignment.ID == 0 {
		t.Fatalf("not placed: %+v", d.refusal)
	}
	step(nil)
	step(responseStarted{d.assignment.ID})
	step(sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served, Finished: true}})
	if len(sender.reports) != 2 {
		t.Errorf("%d reports for one request, want 2: %+v", len(sender.reports), sender.reports)
	}
}

// Guards against bytes between availability zones that grow with the square of the number of
// hosts, against a zone that learns nothing after a forwarder was lost, and against an old
// report that replaces a newer one which it followed on another way.
func TestForwarding(t *testing.T) {
	l := testLoop(t, replica("a", "llm", "z1"))
	sender := &countingSender{}
	l.config.ReportSender, l.config.Zone = sender, "z1"
	var list []platform.Change
	for _, name := range []string{"z1-2", "z1-3", "z2-1", "z2-2", "z2-3", "z2-4", "z3-1", "z3-2", "z3-3"} {
		list = append(list, platform.Change{Kind: platform.ChangePeer, Name: name, Peer: platform.Peer{Address: name, Incarnation: 1, Zone: name[:2]}})
	}
	l.handle(0, storeUpdate{list: list})
	slices.Sort(sender.neighbors)
	if diff := cmp.Diff([]string{"z1-2", "z1-3"}, sender.neighbors); diff != "" {
		t.Errorf("neighbors (-want +got):\n%s", diff)
	}
	check := func(now time.Duration, wantDirect int, wantForwarders ...string) {
		t.Helper()
		to := l.recipients(now)
		if len(to.Direct) != wantDirect {
			t.Errorf("direct recipients %v, want %d", to.Direct, wantDirect)
		}
		if diff := cmp.Diff(wantForwarders, to.Forwarders); diff != "" {
			t.Errorf("forwarders (-want +got):\n%s", diff)
		}
	}
	check(0, 9) // no host has reported yet
	for _, name := range []string{"z2-1", "z2-3", "z3-1"} {
		l.handle(0, peerReport{name: name, incarnation: 1, sequence: 5})
	}
	check(0, 5, "z2-3") // the few hosts of z3 get the report directly
	check(0, 5, "z2-1") // z2-4 is silent, so the next one takes its turn
	check(0, 5, "z2-1")
	check(0, 5, "z2-3")
	l.handle(time.Second, peerReport{name: "z2-1", incarnation: 1, sequence: 6})
	check(1500*time.Millisecond, 5, "z2-1")

	rows := func(streams int) placement.Report {
		return placement.Report{Partial: true, Replicas: map[uint32]placement.ReplicaReport{placement.ShortID("a"): {Load: placement.Load{Streams: streams}}}}
	}
	l.handle(0, peerReport{name: "z2-3", incarnation: 1, sequence: 8, report: rows(2)})
	l.handle(0, peerReport{name: "z2-3", incarnation: 1, sequence: 7, report: rows(1)})
	if got := l.ledger.Loads(0)[placement.ShortID("a")].Streams; got != 2 {
		t.Errorf("%d streams after an overtaken report, want 2", got)
	}
}
