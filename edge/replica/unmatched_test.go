package replica

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/coord/verdict"
)

// brokenConn is a connection that the replica has closed while the request was written. What
// the replica sent before is still readable.
type brokenConn struct {
	net.Conn
	io.Reader
}

func (c brokenConn) Read(p []byte) (int, error)      { return c.Reader.Read(p) }
func (c brokenConn) Write([]byte) (int, error)       { return 0, syscall.ECONNRESET }
func (c brokenConn) SetReadDeadline(time.Time) error { return nil }

const (
	lateSuccess   = "HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nReplica-Stamp: s\r\nContent-Length: 7\r\n\r\nforeign"
	lateRejection = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	mixedSuccess  = "HTTP/1.1 200 OK\r\nAttempt-Id: own\r\nAttempt-Id: earlier\r\nReplica-Stamp: s\r\nContent-Length: 7\r\n\r\nforeign"
	mixedRefusal  = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: own\r\nAttempt-Id: earlier\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	ownRejection  = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: own\r\nNot-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Guards against a late response to an earlier request that is taken for the response to a
// request whose body could not be written: callers got the response to another client
// account's request.
func TestLateResponseAfterFailedWrite(t *testing.T) {
	for name, tc := range map[string]struct {
		received string
		// wantRejected is set if the response to the request itself was received.
		wantRejected bool
	}{
		"success":                      {lateSuccess, false},
		"rejection":                    {lateRejection, false},
		"success, then own rejection":  {lateSuccess + ownRejection, true},
		"rejection twice, then own":    {lateRejection + lateRejection + ownRejection, true},
		"own rejection":                {ownRejection, true},
		"nothing":                      {"", false},
		"success with a truncated end": {strings.TrimSuffix(lateSuccess, "eign"), false},
	} {
		t.Run(name, func(t *testing.T) {
			budget := &budgetReader{source: strings.NewReader(tc.received)}
			c := &conn{Conn: brokenConn{Reader: strings.NewReader("")}, budget: budget, reader: bufio.NewReader(budget), reused: true}
			resp, err := exchange(c, Request{Method: "POST", Target: "/", Host: "h", AttemptID: "own", Body: []byte("body")})
			if err != nil {
				if tc.wantRejected {
					t.Fatalf("exchange failed: %v, want the rejection", err)
				}
				return
			}
			defer resp.Body.Close()
			if id := resp.Header.Get("Attempt-Id"); !tc.wantRejected || id != "own" {
				t.Errorf("response %d to request %q, want rejection %t of \"own\"", resp.StatusCode, id, tc.wantRejected)
			}
		})
	}
}

// Guards against such a response on a real connection: the replica rejects a long request
// before it has read the body, and closes with unread bytes, which resets the connection.
func TestLateResponseBeforeEarlyRejection(t *testing.T) {
	s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		if _, ok := s.readRequest(r); !ok {
			return
		}
		fmt.Fprint(c, responseText("first", "good"))
		_, _ = r.ReadString('\n') // the rest of the second request is not read
		fmt.Fprint(c, responseText("first", "foreign")+ownRejection)
		time.Sleep(20 * time.Millisecond) // the client is writing when the connection is reset
	})
	p := testPool(t)
	sendAndRead(t, p, s.address, "first")
	resp, err := send(p, s.address, "own", strings.Repeat("x", 16<<20))
	if err != nil {
		checkVerdict(t, err, verdict.MayHaveRun)
		return
	}
	defer resp.Close()
	if resp.Info.AttemptID != "own" || !resp.Info.NotRun {
		t.Errorf("response %d to %q, want the rejection of \"own\"", resp.Status, resp.Info.AttemptID)
	}
}

