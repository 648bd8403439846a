package control

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/coord/health"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/platform"
)

var errProbe = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// requestWithParts returns a small request with the given parts.
func requestWithParts(l *Loop, t *testing.T, fingerprint suspect.Fingerprint, parts ...suspect.Part) PlacementRequest {
	req := largeRequest(l, t)
	req.Request.PromptTokens, req.Fingerprint, req.Parts = 1000, fingerprint, parts
	return req
}

// place places a request or fails the test.
func (l *Loop) place(t *testing.T, now time.Duration, req PlacementRequest) Assignment {
	t.Helper()
	d, ok := pollDecision(l.requestPlacement(now, req))
	if !ok || d.assignment.ID == 0 {
		t.Fatalf("request with parts %v not placed: %+v", req.Parts, d.refusal)
	}
	return d.assignment
}

// breakOff ends a send whose connection closed with no answer.
func (l *Loop) breakOff(now time.Duration, a Assignment, began bool) {
	l.handle(now, sendEnded{assignmentID: a.ID, target: a.Target, result: SendResult{Outcome: health.Broken, MayHaveCrashed: true, Began: began}})
}

func (l *Loop) finish(now time.Duration, a Assignment) {
	l.handle(now, sendEnded{assignmentID: a.ID, target: a.Target, result: SendResult{Outcome: health.Served, Finished: true}})
}

func llmReplicas() []platform.Replica {
	var list []platform.Replica
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		list = append(list, replica(id, "llm", "z1"))
	}
	return list
}

func (l *Loop) checkPartStatus(t *testing.T, now time.Duration, p suspect.Part, want suspect.Status) {
	t.Helper()
	if got := l.parts.Status(partTime(now), p); got != want {
		t.Errorf("status of part %d = %s, want %s", p, got, want)
	}
}

// Guards against further replicas that a part crashes: by other requests with the part, by a
// retry that leaves before the probe has shown that the replica is dead, and by several
// trials at once.
func TestPartThatCrashesReplicas(t *testing.T) {
	const good, deadly suspect.Part = 1, 9
	l := testLoop(t, llmReplicas()...)
	l.finish(0, l.place(t, 0, requestWithParts(l, t, 1, good)))

	first, neighbor := l.place(t, 0, requestWithParts(l, t, 2, good, deadly)), l.place(t, 0, requestWithParts(l, t, 3, good))
	l.breakOff(100*time.Millisecond, first, false)
	retry := requestWithParts(l, t, 2, good, deadly)
	retry.Excluded, retry.IsRetry = []string{first.Target.ID}, true
	waiting := l.requestPlacement(101*time.Millisecond, retry)
	if d, ok := pollDecision(waiting); ok {
		t.Errorf("a retry is decided before the probe: %+v", d)
	}
	l.finish(102*time.Millisecond, l.place(t, 101*time.Millisecond, requestWithParts(l, t, 4, good)))
	l.handle(110*time.Millisecond, probeResult{id: first.Target.ID, err: errProbe})
	l.checkPartStatus(t, 110*time.Millisecond, deadly, suspect.StatusIsolate)
	l.checkPartStatus(t, 110*time.Millisecond, good, suspect.StatusClear)

	l.placeQueued(200 * time.Millisecond)
	d, ok := pollDecision(waiting)
	if !ok || d.assignment.ID == 0 {
		t.Fatalf("the trial is not placed: %+v", d.refusal)
	}
	if d.assignment.Target.ID == neighbor.Target.ID {
		t.Errorf("the trial is at replica %q, which has another stream", neighbor.Target.ID)
	}
	placeAndCheckReason(t, l, 200*time.Millisecond, requestWithParts(l, t, 5, deadly), RefusedSuspectedPart)
	placeAndCheckReason(t, l, 200*time.Millisecond, requestWithParts(l, t, 6, good), "")
	l.breakOff(400*time.Millisecond, d.assignment, false)
	l.handle(401*time.Millisecond, probeResult{id: d.assignment.Target.ID, err: errProbe})
	l.checkPartStatus(t, 401*time.Millisecond, deadly, suspect.StatusRefuse)
	placeAndCheckReason(t, l, 5*time.Second, requestWithParts(l, t, 7, good, deadly), RefusedCrashSuspect)
	placeAndCheckReason(t, l, 5*time.Second, requestWithParts(l, t, 8, good), "")

	other := testLoop(t, llmReplicas()...)
	other.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Address: "x", Incarnation: 1}}}})
	other.handle(0, peerReport{name: "edge-2", incarnation: 1, parts: l.parts.Reports(partTime(5*time.Second), maxReportedParts)})
	placeAndCheckReason(t, other, 0, requestWithParts(other, t, 1, deadly), RefusedCrashSuspect)
}

