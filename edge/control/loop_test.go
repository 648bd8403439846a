package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/directory"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/platform"
)

const testConfiguration = `{"version":1,"routes":[],"services":[
{"name":"llm","cold_per_s":8,"engine":{"slots":16,"kv_capacity":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048}},
{"name":"app"}]}`

type alwaysReachable struct{}

func (alwaysReachable) Probe(context.Context, string) error { return nil }

// testLoop returns a loop that is not running, with the given replicas. Tests pass it
// messages directly.
func testLoop(t testing.TB, replicas ...platform.Replica) *Loop {
	t.Helper()
	c, err := platform.DecodeConfig([]byte(testConfiguration))
	if err != nil {
		t.Fatal(err)
	}
	l := New(Config{
		Name: "edge-1", Regions: map[string]string{"z1": "r1", "z2": "r2"}, RetryLimits: RetryLimits{Share: 0.2, Slack: 10},
		PeerTimeout: 2 * time.Second, FullReportInterval: time.Second, Prober: alwaysReachable{}, Placement: placement.DefaultPolicy(), Directory: directory.DefaultPolicy(),
	})
	l.ctx = context.Background()
	list := []platform.Change{{Kind: platform.ChangeConfig, Config: c}}
	for _, r := range replicas {
		list = append(list, platform.Change{Kind: platform.ChangeReplica, Name: r.ID, Replica: r})
	}
	l.handle(0, storeUpdate{full: true, list: list})
	return l
}

func replica(id, service, zone string) platform.Replica {
	return platform.Replica{ID: id, Service: service, Address: id + ":1", Zone: zone, Slots: 16}
}

func (l *Loop) service(t testing.TB, name string) *catalog.Service {
	t.Helper()
	s := l.View().Catalog.Service(name)
	if s == nil {
		t.Fatalf("service %q is not configured", name)
	}
	return s
}

func plainRequest(l *Loop, t *testing.T) PlacementRequest {
	return PlacementRequest{ID: "a", Service: l.service(t, "app"), Request: placement.Request{Service: "app", Objective: time.Second, TimeLeft: time.Second}}
}

func largeRequest(l *Loop, t testing.TB) PlacementRequest {
	return PlacementRequest{ID: "a", Service: l.service(t, "llm"), Request: placement.Request{
		Service: "llm", PromptTokens: 200_000, OutputTokens: 800, Objective: 3 * time.Second, TimeLeft: 15 * time.Second, MaxGap: 800 * time.Millisecond,
	}}
}

func (l *Loop) requestPlacement(now time.Duration, req PlacementRequest) chan decision {
	reply := make(chan decision, 1)
	l.handle(now, placementMessage{ctx: context.Background(), request: req, reply: reply, receivedAt: now})
	return reply
}

// pollDecision returns the result of a placement, or false while the request is queued.
func pollDecision(reply chan decision) (decision, bool) {
	select {
	case d := <-reply:
		return d, true
	default:
		return decision{}, false
	}
}

func placeAndCheckReason(t *testing.T, l *Loop, now time.Duration, req PlacementRequest, want RefusalReason) {
	t.Helper()
	d, ok := pollDecision(l.requestPlacement(now, req))
	if diff := cmp.Diff(want, d.refusal.Reason); diff != "" || !ok {
		t.Errorf("decided %t (-want +got):\n%s", ok, diff)
	}
}

