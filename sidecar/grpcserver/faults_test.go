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

func (f *fixture) hold(t *testing.T) {
	t.Helper()
	f.engine.mu.Lock()
	f.engine.block = make(chan struct{})
	f.engine.mu.Unlock()
}

func (f *fixture) configure(t *testing.T, s *peerpb.Slice) peerpb.Sidecar_ControlClient {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	stream, err := f.client.Control(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&peerpb.ControlRequest{Slice: s}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "slice in force", func() bool { return f.loop.Snapshot().ConfigSlice.Revision >= s.Revision })
	return stream
}

func wantRefused(t *testing.T, stream peerpb.Sidecar_AttemptClient, verdict, reason string) *peerpb.Refused {
	t.Helper()
	e := next(t, stream)
	r := e.GetRefused()
	if r.GetVerdict() != verdict || r.GetReason() != reason {
		t.Fatalf("event = %v, want refusal %s (%s)", e, reason, verdict)
	}
	return r
}

// Guards against work that stays or starts in a zone that is out, also when it
// was admitted before and only lacks its Start.
func TestZoneOutReturnsQueuedAndAdmittedWork(t *testing.T) {
	f := newFixture(t)
	f.hold(t)
	running := f.open(t, offer("running"))
	next(t, running)
	waiting := offer("admitted")
	waiting.Repeatable = false
	admitted := f.open(t, waiting)
	next(t, admitted)
	big := offer("queued")
	big.PromptTokens = 8_000
	queued := f.open(t, big)
	eventually(t, "queued", func() bool { return f.loop.Snapshot().Load.QueuedItems == 1 })
	f.configure(t, &peerpb.Slice{Revision: 2, ChangedRevision: 2, ZoneOut: true})
	wantRefused(t, admitted, "not_run", "zone_out")
	wantRefused(t, queued, "not_run", "zone_out")
	wantRefused(t, f.open(t, offer("new")), "not_run", "zone_out")
	close(f.engine.block)
	if next(t, running).GetChunk() == nil {
		t.Error("the running stream did not go on")
	}
	f.configure(t, &peerpb.Slice{Revision: 1})
	f.configure(t, &peerpb.Slice{Revision: 3, ChangedRevision: 3})
	f.waitState(t, control.StateServing)
	wantRefused(t, f.open(t, offer("old")), "not_run", "stale_config")
}

// Guards against a dead engine whose batch is not marked, or marked for ever.
func TestEngineDeathMarksSuspects(t *testing.T) {
	f := newFixture(t)
	f.engine.step = 20 * time.Millisecond
	o := offer("r1")
	o.MaxOutputTokens = 1_000
	stream := f.open(t, o)
	next(t, stream)
	next(t, stream)
	f.engine.crash()
	var failed *peerpb.Failed
	for failed == nil {
		failed = next(t, stream).GetFailed()
	}
	if failed.Verdict != "may_have_run" || len(failed.Suspects) != 1 || failed.Suspects[0].Strikes != 1 {
		t.Fatalf("failed = %v, want may_have_run with one strike", failed)
	}
	f.waitState(t, control.StateServing)
	again := offer("r2")
	wantRefused(t, f.open(t, again), "not_run", "suspect_request")
	again.RequestId, again.Isolated, again.MaxOutputTokens = "r3", true, 1_000
	second := f.open(t, again)
	next(t, second)
	next(t, second)
	f.engine.crash()
	for next(t, second).GetFailed() == nil {
	}
	f.waitState(t, control.StateServing)
	again.RequestId = "r4"
	if r := wantRefused(t, f.open(t, again), "not_run", "crash_suspect"); r.RetryAfterMs < time.Minute.Milliseconds() {
		t.Errorf("retry after %d ms, want about an hour", r.RetryAfterMs)
	}
}

// Guards against a cancelled attempt that starts later or keeps its memory.
func TestCancelEndsAttempt(t *testing.T) {
	f := newFixture(t)
	f.hold(t)
	stream := f.open(t, offer("r1"))
	next(t, stream)
	eventually(t, "running", func() bool { return f.engine.ran("r1/1") == 1 })
	send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Cancel{Cancel: &peerpb.Cancel{}}})
	if failed := next(t, stream).GetFailed(); failed.GetVerdict() != "may_have_run" || failed.GetReason() != "cancelled" {
		t.Errorf("failed = %v, want cancelled", failed)
	}
	eventually(t, "no reservation", func() bool { return f.loop.Snapshot().Load.ReservedTokens == 0 })
	wantRefused(t, f.open(t, offer("r1")), "may_have_run", "duplicate_request")
}