// Guards against blame for crashes that a part did not cause.
func TestPartsWithoutBlame(t *testing.T) {
	const part suspect.Part = 5
	tests := map[string]func(l *Loop, a Assignment){
		"answer began": func(l *Loop, a Assignment) {
			l.breakOff(time.Second, a, true)
			l.handle(time.Second, probeResult{id: a.Target.ID, err: errProbe})
		},
		"replica lives": func(l *Loop, a Assignment) {
			l.breakOff(time.Second, a, false)
			l.handle(time.Second, probeResult{id: a.Target.ID, startedAt: time.Second})
		},
		"replica cut off": func(l *Loop, a Assignment) {
			l.breakOff(time.Second, a, false)
			l.handle(time.Second, probeResult{id: a.Target.ID, err: os.ErrDeadlineExceeded})
		},
		"replica silent": func(l *Loop, a Assignment) {
			l.handle(time.Second, sendEnded{assignmentID: a.ID, target: a.Target, result: SendResult{Outcome: health.Silent, MayHaveCrashed: true}})
			l.handle(time.Second, probeResult{id: a.Target.ID, err: errProbe})
		},
		"replica leaves": func(l *Loop, a Assignment) {
			leaving := replica(a.Target.ID, "llm", "z1")
			leaving.Draining = true
			l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangeReplica, Name: a.Target.ID, Replica: leaving}}})
			l.breakOff(time.Second, a, false)
			l.handle(time.Second, probeResult{id: a.Target.ID, err: errProbe})
		},
		"replica has left": func(l *Loop, a Assignment) {
			l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangeReplica, Name: a.Target.ID, Deleted: true}}})
			l.breakOff(10*time.Second, a, false)
			l.handle(10*time.Second, probeResult{id: a.Target.ID, err: errProbe})
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			l := testLoop(t, llmReplicas()...)
			end(l, l.place(t, 0, requestWithParts(l, t, 1, part)))
			l.checkPartStatus(t, 10*time.Second, part, suspect.StatusClear)
			placeAndCheckReason(t, l, 10*time.Second, requestWithParts(l, t, 2, part), "")
		})
	}
}

// Guards against a sound part that stays isolated until a long stream ends.
func TestBegunAnswerClearsPart(t *testing.T) {
	const part suspect.Part = 5
	l := testLoop(t, llmReplicas()...)
	a := l.place(t, 0, requestWithParts(l, t, 1, part))
	l.breakOff(100*time.Millisecond, a, false)
	l.handle(100*time.Millisecond, probeResult{id: a.Target.ID, err: errProbe})
	trial := l.place(t, time.Second, requestWithParts(l, t, 2, part))
	placeAndCheckReason(t, l, time.Second, requestWithParts(l, t, 3, part), RefusedSuspectedPart)
	l.handle(1200*time.Millisecond, answerBegun{trial.ID, trial.Target})
	l.checkPartStatus(t, 1200*time.Millisecond, part, suspect.StatusClear)
	placeAndCheckReason(t, l, 1200*time.Millisecond, requestWithParts(l, t, 4, part), "")
}

// Guards against a retry that is refused because its request was at two replicas that a
// part of another request crashed.
func TestNeighborOfCrashes(t *testing.T) {
	const good, deadly suspect.Part = 1, 9
	l := testLoop(t, replica("a", "llm", "z1"), replica("b", "llm", "z1"), replica("c", "llm", "z1"))
	l.finish(0, l.place(t, 0, requestWithParts(l, t, 1, good)))
	now := time.Second
	var excluded []string
	for range 2 {
		culprit := requestWithParts(l, t, 2, deadly)
		culprit.Excluded = excluded
		a := l.place(t, now, culprit)
		now += 200 * time.Millisecond
		neighbor := sendEnded{target: a.Target, fingerprint: 3, result: SendResult{Outcome: health.Broken, MayHaveCrashed: true, Began: true}}
		l.breakOff(now, a, false)
		l.handle(now, neighbor)
		l.handle(now, probeResult{id: a.Target.ID, err: errProbe})
		excluded = append(excluded, a.Target.ID)
		now += 5 * time.Second
	}
	placeAndCheckReason(t, l, now, requestWithParts(l, t, 4, deadly), RefusedCrashSuspect)
	placeAndCheckReason(t, l, now, requestWithParts(l, t, 3, good), "")
}

// Guards against parts of ended requests that keep counting as in flight.
func TestPartSendsForgotten(t *testing.T) {
	l := testLoop(t, llmReplicas()...)
	for i := range suspect.Part(20) {
		l.finish(0, l.place(t, 0, requestWithParts(l, t, 1, i, i+1)))
	}
	if len(l.partSends.sends) != 0 || len(l.partSends.inFlight) != 0 {
		t.Errorf("parts in flight: %v", l.partSends)
	}
}

// Guards against the clearing of a refused part by a request that was sent before the
// crashes. The part or the replicas may have changed since.
func TestFinishAfterCrashes(t *testing.T) {
	const changed suspect.Part = 9
	l := testLoop(t, llmReplicas()...)
	l.finish(0, l.place(t, 0, requestWithParts(l, t, 1, changed)))
	early := l.place(t, 0, requestWithParts(l, t, 2, changed))
	l.handle(50*time.Millisecond, responseStarted{early.ID})
	for i := range 4 {
		now := time.Duration(i+1) * 600 * time.Millisecond
		l.parts.RecordCrash(partTime(now), suspect.CrashID(i+1), [][]suspect.Part{{changed}})
	}
	l.checkPartStatus(t, 3*time.Second, changed, suspect.StatusRefuse)
	l.finish(3*time.Second, early)
	l.checkPartStatus(t, 3*time.Second, changed, suspect.StatusRefuse)
}
