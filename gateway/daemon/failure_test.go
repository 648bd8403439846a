package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/invariant"
	pb "siskinstand.example/peerpb"
)

var streamBody = strings.Replace(chatBody, "{", `{"stream":true,`, 1)

// firstThen returns a script that handles the first offer to any sidecar with the
// first script and all later offers with the second.
func firstThen(first, then script) script {
	var used atomic.Bool
	return func(o *pb.Offer, s *scriptedStream) error {
		if used.CompareAndSwap(false, true) {
			return first(o, s)
		}
		return then(o, s)
	}
}

// crashAfterChunks sends the words as chunks and then stops the whole sidecar.
func crashAfterChunks(words ...string) script {
	return func(_ *pb.Offer, s *scriptedStream) error {
		if err := s.sendAdmitted(false); err != nil {
			return err
		}
		for i, w := range words {
			if err := s.sendChunk(int64(i), w); err != nil {
				return err
			}
		}
		time.Sleep(50 * time.Millisecond)
		go s.sidecar.server.Stop()
		<-s.stream.Context().Done()
		return s.stream.Context().Err()
	}
}

// Guards against lost or duplicate chunks when a sidecar crashes before or after
// its first chunk, and against a retry that runs alongside other requests
// although the request may have crashed the endpoint.
func TestSidecarCrash(t *testing.T) {
	tests := map[string]script{
		"before the first chunk": crashAfterChunks(),
		"after the first chunk":  crashAfterChunks("Hel"),
		"before the final":       crashAfterChunks("Hel", "lo", "!"),
	}
	for name, crash := range tests {
		t.Run(name, func(t *testing.T) {
			run := firstThen(crash, respondWith("Hel", "lo", "!"))
			e1, e2 := startSidecar(t, "e1", run, nil), startSidecar(t, "e2", run, nil)
			f := startGateway(t, "", e1, e2)
			_, body, _ := f.call("POST", chatPath, streamBody, nil)
			if text, done := streamText(t, body); text != "Hello!" || !done {
				t.Errorf("stream = %q, done %v, want Hello! and the end marker", text, done)
			}
			if n := e1.offerCount() + e2.offerCount(); n != 2 {
				t.Errorf("%d offers, want 2", n)
			}
			retried := e1.lastOffer()
			if e2.lastOffer().GetAttempt() == 2 {
				retried = e2.lastOffer()
			}
			if !retried.GetIsolated() {
				t.Error("the retry of a crash suspect is not isolated")
			}
		})
	}
}

// Guards against presenting a response without its final event as complete.
func TestEveryAttemptFails(t *testing.T) {
	fail := func(o *pb.Offer, s *scriptedStream) error {
		if err := s.sendChunk(o.GetResumePosition(), "x"); err != nil {
			return err
		}
		return s.send(&pb.AttemptEvent{Kind: &pb.AttemptEvent_Failed{Failed: &pb.Failed{Verdict: "may_have_run", Reason: "engine_failed"}}})
	}
	f := startGateway(t, "", startSidecar(t, "e1", fail, nil), startSidecar(t, "e2", fail, nil))
	status, body, _ := f.call("POST", chatPath, chatBody, nil)
	assertErrorResponse(t, status, body, http.StatusBadGateway, "engine_failed", "may_have_run")
	_, body, _ = f.call("POST", chatPath, streamBody, nil)
	if text, done := streamText(t, body); text != "xx" || done || !strings.Contains(body, `"verdict":"may_have_run"`) {
		t.Errorf("stream = %q, done %v, want xx and the verdict may_have_run without an end marker: %s", text, done, body)
	}
}

