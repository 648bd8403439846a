package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"siskinstand.example/fakes/engine"
	"siskinstand.example/fakes/plainservice"
	"siskinstand.example/loadgen/mix"
)

func config(url string) Config {
	return Config{
		Gateways: []string{url}, Token: "t", Model: "siskin-small", Service: "booking", RunID: "r",
		Deadline: 20 * time.Second, PlainDeadline: 20 * time.Second, Duration: time.Second, MaxInFlight: 100,
		Mix: mix.Config{Seed: 3, RatePerSecond: 40, PlainShare: 0.2, MaxPromptTokens: 20_000, MaxOutputTokens: 8},
	}
}

// Guards against correct responses being reported as failures.
func TestCorrectResponsesPass(t *testing.T) {
	model := engine.New(engine.DefaultConfig())
	defer model.Close()
	mux := http.NewServeMux()
	mux.Handle("/v1/", model.Handler())
	mux.Handle("/services/", plainservice.New(plainservice.Switches{}).Handler())
	s := httptest.NewServer(mux)
	defer s.Close()
	results := Run(context.Background(), config(s.URL))
	for _, r := range results {
		if r.Outcome != Complete {
			t.Errorf("request %d: got %s (%s), want whole", r.Item.Index, r.Outcome, r.Reason)
		}
	}
	if err := CheckOutcomes(results); err != nil || len(results) < 20 {
		t.Fatalf("got %d results and error %v, want at least 20 and none", len(results), err)
	}
}

// Guards against a wrong outcome for wrong, incomplete, late or missing responses
// and for refusals, and against a CheckOutcomes that disagrees with Legal.
func TestBrokenResponsesAreFound(t *testing.T) {
	text := `data: {"choices":[{"text":"abcd "}]}` + "\n\n"
	end := `data: {"choices":[{"finish_reason":"stop"}]}` + "\n\n"
	refusal := `{"error":{"code":"overloaded","verdict":%q}}`
	cases := map[string]struct {
		status int
		body   string
		// model and plain are the expected outcomes. The body of a plain response
		// is compared as a whole, so any unexpected body is wrong.
		model, plain Outcome
	}{
		"wrong text":      {200, text + end + "data: [DONE]\n\n", Wrong, Wrong},
		"no final marker": {200, text + end, Truncated, Wrong},
		"no reason":       {200, text + "data: [DONE]\n\n", Truncated, Wrong},
		"not JSON":        {200, "data: {\n\n", Truncated, Wrong},
		"error event":     {200, text + "data: " + fmt.Sprintf(refusal, "may_have_run") + "\n\n", MayHaveRun, Wrong},
		"refusal":         {503, fmt.Sprintf(refusal, "not_run"), NotRun, NotRun},
		"no verdict":      {503, fmt.Sprintf(refusal, ""), NoVerdict, NoVerdict},
		"no JSON error":   {502, "bad gateway", NoVerdict, NoVerdict},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			}))
			defer s.Close()
			expectOutcome(t, s.URL, time.Second, c.model, c.plain)
		})
	}
	t.Run("broken connection", func(t *testing.T) {
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		defer s.Close()
		expectOutcome(t, s.URL, time.Second, Truncated, Truncated)
	})
	t.Run("no gateway", func(t *testing.T) {
		s := httptest.NewServer(nil)
		s.Close()
		expectOutcome(t, s.URL, time.Second, Unsent, Unsent)
	})
	t.Run("late", func(t *testing.T) {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}))
		defer s.Close()
		expectOutcome(t, s.URL, 10*time.Millisecond, Late, Late)
	})
}

func expectOutcome(t *testing.T, url string, deadline time.Duration, model, plain Outcome) {
	t.Helper()
	c := config(url)
	c.Deadline, c.PlainDeadline = deadline, deadline
	for class, want := range map[mix.Class]Outcome{mix.Class1k: model, mix.ClassPlain: plain} {
		got := NewClient(c).Send(context.Background(), mix.Item{Class: class, PromptTokens: 10, MaxOutputTokens: 8}, time.Now())
		if got.Outcome != want {
			t.Errorf("%s: got %s (%s), want %s", class, got.Outcome, got.Reason, want)
		}
		if illegal := CheckOutcomes([]Result{got}) != nil; illegal == want.Legal() {
			t.Errorf("%s: CheckOutcomes and Legal disagree on outcome %s", class, got.Outcome)
		}
	}
}
