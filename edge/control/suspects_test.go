package control

import (
	"testing"
	"time"

	"siskinstand.example/coord/health"
	"siskinstand.example/coord/suspect"
)

// breakOffRequest ends a send of the test request without a complete response.
func (l *Loop) breakOffRequest(now time.Duration, id string, aborted bool) {
	l.handle(now, sendEnded{target: Target{ID: id}, fingerprint: testFingerprint, result: SendResult{Outcome: health.Broken, MayHaveCrashed: true, Aborted: aborted, Began: true}})
}

func (l *Loop) checkStrikes(t *testing.T, want int) {
	t.Helper()
	if got := l.suspects.Strikes(time.Now(), testFingerprint); got != want {
		t.Errorf("%d strikes, want %d", got, want)
	}
}

func TestCrashAfterProbe(t *testing.T) {
	tests := map[string]struct {
		aborted            bool
		endedAt, startedAt time.Duration
		strikes            int
	}{
		// Guards against a crash that goes unnoticed because a probe that had started before it
		// succeeds.
		"probe started before the end": {endedAt: 2 * time.Second, startedAt: 1999 * time.Millisecond, strikes: 1},
		// Guards against a crash that goes unnoticed because this host ended an invalid response
		// before the replica died.
		"invalid response, probed too early": {aborted: true, endedAt: 2 * time.Second, startedAt: 2*time.Second + abortedProbeDelay - time.Millisecond, strikes: 1},
		// Guards against strikes because of invalid responses or reset connections.
		"invalid response, replica lives": {aborted: true, endedAt: 2 * time.Second, startedAt: 2*time.Second + abortedProbeDelay},
		"reset, replica lives":            {endedAt: 2 * time.Second, startedAt: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := testLoop(t, replica("i-1", "app", "z1"))
			l.breakOffRequest(test.endedAt, "i-1", test.aborted)
			l.handle(3*time.Second, probeResult{id: "i-1", startedAt: test.startedAt})
			l.handle(4*time.Second, probeResult{id: "i-1", startedAt: 3 * time.Second, err: errProbe})
			l.checkStrikes(t, test.strikes)
		})
	}
}

func TestRequestWaitsForProbe(t *testing.T) {
	// Guards against a third replica that a request crashes, because the probe of the second one
	// has not ended when its caller sends it again.
	request := func(l *Loop, t *testing.T, f suspect.Fingerprint) PlacementRequest {
		req := plainRequest(l, t)
		req.Fingerprint = f
		return req
	}
	setUp := func(t *testing.T) (*Loop, chan decision) {
		l := testLoop(t, replica("i-1", "app", "z1"), replica("i-2", "app", "z1"), replica("i-3", "app", "z1"))
		l.breakOffRequest(time.Second, "i-1", false)
		placeAndCheckReason(t, l, time.Second, request(l, t, testFingerprint), "")
		l.breakOffRequest(1010*time.Millisecond, "i-2", false)
		waiting := l.requestPlacement(1020*time.Millisecond, request(l, t, testFingerprint))
		if d, ok := pollDecision(waiting); ok {
			t.Errorf("decided before the probes: %+v", d)
		}
		placeAndCheckReason(t, l, 1020*time.Millisecond, request(l, t, testFingerprint+1), "")
		l.placeQueued(1020 * time.Millisecond)
		l.handle(1021*time.Millisecond, probeResult{id: "i-1", startedAt: 1011 * time.Millisecond, err: errProbe})
		return l, waiting
	}
	check := func(t *testing.T, l *Loop, waiting chan decision, want RefusalReason) {
		t.Helper()
		l.placeQueued(1023 * time.Millisecond)
		if d, ok := pollDecision(waiting); !ok || d.refusal.Reason != want {
			t.Errorf("decided %t, reason %q; want %q", ok, d.refusal.Reason, want)
		}
	}
	t.Run("second replica has crashed", func(t *testing.T) {
		l, waiting := setUp(t)
		l.handle(1022*time.Millisecond, probeResult{id: "i-2", startedAt: 1011 * time.Millisecond, err: errProbe})
		check(t, l, waiting, RefusedCrashSuspect)
	})
	t.Run("second replica lives", func(t *testing.T) {
		l, waiting := setUp(t)
		l.handle(1022*time.Millisecond, probeResult{id: "i-2", startedAt: 1011 * time.Millisecond})
		check(t, l, waiting, "")
	})
	t.Run("no result", func(t *testing.T) {
		// Guards against a request that is held until its deadline.
		l, waiting := setUp(t)
		l.placeQueued(1020*time.Millisecond + 900*time.Millisecond)
		if d, ok := pollDecision(waiting); !ok || d.refusal.Reason != RefusedUnresolvedCrash || d.refusal.RetryAfter <= 0 {
			t.Errorf("decided %t: %+v; want %q with a delay", ok, d.refusal, RefusedUnresolvedCrash)
		}
	})
}
