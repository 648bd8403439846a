package caller

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/placement"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/edge/control"
	"siskinstand.example/edge/peer"
)

// serveCrashing starts a replica that dies while it answers its first request, after the
// given start of the answer. It returns its address.
func serveCrashing(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		l.Close()
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = c.Write([]byte(answer)) // a failure shows in the status of the part
		}
	}()
	return l.Addr().String()
}

// Guards against a part that crashes replicas and is not suspected, and against suspicion of
// a part whose answer had begun.
func TestPartOfBrokenStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nReplica-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	const unframedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nReplica-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"
	const part suspect.Part = 0x5c1e07a5 // not this host's turn after a strike
	tests := map[string]struct {
		answer string
		want   control.RefusalReason
	}{
		"no answer":                          {"", control.RefusedSuspectedPart},
		"no event":                           {head, control.RefusedSuspectedPart},
		"partial event":                      {head + "5\r\nid: 1\r\n", control.RefusedSuspectedPart},
		"one event":                          {head + "f\r\nid: 1\ndata: x\n\n\r\n", control.RefusedNoReplica},
		"no event, ends with its connection": {unframedHead, control.RefusedSuspectedPart},
		"partial event, ends with its connection":       {unframedHead + "id: 1\ndat", control.RefusedSuspectedPart},
		"event and partial event, ends with connection": {unframedHead + "id: 1\ndata: x\n\nid: 2\nda", control.RefusedNoReplica},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, loop := startServer(t, serveCrashing(t, tc.answer))
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/stream/x", nil)
			r.Host = "h.example"
			r.Header.Set("Attempt-Id", "a1")
			r.Header.Set("Prompt-Prefix", "5c1e07a5:800,e4402b7d:250")
			func() {
				defer func() { _ = recover() }() // a started answer is aborted by a panic
				s.ServeHTTP(httptest.NewRecorder(), r)
			}()
			var got control.RefusalReason
			for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && got == ""; time.Sleep(time.Millisecond) {
				_, refusal, err := loop.Place(t.Context(), control.PlacementRequest{
					ID: "a2", Service: loop.View().Catalog.Service("app"), Parts: []suspect.Part{part}, Request: placement.Request{Service: "app", Objective: time.Second, TimeLeft: time.Second},
				})
				if err != nil {
					t.Fatal(err)
				}
				got = refusal.Reason
			}
			if got != tc.want {
				t.Errorf("refusal = %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a stream without a length that is presented as complete although its replica
// has ended, and against one that is aborted although it is complete or has no event yet.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nReplica-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"
	const event = "id: 1\ndata: x\n\n"
	const failure = `{"error":{"code":"engine_failed","message":"the stream broke off","verdict":"may_have_run","retry_after_ms":0}}`
	tests := map[string]struct {
		answer, want string
		status       int
		aborted      bool
	}{
		"no event":                {head, failure, http.StatusBadGateway, false},
		"partial event":           {head + "id: 1\ndat", failure, http.StatusBadGateway, false},
		"event and partial event": {head + event + "id: 2\nda", event, http.StatusOK, true},
		"whole event":             {head + event, event, http.StatusOK, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := startServer(t, serveCrashing(t, tc.answer))
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/stream/x", nil)
			r.Host = "h.example"
			r.Header.Set("Attempt-Id", "a1")
			recorder, aborted := httptest.NewRecorder(), false
			func() {
				defer func() { aborted = recover() != nil }()
				s.ServeHTTP(recorder, r)
			}()
			if got := recorder.Body.String(); got != tc.want || recorder.Code != tc.status || aborted != tc.aborted {
				t.Errorf("status %d, body %q, aborted: %t; want %d, %q, %t", recorder.Code, got, aborted, tc.status, tc.want, tc.aborted)
			}
		})
	}
}

// Guards against a suspected part that is cleared by a response without an answer, and against
// parts of requests on routes without prompts.
func TestResponsesThatClearNoPart(t *testing.T) {
	const part = suspect.Part(0x5c1e07a5)
	tests := map[string]struct{ path, status string }{
		"stream, 404": {"/stream/x", "404 Not Found"},
		"plain, 200":  {"/x", "200 OK"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			s, loop := startServerWithScope(t, serveCrashing(t, "HTTP/1.1 "+tc.status+"\r\nAttempt-Id: a1\r\nReplica-Stamp: s\r\nContent-Length: 0\r\n\r\n"), scope)
			loop.ReceiveReport(peer.Message{Name: "edge-2", Incarnation: 1, Parts: []suspect.PartReport{{Part: part, Crashes: []suspect.CrashID{1}}}})
			time.Sleep(500 * time.Millisecond) // until it is this host's turn to try the part
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, tc.path, nil)
			r.Host = "h.example"
			r.Header.Set("Attempt-Id", "a1")
			r.Header.Set("Prompt-Prefix", "5c1e07a5:800,e4402b7d:250")
			recorder := httptest.NewRecorder()
			s.ServeHTTP(recorder, r)
			if !strings.HasPrefix(tc.status, strconv.Itoa(recorder.Code)) {
				t.Errorf("status %d, want %s", recorder.Code, tc.status)
			}
			time.Sleep(100 * time.Millisecond)
			if g, ok := scope.Snapshot().Gauges()["suspected_parts+"]; !ok || g.Value() != 1 {
				t.Errorf("suspected parts: %v, want 1", g)
			}
		})
	}
}
