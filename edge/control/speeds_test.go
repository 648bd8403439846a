package control

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/replicaspeed"
	"siskinstand.example/edge/peer"
	"siskinstand.example/platform"
)

const delaysConfiguration = `"delays":[{"from":"z1","target_version":"z2","delay_ms":3.5}],"slots"`

type fixedConnections map[string]*atomic.Int64

func (f fixedConnections) IdleUntil(address string) *atomic.Int64 {
	if f[address] == nil {
		f[address] = &atomic.Int64{}
	}
	return f[address]
}

// FullUntil implements ConnectionLimits.
func (f fixedConnections) FullUntil(address string) *atomic.Int64 { return f.IdleUntil(address) }

// OpenConnections implements ConnectionLimits.
func (f fixedConnections) OpenConnections(string) int { return 0 }

// YieldIdle implements ConnectionLimits.
func (f fixedConnections) YieldIdle(string, int) {}

// RetainIdle implements ConnectionLimits.
func (f fixedConnections) RetainIdle(map[string]bool) {}

func TestZoneDelaysAndConnections(t *testing.T) {
	// Guards against delays of an old configuration, delays that count although they are
	// switched off, and a connection that counts after its time.
	l := testLoop(t, replica("a", "llm", "z2"), replica("b", "llm", "z1"), replica("c", "app", "z2"))
	connections := fixedConnections{}
	l.config.Zone, l.config.ZoneDelays, l.config.Connections = "z1", true, connections
	req := largeRequest(l, t)
	delays := func() map[string]time.Duration {
		found := map[string]time.Duration{}
		for _, c := range l.candidates(time.Second, req) {
			found[c.ID] = c.Delay
		}
		return found
	}
	if d := delays(); d["a"] != 0 {
		t.Errorf("delay without a configured one is %v", d["a"])
	}
	c, err := platform.DecodeConfig([]byte(strings.Replace(testConfiguration, `"slots"`, delaysConfiguration, 1)))
	if err != nil {
		t.Fatal(err)
	}
	l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangeConfig, Config: c}}})
	if d := delays(); d["a"] != 7*time.Millisecond || d["b"] != 0 {
		t.Errorf("delays are %v, want 7ms to a and none to b", d)
	}
	if d := roundTrip(l.View().Catalog, "app", "z1", "z2"); d != 7*time.Millisecond {
		t.Errorf("delay to the plain service is %v, want that of the other service", d)
	}
	connections["a:1"].Store(int64(1500 * time.Millisecond))
	for at, want := range map[time.Duration]bool{time.Second: true, 2 * time.Second: false} {
		for _, candidate := range l.candidates(at, req) {
			if candidate.Connected != (want && candidate.ID == "a") {
				t.Errorf("%v: replica %s is connected: %v", at, candidate.ID, candidate.Connected)
			}
		}
	}
	// Guards against a replica that returns and gets nothing, since all others are connected.
	l = testLoop(t, replica("c", "app", "z1"), replica("d", "app", "z1"))
	l.config.Connections = fixedConnections{"c:1": connections["a:1"]}
	atReplica := map[string]int{}
	for i := range 160 {
		plain := plainRequest(l, t)
		plain.ID = fmt.Sprint(i)
		d, _ := pollDecision(l.requestPlacement(time.Second, plain))
		atReplica[d.assignment.Target.ID]++
		l.handle(time.Second, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served}})
	}
	if n := atReplica["d"]; n < 2 || n > 40 {
		t.Errorf("%d of 160 plain calls at the replica without a connection, want 2 to 40", n)
	}
	l = testLoop(t, replica("a", "llm", "z2"), replica("b", "llm", "z1"))
	l.config.Zone = "z1"
	l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangeConfig, Config: c}}})
	if d := delays(); d["a"] != 0 {
		t.Errorf("delay with zone_delays off is %v", d["a"])
	}
}

