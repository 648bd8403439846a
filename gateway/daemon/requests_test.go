package daemon

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	pb "siskinstand.example/peerpb"
)

// Guards against invalid requests that reach an endpoint, and against refusals
// with the wrong reason.
func TestInvalidRequestsAreRefused(t *testing.T) {
	e := startSidecar(t, "e1", respondWith("x"), nil)
	f := startGateway(t, "", e)
	tests := map[string]struct {
		method, path, body string
		header             map[string]string
		status             int
		code               string
	}{
		"invalid UTF-8":        {"POST", chatPath, "{\"model\":\"\xff\"}", nil, 400, "bad_request"},
		"broken JSON":          {"POST", chatPath, `{"model":"m1",`, nil, 400, "bad_request"},
		"no messages":          {"POST", chatPath, `{"model":"m1"}`, nil, 400, "bad_request"},
		"prompt is a number":   {"POST", "/v1/completions", `{"model":"m1","prompt":7}`, nil, 400, "bad_request"},
		"n of 2":               {"POST", chatPath, strings.Replace(chatBody, "{", `{"n":2,`, 1), nil, 400, "bad_request"},
		"max_tokens of 0":      {"POST", chatPath, strings.Replace(chatBody, "{", `{"max_tokens":0,`, 1), nil, 400, "bad_request"},
		"unknown model":        {"POST", chatPath, strings.Replace(chatBody, "m1", "m9", 1), nil, 404, "unknown_model"},
		"unknown service":      {"GET", "/services/none/x", "", nil, 404, "unknown_service"},
		"wrong token":          {"POST", chatPath, chatBody, map[string]string{"Authorization": "Bearer no"}, 401, "unauthorized"},
		"no token":             {"GET", "/v1/models", "", map[string]string{"Authorization": "Basic x"}, 401, "unauthorized"},
		"deadline past":        {"POST", chatPath, chatBody, map[string]string{"Siskin-Deadline-Ms": "-1"}, 504, "deadline_exceeded"},
		"deadline with unit":   {"POST", chatPath, chatBody, map[string]string{"Siskin-Deadline-Ms": "1s"}, 400, "bad_request"},
		"long idempotency key": {"POST", chatPath, chatBody, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "bad_request"},
		"unknown path":         {"POST", "/v2/chat", "", nil, 404, "bad_request"},
		"large body":           {"POST", chatPath, strings.Repeat("x", 17<<20), nil, 413, "body_too_large"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			status, body, _ := f.call(tc.method, tc.path, tc.body, tc.header)
			assertErrorResponse(t, status, body, tc.status, tc.code, "not_run")
		})
	}
	if n := e.offerCount(); n != 0 {
		t.Errorf("%d offers of invalid requests, want 0", n)
	}
}

