package control

import (
	"testing"
	"time"

	"siskinstand.example/coord/cost"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/edge/peer"
	"siskinstand.example/platform"
)

// streamRequest is a short prompt whose output is 920 tokens, 20 events of 46, by the hint.
func streamRequest(l *Loop, t testing.TB) PlacementRequest {
	req := largeRequest(l, t)
	req.Request.PromptTokens, req.Request.OutputTokens, req.Route, req.Account, req.OutputHint = 5000, 4000, "chat", "a", 920
	return req
}

// runStream places a request and ends it after the given number of events.
func runStream(l *Loop, now time.Duration, req PlacementRequest, events int) Assignment {
	d, _ := pollDecision(l.requestPlacement(now, req))
	l.handle(now+50*time.Millisecond, responseStarted{d.assignment.ID})
	l.handle(now+time.Second, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served, Finished: true, Events: events}})
	return d.assignment
}

func TestCostPrediction(t *testing.T) {
	t.Run("streams", func(t *testing.T) {
		// Guards against predictions that ignore what streams return, requests that are kept
		// after their end, and hosts that do not learn from each other's reports.
		l, other := testLoop(t, replica("a", "llm", "z1")), testLoop(t, replica("a", "llm", "z1"))
		l.enableCostPrediction()
		other.enableCostPrediction()
		const bin = 1.42 // width of a bin of the learned distribution
		var last Assignment
		for i := range 100 {
			last = runStream(l, time.Duration(i)*time.Second, streamRequest(l, t), 5)
		}
		if p := float64(last.Cost.P50); p < 230/bin || p > 230*bin || last.Cost.Source != cost.SourceAccount {
			t.Errorf("median of %v tokens from %q, want 230 from %q", p, last.Cost.Source, cost.SourceAccount)
		}
		if n := len(l.costs.running); n != 0 {
			t.Errorf("%d running requests after their end, want 0", n)
		}
		other.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Address: "x", Incarnation: 1}}}})
		now := 100 * time.Second
		other.handle(now, peerReport{name: "edge-2", incarnation: 1, sequence: 1, sections: l.reportSections(now)})
		d, _ := pollDecision(other.requestPlacement(now, streamRequest(other, t)))
		if p := d.assignment.Cost.P50; p > 400 || d.assignment.Cost.Source != cost.SourcePeers {
			t.Errorf("median at the other host: %d tokens from %q, want at most 400 from %q", p, d.assignment.Cost.Source, cost.SourcePeers)
		}
		if rest := other.ledger.Loads(now)[placement.ShortID("a")].Remaining; rest <= 0 {
			t.Errorf("remaining work of a running stream: %v, want more than 0", rest)
		}
	})
	t.Run("retry", func(t *testing.T) {
		// Guards against learning the rest of a continued stream as a whole output.
		l := testLoop(t, replica("a", "llm", "z1"))
		l.enableCostPrediction()
		req := streamRequest(l, t)
		req.IsRetry = true
		runStream(l, 0, req, 1)
		if n := l.costs.predictor.Len(); n != 0 {
			t.Errorf("%d keys, want 0", n)
		}
	})
	t.Run("plain calls", func(t *testing.T) {
		// Guards against a call at the replica with more remaining work.
		l := testLoop(t, replica("a", "app", "z1"), replica("b", "app", "z1"))
		l.enableCostPrediction()
		for route, took := range map[string]time.Duration{"slow": time.Second, "fast": 10 * time.Millisecond} {
			for i := range 20 {
				l.costs.predictor.Observe(time.Duration(i), cost.Request{Route: route}, cost.Result{Took: took})
			}
		}
		req := plainRequest(l, t)
		req.Route = "slow"
		slow, _ := pollDecision(l.requestPlacement(0, req))
		req.Route = "fast"
		fast, _ := pollDecision(l.requestPlacement(0, req))
		if slow.assignment.Target == fast.assignment.Target {
			t.Fatal("both calls at one replica")
		}
		for i := range 8 {
			req.ID = string(rune('a' + i))
			d, _ := pollDecision(l.requestPlacement(0, req))
			if d.assignment.Target != fast.assignment.Target {
				t.Errorf("call %s placed at the replica with a slow call", req.ID)
			}
			l.handle(0, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served}})
		}
	})
	t.Run("off", func(t *testing.T) {
		// Guards against sections, work in load rows and other decisions while the setting is
		// off, also if another host has it on.
		l := testLoop(t, replica("a", "app", "z1"), replica("b", "app", "z1"))
		want, _ := pollDecision(l.requestPlacement(0, plainRequest(l, t)))
		l.handle(0, sendEnded{assignmentID: want.assignment.ID, target: want.assignment.Target, result: SendResult{Outcome: health.Served, Finished: true}})
		l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Address: "x", Incarnation: 1}}}})
		busy := placement.ReplicaReport{Load: placement.Load{Remaining: time.Hour, EndInterval: time.Second, ShortestRest: time.Second}}
		l.handle(0, peerReport{name: "edge-2", incarnation: 1, sequence: 1, sections: []peer.Section{{Type: peer.SectionCostEstimates, Data: make([]byte, 7)}},
			report: placement.Report{Replicas: map[uint32]placement.ReplicaReport{placement.ShortID(want.assignment.Target.ID): busy}}})
		got, _ := pollDecision(l.requestPlacement(0, plainRequest(l, t)))
		if got.assignment.Target != want.assignment.Target || got.assignment.Cost.LogFields() != nil {
			t.Errorf("placed at %v, want %v without an estimate", got.assignment.Target, want.assignment.Target)
		}
		if s := l.reportSections(0); len(s) > 0 {
			t.Errorf("%d sections, want none", len(s))
		}
	})
}

func BenchmarkPlaceShortWithCosts(b *testing.B) {
	l := largeFleetLoop(b)
	l.enableCostPrediction()
	b.ReportAllocs()
	req := streamRequest(l, b)
	req.Request.MaxGap = 250 * time.Millisecond
	for b.Loop() {
		d, _ := pollDecision(l.requestPlacement(0, req))
		l.handle(0, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served, Finished: true, Events: 20}})
	}
}
