package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/verdict"
	fake "siskinstand.example/fakes/engine"
	"siskinstand.example/fakes/server"
)

type fixture struct {
	fake    *fake.Engine
	server  *server.Server
	adapter *engine.ModelClient
}

func startEngine(t *testing.T, configure func(*fake.Config)) *fixture {
	t.Helper()
	f := &fixture{}
	config := fake.DefaultConfig()
	config.Switches.TokenTime = server.Duration(time.Millisecond)
	config.Switches.PrefillTokensPerSecond = 10_000_000
	config.OnCrash = func(d time.Duration) { f.server.StopFor(d) }
	configure(&config)
	f.fake = fake.New(config)
	s, err := server.StartLoopback(f.fake.Handler())
	if err != nil {
		t.Fatal(err)
	}
	f.server = s
	t.Cleanup(func() { s.Close(); f.fake.Close() })
	limits := engine.DefaultLimits()
	limits.StallTimeout = 2 * time.Second
	f.adapter = engine.NewModelClient(s.Address(), limits)
	return f
}

func completionRequest(attemptID, prompt string) engine.Request {
	body, _ := json.Marshal(map[string]any{"model": "siskin-small", "prompt": prompt})
	return engine.Request{AttemptID: attemptID, Method: http.MethodPost, Path: "/v1/completions", Body: body}
}

func (f *fixture) run(r engine.Request) (string, engine.Result, error) {
	var text strings.Builder
	result, err := f.adapter.Run(context.Background(), r, func(c engine.Chunk) error {
		text.Write(c.Data)
		return nil
	})
	return text.String(), result, err
}

func (f *fixture) changeSwitches(t *testing.T, change func(*fake.Switches)) {
	t.Helper()
	s := f.fake.Switches()
	change(&s)
	if err := f.fake.SetSwitches(s); err != nil {
		t.Fatal(err)
	}
}

func wantVerdict(t *testing.T, err error, v verdict.Verdict, reason verdict.Reason) {
	t.Helper()
	var verdictErr *verdict.Error
	if !errors.As(err, &verdictErr) || verdictErr.Verdict != v || verdictErr.Reason != reason {
		t.Fatalf("got error %v, want reason %s with verdict %s", err, reason, v)
	}
}

func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not met within 5 s: %s", description)
}

// Guards against output that differs from the expected one, whether complete or
// resumed after any token, and against a resume text that does not match it but is
// accepted.
func TestOutputIsCompleteAtEachResumePosition(t *testing.T) {
	f := startEngine(t, func(*fake.Config) {})
	want, reason := fake.ExpectedOutput("a prompt", 0)
	for cut := 0; cut <= len(want); cut += fake.OutputTokenBytes {
		r := completionRequest(fmt.Sprint("a", cut), "a prompt")
		r.ResumeText = want[:cut]
		text, result, err := f.run(r)
		if err != nil || text != want[cut:] || result.FinishReason != reason {
			t.Fatalf("resumed at byte %d: got %q, %v, %v; want %q", cut, text, result, err, want[cut:])
		}
	}
	r := completionRequest("b", "a prompt")
	r.ResumeText = "other"
	_, _, err := f.run(r)
	wantVerdict(t, err, verdict.NotRun, verdict.ReasonBadRequest)
}

// Guards against wrong verdicts after a crash and against state that survives it.
// Every request of the crashed batch gets may_have_run; a call that can't
// connect while the engine is down gets not_run.
func TestCrashAbortsTheBatchAndRefusesConnections(t *testing.T) {
	f := startEngine(t, func(c *fake.Config) { c.Switches.CrashDown = server.Duration(300 * time.Millisecond) })
	f.changeSwitches(t, func(s *fake.Switches) { s.TokenTime = server.Duration(50 * time.Millisecond) })
	other := make(chan error, 1)
	go func() {
		_, _, err := f.run(completionRequest("other", "an ordinary prompt"))
		other <- err
	}()
	waitUntil(t, "request started", func() bool { return f.fake.Counters().Started == 1 })
	_, _, err := f.run(completionRequest("crash", "please crash-this-engine now"))
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonEngineFailed)
	wantVerdict(t, <-other, verdict.MayHaveRun, verdict.ReasonEngineFailed)
	waitUntil(t, "connection refused", func() bool {
		_, err := f.adapter.State(context.Background())
		return verdict.FromError(err) == verdict.NotRun && err != nil
	})
	waitUntil(t, "engine restarted without state", func() bool {
		state, err := f.adapter.State(context.Background())
		return err == nil && state.Incarnation == "2" && len(state.Allocations) == 0
	})
}

