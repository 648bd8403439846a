package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"siskinstand.example/coord/responsehead/headtest"
)

const eventlessHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nReplica-Stamp: first\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// serveEventless starts a replica that sends the head of a stream and no event. After the given
// time it ends the connection, with a reset if that is set.
func serveEventless(t *testing.T, after time.Duration, isReset bool) string {
	t.Helper()
	return headtest.Listen(t, func(c net.Conn) {
		if _, _, err := headtest.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		fmt.Fprint(c, eventlessHead)
		time.Sleep(after)
		if isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// Guards against streams whose replica has sent the head and no event, and whose callers got a
// closed connection without a status instead of the host's own failure (LOST).
func TestStreamWithoutEventGetsStatus(t *testing.T) {
	const never = 3 * time.Second // longer than each subtest
	tests := map[string]struct {
		after     time.Duration
		isReset   bool
		timeLimit int
		end       bool
		want      int
	}{
		"replica closes the connection": {0, false, 5000, false, http.StatusBadGateway},
		"replica resets the connection": {50 * time.Millisecond, true, 5000, false, http.StatusBadGateway},
		"time limit":                    {never, false, 200, false, http.StatusGatewayTimeout},
		"end of the shutdown time":      {never, false, 5000, true, http.StatusBadGateway},
	}
	for name, tc := range tests {
		for _, path := range []string{"/stream/", "/resumable/"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				s, _ := startServer(t, serveEventless(t, tc.after, tc.isReset))
				c := dialCallers(t, s)
				if tc.end {
					time.AfterFunc(200*time.Millisecond, s.EndRequests)
				}
				a := c.ask(path, "a1", tc.timeLimit)
				if a.err != nil || a.status != tc.want || a.header.Get("Replica-Stamp") != "" || !strings.HasPrefix(a.body, `{"error":`) {
					t.Errorf("answer %d %q, stamp %q, error %v; want the host's own %d", a.status, a.body, a.header.Get("Replica-Stamp"), a.err, tc.want)
				}
				if a := c.ask("/", "a2", 200); !tc.end && a.err != nil {
					t.Errorf("the connection was closed: %v", a.err)
				}
			})
		}
	}
}

// Guards against a stream that has no event yet and whose replacement is judged as a continuation:
// the caller gets the whole response of the second replica, with its own head.
func TestStreamWithoutEventIsReplaced(t *testing.T) {
	const events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
	tests := map[string]struct {
		second string
		status int
		body   string
		stamp  string
	}{
		"a stream":          {secondAnswer("200 OK", "text/event-stream", "", events), http.StatusOK, events, "s"},
		"no stream":         {secondAnswer("200 OK", "application/json", "", "{}"), http.StatusOK, "{}", "s"},
		"an error":          {secondAnswer("500 Internal Server Error", "text/plain", "", "no memory left"), http.StatusInternalServerError, "no memory left", "s"},
		"an empty stream":   {secondAnswer("200 OK", "text/event-stream", "", ""), http.StatusOK, "", "s"},
		"nothing":           {"", http.StatusBadGateway, `{"error":`, ""},
		"a head and no end": {eventlessHead, http.StatusBadGateway, `{"error":`, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answers := make(chan string, 2)
			answers <- eventlessHead
			answers <- tc.second
			s, loop := startServer(t, serveInTurn(t, answers))
			addReplica(t, loop, "i-2", serveInTurn(t, answers))
			a := dialCallers(t, s).ask("/resumable/", "a1", 3000)
			if a.err != nil || a.status != tc.status || !strings.HasPrefix(a.body, tc.body) || a.header.Get("Replica-Stamp") != tc.stamp {
				t.Errorf("answer %d %q, stamp %q, error %v; want %d %q, stamp %q", a.status, a.body, a.header.Get("Replica-Stamp"), a.err, tc.status, tc.body, tc.stamp)
			}
			if len(answers) > 0 {
				t.Errorf("%d replicas not asked", len(answers))
			}
		})
	}
}

// callerConn is a caller's connection, which it keeps.
type callerConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialCallers(t *testing.T, s *Server) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp4", serveCallers(t, s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &callerConn{t, conn, bufio.NewReader(conn)}
}

// ask sends a request and returns the response.
func (c *callerConn) ask(path, id string, timeLimitMillis int) answer {
	c.t.Helper()
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second)) // a failure shows in the read
	fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 6\r\n\r\nprompt", path, id, timeLimitMillis)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body := new(strings.Builder)
	_, err = bufio.NewReader(resp.Body).WriteTo(body)
	return answer{status: resp.StatusCode, header: resp.Header, body: body.String(), err: err}
}
