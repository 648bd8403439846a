package plainservice_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/coord/verdict"
	fake "siskinstand.example/fakes/plainservice"
)

func startService(t *testing.T) (*fake.Service, *engine.PlainClient, *httptest.Server) {
	t.Helper()
	service := fake.New(fake.Switches{})
	s := httptest.NewServer(service.Handler())
	t.Cleanup(s.Close)
	limits := engine.DefaultLimits()
	limits.StallTimeout = 300 * time.Millisecond
	limits.MaxResponseBytes = 1 << 10
	return service, engine.NewPlainClient(strings.TrimPrefix(s.URL, "http://"), limits), s
}

func call(adapter *engine.PlainClient, key, method string, body []byte) (string, int, error) {
	var text strings.Builder
	status := 0
	_, err := adapter.Run(context.Background(), engine.Request{
		Method: method, Path: "/book?x=1", Body: body,
		Header: []engine.Header{{Name: "Idempotency-Key", Value: key}, {Name: "Connection", Value: "close"}},
	}, func(c engine.Chunk) error {
		status += c.HTTPStatus
		text.Write(c.Data)
		return nil
	})
	return text.String(), status, err
}

// Guards against an adapter that changes the call or the response, or accepts a
// response that exceeds its size limit.
func TestForwardsCallAndResponse(t *testing.T) {
	service, adapter, _ := startService(t)
	text, status, err := call(adapter, "k", http.MethodPost, []byte("body"))
	if err != nil || status != http.StatusOK || text != fake.ExpectedResponse("k", []byte("body")) {
		t.Fatalf("got %q, %d, %v; want the expected response with status 200", text, status, err)
	}
	_ = service.SetSwitches(fake.Switches{FailStatus: http.StatusConflict})
	if _, status, err := call(adapter, "k", http.MethodPost, nil); err != nil || status != http.StatusConflict {
		t.Fatalf("got status %d, %v; want 409", status, err)
	}
	_ = service.SetSwitches(fake.Switches{})
	if long, _, err := call(adapter, strings.Repeat("k", 2<<10), http.MethodPost, nil); err == nil {
		t.Fatalf("response of %d bytes accepted, want an error", len(long))
	}
}

// Guards against a call that net/http sends a second time. It does so for requests
// with an Idempotency-Key when a reused connection breaks.
func TestBrokenConnectionNeverRepeatsACall(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for name, body := range map[string][]byte{"body": []byte("x"), "empty": nil} {
			service, adapter, _ := startService(t)
			if _, _, err := call(adapter, "first", method, body); err != nil {
				t.Fatal(err)
			}
			_ = service.SetSwitches(fake.Switches{BreakAfter: 1})
			_, _, err := call(adapter, "second", method, body)
			if verdict.FromError(err) != verdict.MayHaveRun || err == nil || service.RunCount("second") != 1 {
				t.Errorf("%s %s: %d runs, %v; want 1 run with verdict may_have_run", method, name, service.RunCount("second"), err)
			}
			_ = service.SetSwitches(fake.Switches{BreakBefore: 1})
			_, _, err = call(adapter, "third", method, body)
			if verdict.FromError(err) != verdict.MayHaveRun || err == nil || service.Counters().Calls != 3 {
				t.Errorf("%s %s: %d calls, %v; want 3 calls and verdict may_have_run", method, name, service.Counters().Calls, err)
			}
		}
	}
}

// Guards against wrong verdicts for calls to a frozen or stopped service, and
// against a wrong state of a running one.
func TestFrozenAndStopped(t *testing.T) {
	service, adapter, s := startService(t)
	if state, err := adapter.State(context.Background()); err != nil || !state.Ready {
		t.Fatalf("got %+v, %v; want a ready service", state, err)
	}
	_ = service.SetSwitches(fake.Switches{Frozen: true})
	_, _, err := call(adapter, "k", http.MethodPost, nil)
	if verdict.FromError(err) != verdict.MayHaveRun || err == nil {
		t.Fatalf("got error %v, want verdict may_have_run", err)
	}
	_ = service.SetSwitches(fake.Switches{})
	s.Close()
	_, _, err = call(adapter, "k", http.MethodPost, nil)
	var verdictErr *verdict.Error
	if !errors.As(err, &verdictErr) || verdictErr.Verdict != verdict.NotRun || verdictErr.Reason != verdict.ReasonEngineDown {
		t.Fatalf("got error %v, want reason engine_down with verdict not_run", err)
	}
}