// Guards against a caller that sends its body too slowly and thereby occupies a
// request forever, even if the request is refused without reading the body.
func TestSlowBody(t *testing.T) {
	f := startGateway(t, "", startSidecar(t, "e1", respondWith("x"), nil))
	for token, status := range map[string]string{testToken: "408", "wrong": "401"} {
		conn, err := net.Dial("tcp", f.daemon.CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", chatPath, token)
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		response := make([]byte, 64)
		if n, err := conn.Read(response); err != nil || !strings.HasPrefix(string(response[:n]), "HTTP/1.1 "+status) {
			t.Errorf("response to token %q = %q, %v, want 408 for the valid token and 401 for the other", token, response[:n], err)
		}
	}
}

// Guards against new requests in an availability zone that operators have taken
// out of service, and against replacing the revision in force by an older one.
func TestZoneOut(t *testing.T) {
	e1, e2 := startSidecar(t, "e1", respondWith("x"), nil), startSidecar(t, "e2", respondWith("x"), nil)
	f := startGateway(t, "", e1, e2)
	f.source.set(t, 2, "[zone zone-e1]\nstate = out\n")
	eventually(t, "the slice with the zone's state", func() bool {
		e1.mu.Lock()
		defer e1.mu.Unlock()
		return slices.ContainsFunc(e1.slices, func(s *pb.Slice) bool { return s.GetZoneOut() && s.GetChangedRevision() == 2 })
	})
	for i := range 20 {
		f.call("POST", chatPath, strings.Replace(chatBody, "hello", fmt.Sprint(i), 1), nil)
	}
	if e1.offerCount() != 0 || e2.offerCount() != 20 {
		t.Errorf("offers %d and %d, want 0 and 20", e1.offerCount(), e2.offerCount())
	}
	f.source.set(t, 1, "")
	eventually(t, "refusal of an older revision", func() bool { return f.daemon.Invariants.Total() == 1 })
	if f.daemon.loop.View().Config.Revision != 2 {
		t.Error("revision 2 in force was replaced by an older one")
	}
	f.violations = 1
}

// Guards against requests sent to an address that, after a restart of hosts,
// belongs to another endpoint.
func TestReassignedEndpointAddress(t *testing.T) {
	e1, e2 := startSidecar(t, "e1", respondWith("x"), nil), startSidecar(t, "e2", respondWith("x"), nil)
	f := startGateway(t, "", e1, e2)
	e1.mu.Lock()
	e1.reportedEndpoint = "e9"
	e1.mu.Unlock()
	// A new revision, even without relevant changes, triggers the next reports.
	f.source.set(t, 2, "[zone other]\nstate = out\n")
	eventually(t, "the end of the control stream", func() bool { return f.daemon.View().Pools["p1"].UsableCount() == 1 })
	for i := range 10 {
		f.call("POST", chatPath, strings.Replace(chatBody, "hello", fmt.Sprint(i), 1), nil)
	}
	if e1.offerCount() != 0 || e2.offerCount() != 10 {
		t.Errorf("offers %d and %d, want 0 and 10", e1.offerCount(), e2.offerCount())
	}
}

// Guards against sending a request back to the endpoint that it has crashed, and
// against a third endpoint crashed by the same request.
func TestCrashSuspect(t *testing.T) {
	crash := func(o *pb.Offer, s *scriptedStream) error {
		if err := s.sendAdmitted(false); err != nil {
			return err
		}
		n := uint32(1)
		if o.GetIsolated() {
			n = 2
		}
		suspect := &pb.Suspect{Fingerprint: o.GetFingerprint(), Strikes: n, Events: []uint64{uint64(s.sidecar.name[1])}}
		failed := &pb.Failed{Verdict: "may_have_run", Reason: "engine_failed", Suspects: []*pb.Suspect{suspect}}
		return s.send(&pb.AttemptEvent{Kind: &pb.AttemptEvent_Failed{Failed: failed}})
	}
	var all []*testSidecar
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		all = append(all, startSidecar(t, name, crash, nil))
	}
	f := startGateway(t, "", all...)
	for range 50 {
		f.call("POST", chatPath, chatBody, nil)
	}
	status, body, header := f.call("POST", chatPath, chatBody, nil)
	assertErrorResponse(t, status, body, http.StatusUnprocessableEntity, "crash_suspect", "not_run")
	if header.Get("Retry-After") == "" {
		t.Error("the refusal has no Retry-After header")
	}
	crashed := 0
	for _, e := range all {
		crashed += e.offerCount()
	}
	if crashed != 2 {
		t.Errorf("%d endpoints crashed by one request, want 2", crashed)
	}
}

// Guards against a large body that is sent before admission or truncated.
func TestLargeBody(t *testing.T) {
	prompt := strings.Repeat("long ", 1<<17)
	run := func(o *pb.Offer, s *scriptedStream) error {
		if len(o.GetBody()) != 0 {
			return s.sendRefused("not_run", "bad_request")
		}
		if err := s.sendAdmitted(true); err != nil {
			return err
		}
		var body []byte
		for {
			m, err := s.stream.Recv()
			if err != nil {
				return err
			}
			body = append(body, m.GetBody().GetData()...)
			if m.GetStart() != nil {
				break
			}
		}
		if int64(len(body)) != o.GetBodyBytes() || !strings.Contains(string(body), prompt) {
			return s.sendRefused("not_run", "bad_request")
		}
		return respondWith("ok")(o, s)
	}
	f := startGateway(t, "", startSidecar(t, "e1", run, nil))
	status, body, _ := f.call("POST", chatPath, strings.Replace(chatBody, "hello", prompt, 1), nil)
	if status != http.StatusOK || !strings.Contains(body, `"content":"ok"`) {
		t.Errorf("response = %d %s, want 200 and the content ok", status, body)
	}
}