func TestCandidates(t *testing.T) {
	t.Run("regions", func(t *testing.T) {
		// Guards against placement outside the regions that the route or client account allows.
		l := testLoop(t, replica("a", "app", "z1"), replica("b", "app", "z2"))
		req := plainRequest(l, t)
		req.Regions = []string{"r2"}
		for range 5 {
			if d, _ := pollDecision(l.requestPlacement(0, req)); d.assignment.Target.ID != "b" {
				t.Errorf("placed at %q, want b", d.assignment.Target.ID)
			}
		}
		req.Regions = []string{"r3"}
		placeAndCheckReason(t, l, 0, req, RefusedNoReplica)
	})
	t.Run("tried", func(t *testing.T) {
		// Guards against a retry at the replica that has just failed.
		l := testLoop(t, replica("a", "app", "z1"))
		req := plainRequest(l, t)
		req.Excluded = []string{"a"}
		placeAndCheckReason(t, l, 0, req, RefusedNoReplica)
	})
	t.Run("cold", func(t *testing.T) {
		// Guards against exceeding the rate of a cold replica: 8 requests a second, shared by two hosts.
		cold := replica("a", "llm", "z1")
		cold.ColdTimeLeft = 10 * time.Second
		l := testLoop(t, cold)
		l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Address: "x", Incarnation: 1}}}})
		req := largeRequest(l, t)
		req.Request.PromptTokens = 1000
		for range 4 {
			placeAndCheckReason(t, l, 0, req, "")
		}
		placeAndCheckReason(t, l, 900*time.Millisecond, req, RefusedNoReplica)
		placeAndCheckReason(t, l, 1100*time.Millisecond, req, "")
	})
	t.Run("unreachable", func(t *testing.T) {
		// Guards against requests to a replica that accepts no connections.
		l := testLoop(t, replica("a", "app", "z1"))
		d, _ := pollDecision(l.requestPlacement(0, plainRequest(l, t)))
		l.handle(0, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Unreachable}})
		placeAndCheckReason(t, l, time.Second, plainRequest(l, t), RefusedNoReplica)
		l.handle(time.Second, probeResult{id: "a"})
		placeAndCheckReason(t, l, time.Second, plainRequest(l, t), "")
	})
}

func TestRetryBudget(t *testing.T) {
	// Guards against retries beyond this host's share of the platform's limit when callers retry immediately:
	// 0.7 of the burst of 10, and 0.14 for each first send.
	l := testLoop(t, replica("a", "app", "z1"), replica("b", "app", "z1"))
	retry := plainRequest(l, t)
	retry.IsRetry = true
	allowed := 0
	for i := range 100 {
		now := time.Duration(i) * time.Millisecond
		d, _ := pollDecision(l.requestPlacement(now, plainRequest(l, t)))
		l.handle(now, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served}})
		if r, _ := pollDecision(l.requestPlacement(now, retry)); r.refusal.Reason == "" {
			allowed++
			l.handle(now, sendEnded{assignmentID: r.assignment.ID, target: r.assignment.Target, result: SendResult{Outcome: health.Served}})
		}
	}
	if allowed < 10 || allowed > 21 {
		t.Errorf("%d retries for 100 requests, want 10 to 21", allowed)
	}
}

