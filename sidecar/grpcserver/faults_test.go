package grpcserver

import (
	"context"
	"maps"
	"testing"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/peerpb"
	"siskinstand.example/sidecar/control"
)

func (ts *testServer) blockRuns(t *testing.T) {
	t.Helper()
	ts.engine.mu.Lock()
	ts.engine.unblock = make(chan struct{})
	ts.engine.mu.Unlock()
}

func (ts *testServer) sendConfigSlice(t *testing.T, s *peerpb.Slice) peerpb.Sidecar_ControlClient {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	stream, err := ts.sidecarClient.Control(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&peerpb.ControlRequest{Slice: s}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "configuration slice applied", func() bool { return ts.loop.Snapshot().ConfigSlice.Revision >= s.Revision })
	return stream
}

func wantRefused(t *testing.T, stream peerpb.Sidecar_AttemptClient, verdict, reason string) *peerpb.Refused {
	t.Helper()
	e := receiveEvent(t, stream)
	r := e.GetRefused()
	if r.GetVerdict() != verdict || r.GetReason() != reason {
		t.Fatalf("event = %v, want refusal %s (%s)", e, reason, verdict)
	}
	return r
}

// Guards against work that stays queued or starts in a zone that is out of
// service, including attempts that were admitted before and wait for Start, and
// against interrupting a running stream. Also guards against applying an older
// slice and against accepting an offer with an outdated revision.
func TestZoneOutRefusesQueuedAndAdmittedWork(t *testing.T) {
	ts := newTestServer(t)
	ts.blockRuns(t)
	running := ts.openAttempt(t, newOffer("running"))
	receiveEvent(t, running)
	waiting := newOffer("admitted")
	waiting.Repeatable = false
	admitted := ts.openAttempt(t, waiting)
	receiveEvent(t, admitted)
	longPrompt := newOffer("queued")
	longPrompt.PromptTokens = 8_000
	queued := ts.openAttempt(t, longPrompt)
	eventually(t, "queued", func() bool { return ts.loop.Snapshot().Load.QueuedItems == 1 })
	ts.sendConfigSlice(t, &peerpb.Slice{Revision: 2, ChangedRevision: 2, ZoneOut: true})
	wantRefused(t, admitted, "not_run", "zone_out")
	wantRefused(t, queued, "not_run", "zone_out")
	wantRefused(t, ts.openAttempt(t, newOffer("new")), "not_run", "zone_out")
	close(ts.engine.unblock)
	if receiveEvent(t, running).GetChunk() == nil {
		t.Error("the running stream was interrupted")
	}
	ts.sendConfigSlice(t, &peerpb.Slice{Revision: 1})
	ts.sendConfigSlice(t, &peerpb.Slice{Revision: 3, ChangedRevision: 3})
	ts.waitState(t, control.StateServing)
	wantRefused(t, ts.openAttempt(t, newOffer("old")), "not_run", "stale_config")
}

// Guards against an engine crash whose running requests are not marked as
// suspects, and against a refusal after the second crash that lacks the time
// until the suspect expires.
func TestEngineCrashMarksSuspects(t *testing.T) {
	ts := newTestServer(t)
	ts.engine.chunkDelay = 20 * time.Millisecond
	o := newOffer("r1")
	o.MaxOutputTokens = 1_000
	stream := ts.openAttempt(t, o)
	receiveEvent(t, stream)
	receiveEvent(t, stream)
	ts.engine.crash()
	var failed *peerpb.Failed
	for failed == nil {
		failed = receiveEvent(t, stream).GetFailed()
	}
	if failed.Verdict != "may_have_run" || len(failed.Suspects) != 1 || failed.Suspects[0].Strikes != 1 {
		t.Fatalf("failed = %v, want may_have_run with one strike", failed)
	}
	ts.waitState(t, control.StateServing)
	retry := newOffer("r2")
	wantRefused(t, ts.openAttempt(t, retry), "not_run", "suspect_request")
	retry.RequestId, retry.Isolated, retry.MaxOutputTokens = "r3", true, 1_000
	isolated := ts.openAttempt(t, retry)
	receiveEvent(t, isolated)
	receiveEvent(t, isolated)
	ts.engine.crash()
	for receiveEvent(t, isolated).GetFailed() == nil {
	}
	ts.waitState(t, control.StateServing)
	retry.RequestId = "r4"
	if r := wantRefused(t, ts.openAttempt(t, retry), "not_run", "crash_suspect"); r.RetryAfterMs < time.Minute.Milliseconds() {
		t.Errorf("retry after %d ms, want about an hour", r.RetryAfterMs)
	}
}