// Guards against an offer to a third candidate, a missing Retry-After or a wrong
// verdict when both candidates refuse.
func TestBothCandidatesRefuse(t *testing.T) {
	var all []*testSidecar
	for _, name := range []string{"e1", "e2", "e3"} {
		all = append(all, startSidecar(t, name, refuseWith("not_run", "overloaded"), nil))
	}
	f := startGateway(t, "", all...)
	status, body, header := f.call("POST", chatPath, chatBody, nil)
	assertErrorResponse(t, status, body, http.StatusServiceUnavailable, "overloaded", "not_run")
	if header.Get("Retry-After") == "" {
		t.Error("the refusal has no Retry-After header")
	}
	if n := all[0].offerCount() + all[1].offerCount() + all[2].offerCount(); n != 2 {
		t.Errorf("%d offers, want 2", n)
	}
}

// Guards against the verdict not_run for a request of which an earlier attempt may
// have run.
func TestVerdictCoversEarlierAttempts(t *testing.T) {
	run := firstThen(crashAfterChunks(), refuseWith("not_run", "overloaded"))
	f := startGateway(t, "", startSidecar(t, "e1", run, nil), startSidecar(t, "e2", run, nil))
	status, body, _ := f.call("POST", chatPath, chatBody, nil)
	assertErrorResponse(t, status, body, http.StatusServiceUnavailable, "overloaded", "may_have_run")
}

// Guards against forwarding chunks of other attempts or requests, duplicate chunks
// or reordered chunks to the caller.
func TestUnexpectedChunks(t *testing.T) {
	run := func(o *pb.Offer, s *scriptedStream) error {
		stale := chunkEvent(0, "stale")
		stale.RequestId, stale.Attempt = o.GetRequestId(), o.GetAttempt()+1
		foreign := chunkEvent(0, "foreign")
		foreign.RequestId, foreign.Attempt = "another", o.GetAttempt()
		for _, e := range []*pb.AttemptEvent{stale, foreign, chunkEvent(1, "lo"), chunkEvent(1, "lo"), chunkEvent(0, "Hel"), chunkEvent(0, "Hel")} {
			if err := s.send(e); err != nil {
				return err
			}
		}
		return s.sendFinal(2)
	}
	f := startGateway(t, "", startSidecar(t, "e1", run, nil), startSidecar(t, "e2", run, nil))
	_, body, _ := f.call("POST", chatPath, streamBody, nil)
	if text, done := streamText(t, body); text != "Hello" || !done {
		t.Errorf("stream = %q, done %v, want Hello and the end marker", text, done)
	}
}

// Guards against a second run of a non-repeatable call.
func TestNonRepeatableCall(t *testing.T) {
	started := make(chan struct{}, 4)
	crash := func(_ *pb.Offer, s *scriptedStream) error {
		if err := s.sendAdmitted(true); err != nil {
			return err
		}
		if m, err := s.stream.Recv(); err != nil || m.GetStart() == nil {
			return err
		}
		started <- struct{}{}
		go s.sidecar.server.Stop()
		<-s.stream.Context().Done()
		return s.stream.Context().Err()
	}
	e1, e2 := startSidecar(t, "e1", crash, nil), startSidecar(t, "e2", crash, nil)
	f := startGateway(t, "", e1, e2)
	key := map[string]string{"Idempotency-Key": "k1"}
	status, body, _ := f.call("POST", "/services/book/seat?x=1", "{}", nil)
	assertErrorResponse(t, status, body, http.StatusBadRequest, "idempotency_key_required", "not_run")
	status, body, _ = f.call("POST", "/services/book/seat", "{}", key)
	assertErrorResponse(t, status, body, http.StatusBadGateway, "connection_lost", "may_have_run")
	status, body, _ = f.call("POST", "/services/book/seat", "{}", key)
	assertErrorResponse(t, status, body, http.StatusConflict, "duplicate_request", "may_have_run")
	status, body, _ = f.call("POST", "/services/book/seat", "{2}", key)
	assertErrorResponse(t, status, body, http.StatusUnprocessableEntity, "idempotency_key_reused", "not_run")
	if n := e1.offerCount() + e2.offerCount(); n != 1 || len(started) != 1 {
		t.Errorf("%d offers, %d starts, want 1", n, len(started))
	}
}