func TestQueue(t *testing.T) {
	newBusyLoop := func(t *testing.T) (*Loop, []Assignment) {
		l := testLoop(t, replica("a", "llm", "z1"), replica("b", "llm", "z1"), replica("c", "llm", "z1"), replica("d", "llm", "z1"))
		var assignments []Assignment
		for {
			reply := l.requestPlacement(0, largeRequest(l, t))
			d, ok := pollDecision(reply)
			if !ok {
				return l, assignments
			}
			if d.refusal.Reason != "" {
				t.Fatalf("refused at once: %+v", d.refusal)
			}
			assignments = append(assignments, d.assignment)
		}
	}
	t.Run("placed when replicas are free", func(t *testing.T) {
		// Guards against a prompt that stays queued although replicas are free, or that is refused although it can
		// meet its objective.
		l, assignments := newBusyLoop(t)
		if len(l.queue) != 1 || len(assignments) == 0 {
			t.Fatalf("%d prompts placed, %d queued, want some placed and one queued", len(assignments), len(l.queue))
		}
		now := 1200 * time.Millisecond
		for _, a := range assignments {
			l.handle(now, responseStarted{a.ID})
		}
		l.placeQueued(now)
		if len(l.queue) != 0 {
			t.Error("the prompt is still queued")
		}
	})
	t.Run("many prompts ahead", func(t *testing.T) {
		// Guards against queueing prompts that cannot meet their objective because of the prompts ahead of them.
		l, _ := newBusyLoop(t)
		for range 20 {
			l.requestPlacement(0, largeRequest(l, t))
		}
		if len(l.queue) > 5 {
			t.Errorf("%d prompts of 2.6 s are queued for four replicas, want 5 at most", len(l.queue))
		}
	})
	t.Run("waited too long", func(t *testing.T) {
		// Guards against a late refusal: the longest wait is 0.85 of the objective.
		l, _ := newBusyLoop(t)
		l.placeQueued(2600 * time.Millisecond)
		if len(l.queue) != 0 {
			t.Error("a prompt is queued for longer than its share of the objective")
		}
	})
	t.Run("still in time", func(t *testing.T) {
		// Guards against refusing a large prompt after 0.6 of its objective although all replicas together can
		// process it in the remaining time.
		l, _ := newBusyLoop(t)
		l.placeQueued(1900 * time.Millisecond)
		if len(l.queue) != 1 {
			t.Errorf("%d prompts queued, want 1", len(l.queue))
		}
	})
	t.Run("host drains", func(t *testing.T) {
		// Guards against a prompt that stays queued at a draining host until the host exits and the connection
		// closes without a response (soak seed 204).
		l, _ := newBusyLoop(t)
		l.config.DrainQueueTime = 700 * time.Millisecond
		reply := make(chan decision, 1)
		l.queue[0].reply = reply
		l.handle(100*time.Millisecond, drainStarted{})
		l.placeQueued(600 * time.Millisecond)
		if len(l.queue) != 1 {
			t.Error("the prompt is not queued although it can finish in time")
		}
		l.placeQueued(900 * time.Millisecond)
		if d, ok := pollDecision(reply); !ok || d.refusal.Reason != RefusedDraining {
			t.Errorf("decided %t: %+v, want a refusal because the host is draining", ok, d.refusal)
		}
		placeAndCheckReason(t, l, time.Second, largeRequest(l, t), RefusedDraining)
	})
	t.Run("caller left", func(t *testing.T) {
		// Guards against placing a request whose caller has disconnected.
		l, _ := newBusyLoop(t)
		ctx, cancel := context.WithCancel(context.Background())
		l.queue[0].ctx = ctx
		cancel()
		l.placeQueued(time.Second)
		if len(l.queue) != 0 || l.ledger.JobCount() != 1 {
			t.Errorf("%d queued and %d running, want none queued and the first job running", len(l.queue), l.ledger.JobCount())
		}
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	// Guards against replacing the configuration with an older version within one process lifetime.
	l := testLoop(t)
	old, err := platform.DecodeConfig([]byte(`{"version":0}`))
	if err != nil {
		t.Fatal(err)
	}
	l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangeConfig, Config: old}}})
	if got := l.View().Catalog.Version(); got != 1 {
		t.Errorf("version %d in force, want 1", got)
	}
}

func TestReportIntervalGrowsWithHosts(t *testing.T) {
	// Guards against a number of reports that grows with the square of the number of hosts.
	l := testLoop(t)
	l.config.MinReportInterval, l.config.MaxReportsPerSecond = 10*time.Millisecond, 2500
	for _, tc := range []struct {
		peers int
		want  time.Duration
	}{{4, 10 * time.Millisecond}, {25, 10 * time.Millisecond}, {100, 40 * time.Millisecond}, {375, 150 * time.Millisecond}} {
		for i := range tc.peers {
			l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: fmt.Sprint(i)}}})
		}
		if got := l.reportInterval(); got != tc.want {
			t.Errorf("%v between reports to %d hosts, want %v", got, tc.peers, tc.want)
		}
	}
}

func TestIsolatedHost(t *testing.T) {
	// Guards against a host without network that makes the others stop using all replicas, by reporting them as
	// unreachable in a series of partial reports.
	var list []platform.Replica
	for i := range 9 {
		list = append(list, replica(fmt.Sprintf("i-%d", i), "app", "z1"))
	}
	l := testLoop(t, list...)
	l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Incarnation: 1}}}})
	for _, r := range list {
		rows := map[uint32]placement.ReplicaReport{placement.ShortID(r.ID): {Unreachable: true}}
		l.handle(time.Millisecond, peerReport{name: "edge-2", incarnation: 1, report: placement.Report{Partial: true, Replicas: rows}})
	}
	out := 0
	for _, r := range list {
		if !l.health.Usable(2*time.Millisecond, r.ID) {
			out++
		}
	}
	if out > 3 {
		t.Errorf("%d of 9 replicas are out of use, want at most 3", out)
	}
}