// Guards against a non-repeatable call that the engine did not take and that
// counts as run all the same, so that its next attempt is refused.
func TestRefusalOfTheEngineIsNotARun(t *testing.T) {
	f := newFixture(t)
	f.engine.refuse = 1
	o := offer("r1")
	o.Repeatable = false
	for attempt, want := range []func(*peerpb.AttemptEvent) bool{
		func(e *peerpb.AttemptEvent) bool { return e.GetFailed().GetVerdict() == "not_run" },
		func(e *peerpb.AttemptEvent) bool { return e.GetChunk() != nil },
		func(e *peerpb.AttemptEvent) bool { return e.GetRefused().GetVerdict() == "may_have_run" },
	} {
		o.Attempt = uint32(attempt + 1)
		stream := f.open(t, o)
		e := next(t, stream)
		if e.GetAdmitted() != nil {
			send(t, stream, &peerpb.AttemptRequest{Kind: &peerpb.AttemptRequest_Start{Start: &peerpb.Start{}}})
			e = next(t, stream)
		}
		if !want(e) {
			t.Errorf("attempt %d: %v", o.Attempt, e)
		}
	}
}

// Guards against a drain that interrupts a stream or admits new work.
func TestDrainFinishesStreams(t *testing.T) {
	f := newFixture(t)
	f.hold(t)
	stream := f.open(t, offer("r1"))
	next(t, stream)
	eventually(t, "running", func() bool { return f.engine.ran("r1/1") == 1 })
	done := f.loop.Drain()
	wantRefused(t, f.open(t, offer("r2")), "not_run", "shutting_down")
	select {
	case <-done:
		t.Fatal("drained below a running stream")
	case <-time.After(50 * time.Millisecond):
	}
	close(f.engine.block)
	for next(t, stream).GetFinal() == nil {
	}
	<-done
}

// Guards against a group whose hold leaks, or that goes on without a member.
func TestGroupLeaderLosesMember(t *testing.T) {
	f := newFixture(t)
	held, err := f.client.Hold(context.Background(), &peerpb.HoldRequest{HoldId: "h1", GroupId: "g", Tokens: 5_000, TtlMs: 10_000})
	if err != nil || !held.Held {
		t.Fatalf("hold = %v, %v", held, err)
	}
	f.hold(t)
	f.members.lost = true
	o := offer("r1")
	o.PromptTokens = 50_000
	o.Group = &peerpb.Group{GroupId: "g", Members: []*peerpb.GroupMember{
		{Endpoint: "e1", HoldId: "h1", Tokens: 5_000}, {Endpoint: "e2", HoldId: "h2", Tokens: 45_000},
	}}
	stream := f.open(t, o)
	next(t, stream)
	if failed := next(t, stream).GetFailed(); failed.GetVerdict() != "may_have_run" || failed.GetReason() != "group_member_lost" {
		t.Errorf("failed = %v, want group_member_lost", failed)
	}
	eventually(t, "memory free", func() bool {
		f.engine.mu.Lock()
		defer f.engine.mu.Unlock()
		return len(f.engine.pieces) == 0 && f.members.released == 1
	})
}

// Guards against a successor that admits work before the runs of the former
// sidecar have left the engine.
func TestSuccessorCancelsUnknownRuns(t *testing.T) {
	f := newFixtureWith(t, func(e *memoryEngine) {
		e.pieces["old/1"] = engine.Allocation{ID: "old/1", Kind: engine.AllocationRunning, Owner: "old/1", Tokens: 10}
		e.pieces["h"] = engine.Allocation{ID: "h", Kind: engine.AllocationHold, Owner: "h", Tokens: 20}
	})
	f.engine.mu.Lock()
	_, runs := f.engine.pieces["old/1"]
	f.engine.mu.Unlock()
	if runs {
		t.Error("the old run is still in the engine")
	}
	old := offer("old")
	wantRefused(t, f.open(t, old), "may_have_run", "duplicate_request")
	if held := f.loop.Snapshot().HeldTokens; held != 20 {
		t.Errorf("%d tokens are held, want 20", held)
	}
}

// Guards against the operators' command seeing nothing of a sidecar.
func TestStatusAndBurn(t *testing.T) {
	f := newFixture(t)
	stream := f.open(t, offer("r1"))
	for next(t, stream).GetFinal() == nil {
	}
	status, err := f.peer.Status(context.Background(), &peerpb.StatusRequest{})
	if err != nil || status.State != "serving" || len(status.Endpoints) != 1 || status.Endpoints[0].Load.MemoryTotalTokens != 100_000 {
		t.Errorf("status = %v, %v", status, err)
	}
	report, err := f.peer.Burn(context.Background(), &peerpb.BurnRequest{Accounts: []string{"a"}, Worst: 1})
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

// Guards against a check of the stream's identity that cannot fail: an engine
// that delivers after it has ended the run violates it.
func TestStreamIdentityIsViolatedOnPurpose(t *testing.T) {
	f := newFixture(t)
	stream := f.open(t, offer("r1"))
	for next(t, stream).GetFinal() == nil {
	}
	if err := f.engine.deliver(engine.Chunk{}); err == nil {
		t.Error("a chunk after the end was accepted")
	}
	if n := f.invariants.Count(invariant.StreamIdentity); n != 1 {
		t.Errorf("%d violations, want 1", n)
	}
	f.violated = 1
}