// Guards against a path or response of a plain service that is forwarded
// incorrectly, and against a second run for a resent idempotency key.
func TestPlainService(t *testing.T) {
	var path atomic.Value
	run := func(o *pb.Offer, s *scriptedStream) error {
		path.Store(o.GetMethod() + " " + o.GetPath())
		first := chunkEvent(0, "no")
		first.GetChunk().HttpStatus = http.StatusTeapot
		first.GetChunk().Headers = []*pb.Header{{Name: "Content-Type", Value: "text/x"}, {Name: "Connection", Value: "x"}}
		if err := s.send(first); err != nil {
			return err
		}
		if err := s.sendChunk(1, "te"); err != nil {
			return err
		}
		return s.sendFinal(2)
	}
	e := startSidecar(t, "e1", run, nil)
	f := startGateway(t, "", e)
	key := map[string]string{"Idempotency-Key": "k1"}
	for range 2 {
		status, body, header := f.call("PUT", "/services/book/a%2Fb/c?d=1", "{}", key)
		if status != http.StatusTeapot || body != "note" || header.Get("Content-Type") != "text/x" || header.Get("Content-Length") != "4" {
			t.Errorf("response = %d %q %v, want 418 \"note\" of type text/x and length 4", status, body, header)
		}
	}
	if got := path.Load(); got != "PUT /a%2Fb/c?d=1" || e.offerCount() != 1 {
		t.Errorf("%d offers of %v, want 1 of PUT /a%%2Fb/c?d=1", e.offerCount(), got)
	}
}

// Guards against a caller that reads slowly and occupies an endpoint or memory
// beyond its deadline. The invariant request_outcome counts a late end.
func TestSlowReader(t *testing.T) {
	ended := make(chan struct{})
	run := func(_ *pb.Offer, s *scriptedStream) error {
		defer close(ended)
		text := strings.Repeat("x", 32<<10)
		for i := int64(0); ; i++ {
			if err := s.sendChunk(i, text); err != nil {
				return err
			}
		}
	}
	f := startGateway(t, "", startSidecar(t, "e1", run, nil))
	conn, err := net.Dial("tcp", f.daemon.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	deadline := map[string]string{"Siskin-Deadline-Ms": "300"}
	if err := f.request("POST", chatPath, streamBody, deadline).Write(conn); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the stream to a caller that does not read did not end")
	}
	eventually(t, "the end of the request", func() bool { return f.daemon.callerServer.ActiveRequests() == 0 })
}

// hangAfterChunk sends one chunk and then waits until the gateway cancels the
// request.
func hangAfterChunk(cancelled chan<- struct{}) script {
	return func(_ *pb.Offer, s *scriptedStream) error {
		if err := s.sendChunk(0, "x"); err != nil {
			return err
		}
		<-s.stream.Context().Done()
		close(cancelled)
		return s.stream.Context().Err()
	}
}

// Guards against work that continues after its caller has disconnected, and
// against a request without a response at its deadline.
func TestDisconnectAndDeadline(t *testing.T) {
	t.Run("disconnect", func(t *testing.T) {
		cancelled := make(chan struct{})
		f := startGateway(t, "", startSidecar(t, "e1", hangAfterChunk(cancelled), nil))
		ctx, cancel := context.WithCancel(t.Context())
		response, err := http.DefaultClient.Do(f.request("POST", chatPath, streamBody, nil).WithContext(ctx))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		cancel()
		<-cancelled
	})
	t.Run("deadline", func(t *testing.T) {
		cancelled := make(chan struct{})
		f := startGateway(t, "", startSidecar(t, "e1", hangAfterChunk(cancelled), nil))
		status, body, _ := f.call("POST", chatPath, chatBody, map[string]string{"Siskin-Deadline-Ms": "200"})
		assertErrorResponse(t, status, body, http.StatusGatewayTimeout, "deadline_exceeded", "may_have_run")
		<-cancelled
	})
}

