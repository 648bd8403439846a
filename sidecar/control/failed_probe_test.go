package control

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

var errTestInvalidAnswer = errors.New("invalid answer")

// runningAttempt adds an attempt that the engine runs.
func (l *Loop) runningAttempt(id string) *Attempt {
	a := newTestAttempt(id)
	a.Offer.Fingerprint = 7
	a.stage, a.mayHaveRun = stageRunning, true
	l.attempts[a.Offer.ID()] = a
	return a
}

func (l *Loop) failProbe(at time.Time, err error) {
	stateMessage{requestedAt: at, err: verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "no connection to the engine").WithCause(err)}.apply(l, at.Add(10*time.Millisecond))
}

func checkAborted(t *testing.T, a *Attempt, want bool) {
	t.Helper()
	select {
	case <-a.Aborted():
		if !want {
			t.Error("the attempt was aborted")
		}
	default:
		if want {
			t.Error("the attempt was not aborted")
		}
	}
}

// Guards against ending all attempts of an engine because it accepts no further connection for a
// probe. An engine that has crashed or is frozen must still be found by the same number of probes.
func TestFailedProbeOfWorkingEngine(t *testing.T) {
	tests := map[string]struct {
		err         error
		chunkAfter  time.Duration // of the start of the second probe; 0 for none
		stillRuns   bool
		wantAborted bool
	}{
		"refused, other attempt runs":       {syscall.ECONNREFUSED, 0, true, false},
		"refused, no other attempt":         {syscall.ECONNREFUSED, 0, false, true},
		"reset, other attempt runs":         {syscall.ECONNRESET, 0, true, false},
		"no answer, other attempt receives": {syscall.ETIMEDOUT, time.Millisecond, true, false},
		"no answer, other attempt silent":   {syscall.ETIMEDOUT, 0, true, true},
		"shortage on this host":             {syscall.EMFILE, 0, true, false},
		"invalid answer":                    {errTestInvalidAnswer, 0, true, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := newServingLoop()
			a := l.runningAttempt("a")
			if !tc.stillRuns {
				// Its connection has ended, and it waits for the probe.
				a.stage = stageAwaitingProbe
				l.monitor.awaitingProbe = append(l.monitor.awaitingProbe, endAttemptMessage{attempt: a, err: errTestInvalidAnswer, failedAt: testStart, reply: make(chan []suspect.Report, 1)})
			}
			for i := range probeFailuresForCrash {
				at := testStart.Add(time.Duration(i+1) * time.Second)
				if tc.chunkAfter > 0 {
					a.RecordChunk(at.Add(tc.chunkAfter))
				}
				l.failProbe(at, tc.err)
			}
			checkAborted(t, a, tc.wantAborted)
		})
	}
}

// Guards against a crash that goes unnoticed because another attempt has not failed yet when the
// first probe is refused.
func TestCrashSeenByOneAttemptFirst(t *testing.T) {
	l := newServingLoop()
	first, second := l.runningAttempt("a"), l.runningAttempt("b")
	reply := make(chan []suspect.Report, 1)
	first.stage = stageAwaitingProbe
	l.monitor.awaitingProbe = []endAttemptMessage{{attempt: first, err: errTestInvalidAnswer, failedAt: testStart, reply: reply}}
	l.failProbe(testStart.Add(time.Millisecond), syscall.ECONNREFUSED)
	second.stage = stageAwaitingProbe
	l.monitor.awaitingProbe = append(l.monitor.awaitingProbe, endAttemptMessage{attempt: second, err: errTestInvalidAnswer, failedAt: testStart, reply: make(chan []suspect.Report, 1)})
	l.failProbe(testStart.Add(fastProbeInterval), syscall.ECONNREFUSED)
	checkAborted(t, first, true)
	if reports := <-reply; len(reports) == 0 {
		t.Error("the request is no crash suspect")
	}
}