func TestLearnedSpeeds(t *testing.T) {
	l := testLoop(t, replica("a", "llm", "z1"))
	req := largeRequest(l, t)
	req.Request.PromptTokens = 2000
	// answer plays a request whose first event arrives after the given time.
	answer := func(now, took time.Duration, meanwhile ...message) bool {
		d, _ := pollDecision(l.requestPlacement(now, req))
		for _, m := range meanwhile {
			l.handle(now, m)
		}
		if d.assignment.Measured {
			l.handle(now+took, firstEvent{d.assignment.ID, now + took})
		}
		l.handle(now+took, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served}})
		return d.assignment.Measured
	}
	if answer(0, time.Second) {
		t.Error("a request is measured although learned_speeds is off")
	}
	tracker, scope := replicaspeed.New(replicaspeed.DefaultConfig()), tally.NewTestScope("", nil)
	l.config.Speeds, l.config.Sections, l.config.Scope = tracker, []ReportSection{SpeedSection{tracker}}, scope
	speed := func(now time.Duration) float64 { return l.candidates(now, req)[0].Speed }
	started := replica("a", "llm", "z1")
	started.StartUnixMs = 5
	restart := storeUpdate{list: []platform.Change{{Kind: platform.ChangeReplica, Name: "a", Replica: started}}}
	// Guards against results of requests sent before a restart.
	answer(time.Second, time.Second, restart)
	answer(3*time.Second, 500*time.Millisecond)
	if f := speed(4 * time.Second); f != 0 {
		t.Errorf("factor %.2f after a restart and one slow result, want nominal", f)
	}
	// Guards against a result that is not counted, and against one that does not reach others.
	answer(4*time.Second, 500*time.Millisecond)
	if f := speed(5 * time.Second); f < 3 {
		t.Errorf("factor %.2f after two results of 500 ms, want above 3", f)
	}
	if sections := l.reportSections(5 * time.Second); len(sections) != 1 || sections[0].Type != peer.SectionReplicaSpeeds {
		t.Errorf("sections %+v, want the speeds", sections)
	}
	if g := scope.Snapshot().Gauges(); g["slow_replicas+"].Value() != 1 || g["largest_replica_factor+"].Value() < 3 {
		t.Errorf("%v slow replicas, largest factor %v; want 1 and above 3", g["slow_replicas+"].Value(), g["largest_replica_factor+"].Value())
	}
	// Guards against waiting for a slot that is taken for a slow replica.
	tracker.Reset(6*time.Second, placement.ShortID("a"))
	full := placement.Report{Replicas: map[uint32]placement.ReplicaReport{placement.ShortID("a"): {Load: placement.Load{Streams: 14}}}}
	l.handle(6*time.Second, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Address: "x", Incarnation: 1}}}})
	l.handle(6*time.Second, peerReport{name: "edge-2", incarnation: 1, report: full})
	if answer(6*time.Second, time.Second) {
		t.Error("a request at a replica with two free slots is measured")
	}
	// Guards against samples that stay when requests end without a first event.
	l.ledger.RemovePeer("edge-2")
	d, _ := pollDecision(l.requestPlacement(8*time.Second, req))
	l.handle(8*time.Second, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.Served}})
	if _, ok := tracker.Pending(d.assignment.ID); ok || !d.assignment.Measured {
		t.Errorf("measured: %v, still pending: %v; want a measured request that is forgotten", d.assignment.Measured, ok)
	}
	// Guards against state of replicas that no longer exist.
	answer(8*time.Second, 500*time.Millisecond)
	answer(8*time.Second, 500*time.Millisecond)
	if speed(9*time.Second) == 0 {
		t.Error("nominal after two slow results")
	}
	l.handle(9*time.Second, storeUpdate{full: true})
	if n := len(tracker.Slow()); n != 0 {
		t.Errorf("%d slow replicas after all were deleted", n)
	}
}

// BenchmarkPlaceShortUneven is BenchmarkPlaceShort with connections, zone delays and, in the
// worst case, one slow replica in ten and a slow zone.
func BenchmarkPlaceShortUneven(b *testing.B) {
	for name, slowReplicas := range map[string]bool{"nominal": false, "slow": true} {
		b.Run(name, func(b *testing.B) {
			l := largeFleetLoop(b)
			tracker := replicaspeed.New(replicaspeed.DefaultConfig())
			l.config.Zone, l.config.ZoneDelays, l.config.Connections, l.config.Speeds = "z1", true, fixedConnections{}, tracker
			c, err := platform.DecodeConfig([]byte(strings.Replace(testConfiguration, `"slots"`, delaysConfiguration, 1)))
			if err != nil {
				b.Fatal(err)
			}
			list := []platform.Change{{Kind: platform.ChangeConfig, Config: c}}
			for i := range largeFleetReplicas {
				r := replica(fmt.Sprintf("r-%d", i), "llm", []string{"z1", "z2", "z3"}[i%3])
				list = append(list, platform.Change{Kind: platform.ChangeReplica, Name: r.ID, Replica: r})
			}
			l.handle(0, storeUpdate{list: list})
			for i := 0; slowReplicas && i < largeFleetReplicas; i++ {
				if i%10 != 0 && i%3 != 2 {
					continue
				}
				for n := range uint64(2) {
					tracker.Begin(n, replicaspeed.Request{Replica: placement.ShortID(fmt.Sprintf("r-%d", i)), Zone: fmt.Sprint("z", i%3+1), Predicted: 80 * time.Millisecond})
					tracker.FirstEvent(0, n, 400*time.Millisecond)
				}
			}
			req := largeRequest(l, b)
			req.Request.PromptTokens, req.Request.MaxGap = 5000, 250*time.Millisecond
			b.ReportAllocs()
			for b.Loop() {
				d, _ := pollDecision(l.requestPlacement(0, req))
				l.handle(0, firstEvent{d.assignment.ID, 80 * time.Millisecond})
				l.handle(0, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: "served"}})
			}
		})
	}
}