// Guards against a shutdown that interrupts a stream or admits new requests.
func TestShutdownWaitsForStream(t *testing.T) {
	proceed := make(chan struct{})
	run := func(_ *pb.Offer, s *scriptedStream) error {
		if err := s.sendChunk(0, "Hel"); err != nil {
			return err
		}
		<-proceed
		if err := s.sendChunk(1, "lo"); err != nil {
			return err
		}
		return s.sendFinal(2)
	}
	f := startGateway(t, "", startSidecar(t, "e1", run, nil))
	response, err := http.DefaultClient.Do(f.request("POST", chatPath, streamBody, nil))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	f.cancel()
	eventually(t, "the shutdown", func() bool { return f.daemon.NotReadyReason() == "shutting down" })
	status, body, _ := f.call("POST", chatPath, chatBody, nil)
	assertErrorResponse(t, status, body, http.StatusServiceUnavailable, "shutting_down", "not_run")
	time.Sleep(300 * time.Millisecond)
	close(proceed)
	rest, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	if text, done := streamText(t, first+string(rest)); text != "Hello" || !done {
		t.Errorf("stream = %q, done %v, want Hello and the end marker", text, done)
	}
	<-f.stopped
}

// Guards against trusting the verdict not_run of a sidecar that has already sent
// a part of the response.
func TestFalseNotRunVerdict(t *testing.T) {
	run := func(_ *pb.Offer, s *scriptedStream) error {
		if err := s.sendChunk(0, "x"); err != nil {
			return err
		}
		return s.sendRefused("not_run", "deadline_exceeded")
	}
	f := startGateway(t, "", startSidecar(t, "e1", run, nil))
	status, body, _ := f.call("POST", chatPath, chatBody, nil)
	assertErrorResponse(t, status, body, http.StatusGatewayTimeout, "deadline_exceeded", "may_have_run")
	if n := f.daemon.Invariants.Count(invariant.NotRunVerdict); n != 1 {
		t.Errorf("%d violations of not_run_true, want 1", n)
	}
	f.violations = 1
}

// Guards against a shutdown that cuts off a stream without reporting an invariant
// violation.
func TestShutdownTimeout(t *testing.T) {
	f := startGateway(t, "", startSidecar(t, "e1", hangAfterChunk(make(chan struct{})), nil))
	response, err := http.DefaultClient.Do(f.request("POST", chatPath, streamBody, nil))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	f.daemon.Drain(ctx)
	if n := f.daemon.Invariants.Count(invariant.ShutdownComplete); n != 1 {
		t.Errorf("%d violations of shutdown_complete, want 1", n)
	}
	f.violations = 1
}

// Guards against a gateway that stops before the result of a call is stored with its claim. A
// caller that sends the call again would get may_have_run.
func TestShutdownStoresResults(t *testing.T) {
	answer := func(_ *pb.Offer, s *scriptedStream) error {
		if err := s.sendAdmitted(false); err != nil {
			return err
		}
		chunk := chunkEvent(0, "{}")
		chunk.GetChunk().HttpStatus = http.StatusOK
		if err := s.send(chunk); err != nil {
			return err
		}
		return s.sendFinal(1)
	}
	f := startGateway(t, "", startSidecar(t, "e1", answer, nil))
	f.claims.completeDelay = 1500 * time.Millisecond
	if status, body, _ := f.call("POST", "/services/book/x", "{}", map[string]string{"Idempotency-Key": "k1", "Siskin-Deadline-Ms": "300"}); status != http.StatusOK {
		t.Fatalf("response %d %s, want 200", status, body)
	}
	f.stop()
	f.claims.mu.Lock()
	defer f.claims.mu.Unlock()
	for _, r := range f.claims.records {
		if r.State != claim.StateDone {
			t.Errorf("claim in state %v after the shutdown, want its result", r.State)
		}
	}
}