// Guards against an attempt that never ends because its engine is frozen.
func TestFrozenEngineHitsTheStallTimeout(t *testing.T) {
	f := startEngine(t, func(c *fake.Config) { c.Switches.Frozen = true })
	_, _, err := f.run(completionRequest("a", "a prompt"))
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonEngineFailed)
	_, err = f.adapter.Load(context.Background())
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonDeadlineExceeded)
	f.changeSwitches(t, func(s *fake.Switches) { s.Frozen = false })
	if _, _, err := f.run(completionRequest("b", "a prompt")); err != nil {
		t.Fatal(err)
	}
}

// Guards against memory that stays allocated after an attempt is cancelled, its
// deadline expires or the receiver of its output fails.
func TestEndedAttemptsReleaseMemory(t *testing.T) {
	f := startEngine(t, func(c *fake.Config) { c.Switches.TokenTime = server.Duration(100 * time.Millisecond) })
	time.AfterFunc(200*time.Millisecond, func() { _ = f.adapter.Cancel(context.Background(), "a") })
	_, _, err := f.run(completionRequest("a", "a prompt"))
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonCancelled)
	late := completionRequest("b", "a prompt")
	late.Deadline = time.Now().Add(150 * time.Millisecond)
	_, _, err = f.run(late)
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonDeadlineExceeded)
	_, err = f.adapter.Run(context.Background(), completionRequest("c", "a prompt"), func(engine.Chunk) error { return errors.New("gone") })
	wantVerdict(t, err, verdict.MayHaveRun, verdict.ReasonCancelled)
	waitUntil(t, "no memory in use", func() bool {
		state, err := f.adapter.State(context.Background())
		return err == nil && state.UsedTokens == 0
	})
}

