package control

import (
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/connfault"
)

// handleFailedProbe decides whether a failed probe means that the engine has crashed. It has not if
// it works on other connections: then it only accepts no further one, and the attempts that it
// runs go on.
func (l *Loop) handleFailedProbe(now time.Time, m stateMessage) {
	monitor := &l.monitor
	failure, signs := connfault.FailureOf(m.err), l.engineSigns(m.requestedAt)
	state := connfault.Unreachable
	if failure != connfault.Other {
		state = connfault.Judge(failure, signs).State
	}
	klog.V(1).InfoS("engine probe failed", "failure", failure, "open", signs.Open, "heard", signs.Heard, "state", state, "running", len(l.attempts), "err", m.err)
	if failure == connfault.Local {
		return // the next probe tells
	}
	monitor.probeFailures++
	isConfirmed := monitor.probeFailures >= probeFailuresForCrash
	switch {
	case state == connfault.AtLimit && (signs.Heard || isConfirmed):
		// If the engine had crashed, the attempts that still run would have failed by now.
		monitor.probeFailures = 0
		l.endFailedAttempts(now, m.requestedAt)
	case state == connfault.AtLimit:
	case l.phase != phaseServing || isConfirmed || len(monitor.awaitingProbe) > 0:
		l.handleEngineCrash(now)
	}
}

// engineSigns returns the signs of life of the engine since a probe was sent. Each running attempt
// has a connection of its own, and ends if the connection does.
func (l *Loop) engineSigns(probedAt time.Time) connfault.Signs {
	var s connfault.Signs
	for _, a := range l.attempts {
		if a.stage != stageRunning || a.engineCrashed {
			continue
		}
		s.Open = true
		if last := a.lastChunkAt.Load(); last != nil && last.After(probedAt) {
			s.Heard = true
		}
	}
	return s
}
