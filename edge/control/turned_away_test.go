package control

import (
	"maps"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/health"
	"siskinstand.example/platform"
)

// recordedLimits is a ConnectionLimits that records the calls of YieldIdle, and the last one of
// RetainIdle.
type recordedLimits struct {
	open     map[string]int
	yielded  map[string]int
	retained map[string]bool
}

func (recordedLimits) FullUntil(string) *atomic.Int64         { return &atomic.Int64{} }
func (r recordedLimits) OpenConnections(address string) int   { return r.open[address] }
func (r recordedLimits) YieldIdle(address string, theirs int) { r.yielded[address] = theirs }
func (r recordedLimits) RetainIdle(addresses map[string]bool) {
	clear(r.retained)
	maps.Copy(r.retained, addresses)
}

func limitedLoop(t *testing.T, open map[string]int) (*Loop, recordedLimits) {
	t.Helper()
	limits := recordedLimits{open: open, yielded: map[string]int{}, retained: map[string]bool{}}
	l := testLoop(t, replica("a", "app", "z1"), replica("b", "app", "z1"))
	l.config.ConnectionLimits = limits
	l.turnedAway = newTurnedAwaySection(l)
	l.config.Sections = []ReportSection{l.turnedAway}
	l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Address: "edge-2", Incarnation: 1}}}})
	return l, limits
}

// checkYield checks that a host which receives the report of l yields connections to one address.
func checkYield(t *testing.T, l, other *Loop, limits recordedLimits, address string) {
	t.Helper()
	other.handle(time.Second, peerReport{name: "edge-2", incarnation: 1, sequence: 1, sections: l.reportSections(time.Second + turnedAwayTime)})
	if diff := cmp.Diff(map[string]int{address: l.config.ConnectionLimits.OpenConnections(address)}, limits.yielded); diff != "" {
		t.Errorf("connections yielded (-want +got):\n%s", diff)
	}
}

// Guards against a host that never gets a connection to a replica whose connections all belong to
// other hosts: it can't tell the refusal from that of a dead replica.
func TestRefusedProbeIsReported(t *testing.T) {
	for name, tc := range map[string]struct {
		failure        connfault.Failure
		maxConnections int
		want           bool
	}{
		"refused":                             {failure: connfault.Refused, want: true},
		"reset":                               {failure: connfault.Reset, want: true},
		"unanswered":                          {failure: connfault.Unanswered},
		"unanswered, enough connections":      {failure: connfault.Unanswered, maxConnections: 2},
		"unanswered, more hosts":              {failure: connfault.Unanswered, maxConnections: 1, want: true},
		"this host lacks descriptors, scarce": {failure: connfault.Local, maxConnections: 1},
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := limitedLoop(t, nil)
			l.View().Catalog.Service("app").MaxConnections = tc.maxConnections
			l.handle(time.Second, probeResult{id: "a", startedAt: time.Second, err: connfault.NewError(tc.failure, connfault.Signs{}, nil)})
			other, limits := limitedLoop(t, nil)
			if tc.want {
				checkYield(t, l, other, limits, "a:1")
			} else if s := l.reportSections(time.Second); len(s) > 0 {
				t.Errorf("sections %v, want none", s)
			}
		})
	}
}

// Guards against hosts that keep idle connections to a replica while another host has none for its
// requests, since they do not know of it.
func TestTurnedAwayIsReported(t *testing.T) {
	l, _ := limitedLoop(t, map[string]int{"a:1": 2, "b:1": 7})
	other, limits := limitedLoop(t, nil)
	q := plainRequest(l, t)
	d, _ := pollDecision(l.requestPlacement(time.Second, q))
	l.handle(time.Second, sendEnded{assignmentID: d.assignment.ID, target: d.assignment.Target, result: SendResult{Outcome: health.AtLimit, ConnectionErr: connfault.NewError(connfault.Refused, connfault.Signs{Open: true}, nil)}})
	checkYield(t, l, other, limits, d.assignment.Target.Address)
	if s := l.reportSections(time.Second + turnedAwayTime + 1); len(s) > 0 {
		t.Errorf("sections %v long after the refusal, want none", s)
	}
	if err := l.turnedAway.Merge(time.Second, "edge-2", make([]byte, 7)); err == nil {
		t.Error("a section of 7 bytes was accepted")
	}
}

// Guards against idle connections to replicas that get no new requests, and against closing those to a
// replica that is only paused.
func TestConnectionsToUsedReplicasAreRetained(t *testing.T) {
	b, other := Target{ID: "b", Address: "b:1"}, replica("c", "app", "z2")
	for name, tc := range map[string]struct {
		message message
		want    map[string]bool
	}{
		"another replica": {storeUpdate{list: []platform.Change{{Kind: platform.ChangeReplica, Name: other.ID, Replica: other}}}, map[string]bool{"a:1": true, "b:1": true, "c:1": true}},
		"removed":         {storeUpdate{list: []platform.Change{{Kind: platform.ChangeReplica, Name: "b", Deleted: true}}}, map[string]bool{"a:1": true}},
		"evacuated zone":  {storeUpdate{list: []platform.Change{{Kind: platform.ChangeEvacuation, Name: "z1"}}}, map[string]bool{}},
		"leaving":         {replicaLeaving{target: b}, map[string]bool{"a:1": true}},
		"paused":          {replicaPaused{target: b, length: time.Second}, map[string]bool{"a:1": true, "b:1": true}},
	} {
		t.Run(name, func(t *testing.T) {
			l, limits := limitedLoop(t, nil)
			l.handle(time.Second, tc.message)
			if diff := cmp.Diff(tc.want, limits.retained); diff != "" {
				t.Errorf("addresses retained (-want +got):\n%s", diff)
			}
		})
	}
}