// Guards against a cancelled run that keeps its reservation, and against running
// the same attempt again.
func TestCancelEndsAttempt(t *testing.T) {
	ts := newTestServer(t)
	ts.blockRuns(t)
	stream := ts.openAttempt(t, newOffer("r1"))
	receiveEvent(t, stream)
	eventually(t, "running", func() bool { return ts.engine.runCount("r1/1") == 1 })
	send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Cancel{Cancel: &peerpb.Cancel{}}})
	if failed := receiveEvent(t, stream).GetFailed(); failed.GetVerdict() != "may_have_run" || failed.GetReason() != "cancelled" {
		t.Errorf("failed = %v, want cancelled", failed)
	}
	eventually(t, "reservation released", func() bool { return ts.loop.Snapshot().Load.ReservedTokens == 0 })
	wantRefused(t, ts.openAttempt(t, newOffer("r1")), "may_have_run", "duplicate_request")
}

// Guards against recording a non-repeatable call as run although the engine
// refused it, so that the next attempt is refused as a duplicate.
func TestEngineRefusalAllowsAnotherAttempt(t *testing.T) {
	ts := newTestServer(t)
	ts.engine.runsToRefuse = 1
	o := newOffer("r1")
	o.Repeatable = false
	for attempt, want := range []func(*peerpb.AttemptEvent) bool{
		func(e *peerpb.AttemptEvent) bool { return e.GetFailed().GetVerdict() == "not_run" },
		func(e *peerpb.AttemptEvent) bool { return e.GetChunk() != nil },
		func(e *peerpb.AttemptEvent) bool { return e.GetRefused().GetVerdict() == "may_have_run" },
	} {
		o.Attempt = uint32(attempt + 1)
		stream := ts.openAttempt(t, o)
		e := receiveEvent(t, stream)
		if e.GetAdmitted() != nil {
			send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Start{Start: &peerpb.Start{}}})
			e = receiveEvent(t, stream)
		}
		if !want(e) {
			t.Errorf("attempt %d: event = %v; want not_run for attempt 1, a chunk for 2, may_have_run for 3", o.Attempt, e)
		}
	}
}

// Guards against a drain that interrupts a stream or admits new work.
func TestDrainFinishesStreams(t *testing.T) {
	ts := newTestServer(t)
	ts.blockRuns(t)
	stream := ts.openAttempt(t, newOffer("r1"))
	receiveEvent(t, stream)
	eventually(t, "running", func() bool { return ts.engine.runCount("r1/1") == 1 })
	done := ts.loop.Drain()
	wantRefused(t, ts.openAttempt(t, newOffer("r2")), "not_run", "shutting_down")
	select {
	case <-done:
		t.Fatal("drain finished while a stream was running")
	case <-time.After(50 * time.Millisecond):
	}
	close(ts.engine.unblock)
	for receiveEvent(t, stream).GetFinal() == nil {
	}
	<-done
}

