package replica

import (
	"bufio"
	"fmt"
	"io"
	"net"
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