func groupSidecars(t *testing.T, run script) []*testSidecar {
	var all []*testSidecar
	for _, name := range []string{"e1", "e2", "e3"} {
		s := startSidecar(t, name, run, nil)
		s.load = &pb.Load{MemoryTotalTokens: 10_000, PrefillTokensPerSecond: 1000}
		all = append(all, s)
	}
	return all
}

// chatBodyOfTokens returns a request body of about the given number of tokens.
func chatBodyOfTokens(tokens int) string {
	body := strings.Replace(chatBody, "{", `{"max_tokens":1,`, 1)
	return strings.Replace(body, "hello", strings.Repeat("four", tokens), 1)
}

// Guards against a prompt too large for one engine that runs without memory holds
// on all members of its group, and against holds that are kept after another member
// has refused.
func TestGroupHolds(t *testing.T) {
	all := groupSidecars(t, respondWith("ok"))
	f := startGateway(t, "", all...)
	status, body, _ := f.call("POST", chatPath, chatBodyOfTokens(20_000), nil)
	if status != http.StatusOK {
		t.Fatalf("response = %d %s, want 200", status, body)
	}
	members := all[0].lastOffer().GetGroup().GetMembers()
	var sum int64
	for i, m := range members {
		sum += m.GetTokens()
		if m.GetEngineAddress() != "engine-"+all[i].name || m.GetHoldId() == "" {
			t.Errorf("member %d = %v, want a hold ID and the engine address of its sidecar", i, m)
		}
	}
	if len(members) != 3 || sum < 20_000 || all[0].offerCount() != 1 {
		t.Errorf("%d members with %d tokens, %d offers to the leader; want 3 members with at least 20000 tokens, 1 offer", len(members), sum, all[0].offerCount())
	}
	status, body, _ = f.call("POST", chatPath, chatBodyOfTokens(40_000), nil)
	assertErrorResponse(t, status, body, http.StatusBadRequest, "prompt_too_long", "not_run")

	all[2].mu.Lock()
	all[2].grantHolds = false
	all[2].mu.Unlock()
	status, body, _ = f.call("POST", chatPath, chatBodyOfTokens(20_001), nil)
	assertErrorResponse(t, status, body, http.StatusServiceUnavailable, "overloaded", "not_run")
	eventually(t, "the release of the refused group's holds", func() bool {
		all[0].mu.Lock()
		defer all[0].mu.Unlock()
		return len(all[0].holds) == 1 && len(all[0].released) > 0
	})
	if all[0].offerCount() != 1 {
		t.Error("the request was offered without all holds")
	}
}

// Guards against a prompt that keeps waiting for admission, or whose holds are kept,
// after a member of its group was lost.
func TestGroupMemberCrashBeforeStart(t *testing.T) {
	wait := func(_ *pb.Offer, s *scriptedStream) error {
		for {
			m, err := s.stream.Recv()
			if err != nil {
				return err
			}
			if m.GetCancel() != nil {
				return s.sendRefused("not_run", "cancelled")
			}
		}
	}
	all := groupSidecars(t, wait)
	f := startGateway(t, "", all...)
	time.AfterFunc(300*time.Millisecond, all[2].server.Stop)
	status, body, _ := f.call("POST", chatPath, chatBodyOfTokens(20_000), nil)
	assertErrorResponse(t, status, body, http.StatusServiceUnavailable, "group_member_lost", "not_run")
	eventually(t, "the release of the other holds", func() bool {
		all[0].mu.Lock()
		defer all[0].mu.Unlock()
		return len(all[0].holds) == 0
	})
}
