package control

import (
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/placement"
	"siskinstand.example/platform"
)

func probeFailure(f connfault.Failure, s connfault.Signs) error {
	return connfault.NewError(f, s, syscall.ECONNREFUSED)
}

func (l *Loop) checkUsable(t *testing.T, at time.Duration, id string, want bool) {
	t.Helper()
	if got := l.health.Usable(at, id); got != want {
		t.Errorf("replica %s usable: %t, want %t", id, got, want)
	}
}

// Guards against a replica that is at its limit of connections and counts as dead: its requests
// would be refused as crash suspects, and it would get no others. One that has ended must still be
// found by the first probe.
func TestProbeOfReplicaAtLimit(t *testing.T) {
	tests := map[string]struct {
		err     error
		strikes int
		usable  bool
	}{
		"refused, other connection open":    {probeFailure(connfault.Refused, connfault.Signs{Open: true}), 0, true},
		"unanswered, bytes heard":           {probeFailure(connfault.Unanswered, connfault.Signs{Heard: true}), 0, true},
		"refused, no other connection":      {probeFailure(connfault.Refused, connfault.Signs{}), 1, false},
		"unanswered, other connection open": {probeFailure(connfault.Unanswered, connfault.Signs{Open: true}), 1, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := testLoop(t, replica("i-1", "app", "z1"))
			l.breakOffRequest(2*time.Second, "i-1", false)
			l.handle(3*time.Second, probeResult{id: "i-1", startedAt: 2 * time.Second, err: tc.err})
			l.checkStrikes(t, tc.strikes)
			l.checkUsable(t, 3*time.Second, "i-1", tc.usable)
		})
	}
	t.Run("back in use", func(t *testing.T) {
		l := testLoop(t, replica("i-1", "app", "z1"))
		l.handle(time.Second, sendEnded{target: Target{ID: "i-1"}, result: SendResult{Outcome: health.Unreachable}})
		l.checkUsable(t, time.Second, "i-1", false)
		l.handle(2*time.Second, probeResult{id: "i-1", startedAt: time.Second, err: probeFailure(connfault.Refused, connfault.Signs{Open: true})})
		l.checkUsable(t, 2*time.Second, "i-1", true)
	})
	t.Run("request at the limit", func(t *testing.T) {
		l := testLoop(t, replica("i-1", "app", "z1"))
		for range 8 {
			l.handle(time.Second, sendEnded{target: Target{ID: "i-1"}, result: SendResult{Outcome: health.AtLimit}})
		}
		l.checkUsable(t, time.Second, "i-1", true)
	})
}

// Guards against a replica that stays out of use because another host cannot reach it, while this
// host has connections to it that work.
func TestReportOfReplicaAtLimit(t *testing.T) {
	tests := map[string]struct {
		err  error
		want bool
	}{
		"at its limit": {probeFailure(connfault.Refused, connfault.Signs{Open: true}), true},
		"dead":         {probeFailure(connfault.Refused, connfault.Signs{}), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := testLoop(t, replica("i-1", "app", "z1"), replica("i-2", "app", "z1"), replica("i-3", "app", "z1"))
			l.peers["edge-2"] = platform.Peer{Incarnation: 1}
			report := placement.Report{Replicas: map[uint32]placement.ReplicaReport{placement.ShortID("i-1"): {Unreachable: true}}}
			l.handle(time.Second, peerReport{name: "edge-2", incarnation: 1, sequence: 1, report: report})
			l.checkUsable(t, time.Second, "i-1", false)
			l.handle(1010*time.Millisecond, probeResult{id: "i-1", startedAt: time.Second, err: tc.err})
			l.checkUsable(t, 1010*time.Millisecond, "i-1", tc.want)
			if got := l.unreachableReplicas(1010 * time.Millisecond)["i-1"]; got == tc.want {
				t.Errorf("reported to other hosts: %t, want %t", got, !tc.want)
			}
		})
	}
}

// Guards against a request that waits for a connection to one replica while another one has room,
// and against one that is refused although it can wait.
func TestReplicaWithoutFreeConnection(t *testing.T) {
	l := testLoop(t, replica("a", "app", "z1"), replica("b", "app", "z1"))
	full := fixedConnections{}
	l.config.ConnectionLimits = full
	place := func(at time.Duration) map[string]int {
		atReplica := map[string]int{}
		for i := range 8 {
			q := plainRequest(l, t)
			q.ID = string(rune('a' + i))
			d, _ := pollDecision(l.requestPlacement(at, q))
			atReplica[d.assignment.Target.ID]++
		}
		return atReplica
	}
	place(time.Second) // learns the addresses
	full.FullUntil("a:1").Store(int64(3 * time.Second))
	if diff := cmp.Diff(map[string]int{"b": 8}, place(2*time.Second)); diff != "" {
		t.Errorf("a has no free connection, placements (-want +got):\n%s", diff)
	}
	full.FullUntil("b:1").Store(int64(3 * time.Second))
	if got := place(2 * time.Second); got["a"]+got["b"] != 8 {
		t.Errorf("no replica has a free connection, placements %v, want 8", got)
	}
}