// refusal is the response of a replica that has not run a request. The attempt ID is omitted if
// it is empty.
func refusal(attempt string) string {
	line := ""
	if attempt != "" {
		line = "Attempt-Id: " + attempt + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + line + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// Guards against an earlier refusal that a replica writes once more on a kept connection and
// that is taken for the response to a later request, which the replica runs: callers were told
// that it had not run, and it could run at a second replica.
func TestRepeatedRefusal(t *testing.T) {
	for name, tc := range map[string]struct {
		// later is the attempt ID of the second request, and repeated the one in the refusal
		// that is written once more.
		later, repeated string
		want            verdict.Verdict
	}{
		"with its attempt ID":                    {later: "second", repeated: "first", want: verdict.Ran},
		"without an attempt ID":                  {later: "second", repeated: "", want: verdict.MayHaveRun},
		"of a request with the same ID":          {later: "first", repeated: "first", want: verdict.Ran},
		"of a request with the same ID, without": {later: "first", repeated: "", want: verdict.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
				attempt, ok := s.readRequest(r)
				if !ok {
					return
				}
				if s.connections.Load() > 1 {
					fmt.Fprint(c, responseText(attempt, "ran"))
					return
				}
				fmt.Fprint(c, refusal(attempt))
				if attempt, ok = s.readRequest(r); ok {
					fmt.Fprint(c, refusal(tc.repeated)+responseText(attempt, "ran"))
				}
			})
			p := testPool(t)
			resp, err := send(p, s.address, "first", "")
			if err != nil || !resp.Info.NotRun {
				t.Fatalf("first response %+v, %v, want the refusal", resp, err)
			}
			if _, err := io.ReadAll(resp); err != nil {
				t.Fatal(err)
			}
			resp.Close()
			resp, err = send(p, s.address, tc.later, "")
			got := verdict.FromError(err)
			if err == nil {
				defer resp.Close()
				got = verdict.Ran
				if resp.Info.NotRun {
					got = verdict.NotRun
				}
			}
			if got != tc.want {
				t.Errorf("second request: verdict %s, %v, want %s", got, err, tc.want)
			}
		})
	}
}

// Guards against a late response to a GET request whose body is taken for the response to a
// HEAD request, and against the bytes of a response that are skipped as the body of a late
// response to a HEAD request.
func TestLateResponseAroundHead(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nAttempt-Id: own\r\nReplica-Stamp: s\r\nContent-Length: 3\r\n\r\n"
	for name, tc := range map[string]struct{ earlierMethod, method, received string }{
		"before": {"HEAD", "GET", "HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nContent-Length: 100\r\n\r\n" + own + "own" + strings.Repeat("x", 100)},
		"after":  {"GET", "HEAD", fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nContent-Length: %d\r\n\r\n", len(own)) + own},
	} {
		t.Run(name, func(t *testing.T) {
			budget := &budgetReader{source: strings.NewReader(tc.received)}
			c := &conn{Conn: openConn{}, budget: budget, reader: bufio.NewReader(budget), reused: true}
			c.recordSent(Request{Method: tc.earlierMethod, AttemptID: "earlier"})
			resp, err := exchange(c, Request{Method: tc.method, Target: "/", Host: "h", AttemptID: "own"})
			if err == nil {
				resp.Body.Close()
				t.Errorf("response %d accepted, want an error", resp.StatusCode)
			}
		})
	}
}

// openConn accepts all bytes.
type openConn struct{ net.Conn }

func (openConn) Write(p []byte) (int, error)     { return len(p), nil }
func (openConn) SetReadDeadline(time.Time) error { return nil }

// Guards against a response with two attempt IDs that is taken for the response to the request:
// callers got the response to another request, and a repeated rejection counted as "not run" for
// a request that ran.
func TestResponseWithTwoIDs(t *testing.T) {
	for name, received := range map[string]string{"success": mixedSuccess, "rejection": mixedRefusal, "own ID last": strings.Replace(mixedRefusal, "own\r\nAttempt-Id: earlier", "earlier\r\nAttempt-Id: own", 1)} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %t", name, reused), func(t *testing.T) {
				budget := &budgetReader{source: strings.NewReader(received)}
				c := &conn{Conn: brokenConn{Reader: strings.NewReader("")}, budget: budget, reader: bufio.NewReader(budget), reused: reused}
				resp, err := readOwnHead(c, &http.Request{Method: http.MethodPost}, "own", time.Time{})
				if err == nil {
					resp.Body.Close()
					t.Errorf("response %d was accepted, want an error", resp.StatusCode)
				}
			})
		}
	}
}

// Guards against a request that waits until its time limit for the rest of a response to an
// earlier request.
func TestLateResponseWithoutEnd(t *testing.T) {
	s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		for id, ok := s.readRequest(r); ok; id, ok = s.readRequest(r) {
			if id == "first" {
				fmt.Fprint(c, responseText(id, "good"))
			} else {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nAttempt-Id: first\r\nReplica-Stamp: s\r\nContent-Length: 100\r\n\r\npart")
			}
		}
	})
	p := testPool(t)
	sendAndRead(t, p, s.address, "first")
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := p.Do(ctx, Request{Address: s.address, Method: http.MethodPost, Target: "/", Host: "h", AttemptID: "own"})
	checkVerdict(t, err, verdict.MayHaveRun)
	if d := time.Since(startedAt); d > time.Second {
		t.Errorf("failed after %v, want at most 1s", d)
	}
}