// Guards against a group run that continues without one of its members or leaks
// a hold.
func TestGroupLeaderLosesMember(t *testing.T) {
	ts := newTestServer(t)
	held, err := ts.sidecarClient.Hold(context.Background(), &peerpb.HoldRequest{HoldId: "h1", GroupId: "g", Tokens: 5_000, TtlMs: 10_000})
	if err != nil || !held.Held {
		t.Fatalf("hold = %v, %v", held, err)
	}
	ts.blockRuns(t)
	ts.members.holdsLost = true
	o := newOffer("r1")
	o.PromptTokens = 50_000
	o.Group = &peerpb.Group{GroupId: "g", Members: []*peerpb.GroupMember{
		{Endpoint: "e1", HoldId: "h1", Tokens: 5_000}, {Endpoint: "e2", HoldId: "h2", Tokens: 45_000},
	}}
	stream := ts.openAttempt(t, o)
	receiveEvent(t, stream)
	if failed := receiveEvent(t, stream).GetFailed(); failed.GetVerdict() != "may_have_run" || failed.GetReason() != "group_member_lost" {
		t.Errorf("failed = %v, want group_member_lost", failed)
	}
	eventually(t, "memory freed and hold released", func() bool {
		ts.engine.mu.Lock()
		defer ts.engine.mu.Unlock()
		return len(ts.engine.allocations) == 0 && ts.members.releases == 1
	})
}

// Guards against a restarted sidecar that admits work before the runs of its
// previous process have left the engine, or that ignores the holds in it.
func TestRestartedSidecarCancelsUnknownRuns(t *testing.T) {
	ts := newTestServerWith(t, func(e *fakeEngine) {
		e.allocations["old/1"] = engine.Allocation{ID: "old/1", Kind: engine.AllocationRunning, Owner: "old/1", Tokens: 10}
		e.allocations["h"] = engine.Allocation{ID: "h", Kind: engine.AllocationHold, Owner: "h", Tokens: 20}
	})
	ts.engine.mu.Lock()
	_, running := ts.engine.allocations["old/1"]
	ts.engine.mu.Unlock()
	if running {
		t.Error("run of the previous process is still in the engine")
	}
	old := newOffer("old")
	wantRefused(t, ts.openAttempt(t, old), "may_have_run", "duplicate_request")
	if held := ts.loop.Snapshot().HeldTokens; held != 20 {
		t.Errorf("%d tokens are held, want 20", held)
	}
}

// Guards against status and service level reports that lack the data of this
// sidecar.
func TestStatusAndBurn(t *testing.T) {
	ts := newTestServer(t)
	stream := ts.openAttempt(t, newOffer("r1"))
	for receiveEvent(t, stream).GetFinal() == nil {
	}
	status, err := ts.peerClient.Status(context.Background(), &peerpb.StatusRequest{})
	if err != nil || status.State != "serving" || len(status.Endpoints) != 1 || status.Endpoints[0].Load.MemoryTotalTokens != 100_000 {
		t.Errorf("status = %v, %v; want state serving and one endpoint with 100000 tokens of memory", status, err)
	}
	report, err := ts.peerClient.Burn(context.Background(), &peerpb.BurnRequest{Accounts: []string{"a"}, Worst: 1})
	if err != nil {
		t.Fatal(err)
	}
	objectives := map[string]int64{}
	for _, b := range report.Series {
		if b.Account == "a" && b.Class == "1k" && b.WindowS == 300 {
			objectives[b.Objective] = b.Total
		}
	}
	if want := map[string]int64{"first_token": 1, "token_gap": 2, "answered": 1}; !maps.Equal(want, objectives) {
		t.Errorf("events = %v, want %v", objectives, want)
	}
}

// Guards against a stream identity check that cannot fail: an engine that
// delivers a chunk after the end of its run violates it.
func TestStreamIdentityCheckDetectsLateChunk(t *testing.T) {
	ts := newTestServer(t)
	stream := ts.openAttempt(t, newOffer("r1"))
	for receiveEvent(t, stream).GetFinal() == nil {
	}
	if err := ts.engine.lastDeliver(engine.Chunk{}); err == nil {
		t.Error("chunk after the end of the run was accepted")
	}
	if n := ts.invariants.Count(invariant.StreamIdentity); n != 1 {
		t.Errorf("%d violations, want 1", n)
	}
	ts.wantViolations = 1
}