// Guards against leaked memory that is missing from the engine's state, and
// against a hold that is still there after its time to live.
func TestLeaksAndHoldsAreVisibleAndFreed(t *testing.T) {
	ctx := context.Background()
	f := startEngine(t, func(c *fake.Config) { c.Switches.LeakTokens = 1000 })
	if _, _, err := f.run(completionRequest("a", "a prompt")); err != nil {
		t.Fatal(err)
	}
	if err := f.adapter.Hold(ctx, "h", 598_500, 300*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	err := f.adapter.Hold(ctx, "h2", 598_500, time.Second)
	wantVerdict(t, err, verdict.NotRun, verdict.ReasonOverloaded)
	state, err := f.adapter.State(ctx)
	if err != nil || len(state.Allocations) != 2 || state.UsedTokens != 599_500 {
		t.Fatalf("got %+v, %v; want 2 allocations and 599500 used tokens", state, err)
	}
	for _, a := range state.Allocations {
		if a.Kind == engine.AllocationExport {
			_ = f.adapter.Free(ctx, a.ID)
		}
	}
	waitUntil(t, "hold expired and leak freed", func() bool {
		state, err := f.adapter.State(ctx)
		return err == nil && state.UsedTokens == 0
	})
}

// Guards against an adapter that does not report a rejected order as
// ErrStaleFence, and against a fake that does not apply IgnoreFence.
func TestFencing(t *testing.T) {
	ctx := context.Background()
	f := startEngine(t, func(*fake.Config) {})
	if err := f.adapter.Apply(ctx, engine.Order{Fence: 5, Model: "siskin-small"}); err != nil {
		t.Fatal(err)
	}
	if err := f.adapter.Apply(ctx, engine.Order{Fence: 4, Model: "old"}); !errors.Is(err, engine.ErrStaleFence) {
		t.Fatalf("got error %v, want ErrStaleFence", err)
	}
	f.changeSwitches(t, func(s *fake.Switches) { s.IgnoreFence = true })
	if err := f.adapter.Apply(ctx, engine.Order{Fence: 4, Model: "old"}); err != nil || f.fake.Counters().StaleOrders != 1 {
		t.Fatalf("got error %v and counters %+v, want 1 stale order", err, f.fake.Counters())
	}
}

// Guards against a cold engine that runs at full speed under full load, collapses
// under a small load or for a single request, or becomes warm too early.
func TestColdEngineCollapsesUnderFullLoad(t *testing.T) {
	f := startEngine(t, func(c *fake.Config) {
		c.Switches.Cold, c.Switches.ColdTokens, c.Switches.WarmAfterTokens = true, 2000, 3000
	})
	prompt := strings.Repeat("word", 1500)
	for i := range 2 {
		if _, _, err := f.run(completionRequest(fmt.Sprint(i), prompt+fmt.Sprint(i)+strings.Repeat("x", 1000))); err != nil {
			t.Fatal(err)
		}
	}
	if n := f.fake.Counters().CollapsedSteps; n != 0 {
		t.Fatalf("%d collapsed steps under a small load, want 0", n)
	}
	f.changeSwitches(t, func(s *fake.Switches) { s.Cold, s.CollapseFactor, s.WarmAfterTokens = true, 5, 1_000_000 })
	if _, _, err := f.run(completionRequest("alone", strings.Repeat("y", 20_000))); err != nil {
		t.Fatal(err)
	}
	if n := f.fake.Counters().CollapsedSteps; n != 0 {
		t.Fatalf("%d collapsed steps with a single request, want 0", n)
	}
	f.changeSwitches(t, func(s *fake.Switches) { s.TokenTime = server.Duration(10 * time.Millisecond) })
	var group sync.WaitGroup
	for _, letter := range []string{"a", "b"} {
		group.Go(func() { _, _, _ = f.run(completionRequest(letter, strings.Repeat(letter, 20_000))) })
	}
	group.Wait()
	if f.fake.Counters().CollapsedSteps == 0 || !f.fake.Switches().Cold {
		t.Fatal("cold engine ran a full load without collapsed steps, or became warm")
	}
}

// Guards against a load report that is newer than LoadLag allows, and against a
// completed prompt that is not cached.
func TestLoadReportLagsAndPrefixIsCached(t *testing.T) {
	f := startEngine(t, func(c *fake.Config) { c.Switches.LoadLag = server.Duration(time.Hour) })
	prompt := strings.Repeat("word", 5000)
	if _, _, err := f.run(completionRequest("a", prompt)); err != nil {
		t.Fatal(err)
	}
	load, err := f.adapter.Load(context.Background())
	if err != nil || load.CachedPrefixTokens != 0 || time.Since(load.MeasuredAt) < time.Hour {
		t.Fatalf("got %+v, %v; want no cached tokens in a report at least 1h old", load, err)
	}
	f.changeSwitches(t, func(s *fake.Switches) { s.LoadLag = 0 })
	load, err = f.adapter.Load(context.Background())
	if err != nil || load.CachedPrefixTokens != 19*256 {
		t.Fatalf("got %+v, %v; want 4864 cached prefix tokens", load, err)
	}
}

// Guards against an engine that runs a waiting request before one with a higher
// priority, which has the lower value.
func TestRequestsRunInPriorityOrder(t *testing.T) {
	f := startEngine(t, func(c *fake.Config) { c.MaxBatch = 1; c.Switches.TokenTime = server.Duration(50 * time.Millisecond) })
	order := make(chan string, 4)
	for i, p := range []int{0, 9, 5, 1} {
		r := completionRequest(fmt.Sprint("p", p), "a prompt")
		r.Priority = p
		go func() { _, _, _ = f.run(r); order <- r.AttemptID }()
		waitUntil(t, "request queued or running", func() bool {
			state, err := f.adapter.State(context.Background())
			return err == nil && len(state.Allocations) == i+1
		})
	}
	f.changeSwitches(t, func(s *fake.Switches) { s.TokenTime = server.Duration(5 * time.Millisecond) })
	if got := <-order + <-order + <-order + <-order; got != "p0p1p5p9" {
		t.Fatalf("requests completed in the order %s, want p0p1p5p9", got)
	}
}
