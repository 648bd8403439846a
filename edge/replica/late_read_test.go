package replica

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// lateConn is a connection of a process that is held up as soon as it has set a read deadline. When it
// goes on, the deadline has passed, and the peer has written the rest meanwhile.
type lateConn struct {
	*net.TCPConn
	peer net.Conn
	rest string
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.TCPConn.SetReadDeadline(t)
	}
	if _, err := io.WriteString(c.peer, c.rest); err != nil {
		return err
	}
	for until := time.Now().Add(time.Second); c.rest != "" && time.Now().Before(until); time.Sleep(time.Millisecond) {
		if _, hasUnread := (&conn{Conn: c.TCPConn}).link(); hasUnread {
			break
		}
	}
	c.rest = ""
	return c.TCPConn.SetReadDeadline(time.Now().Add(-time.Second))
}

// newLateConn returns a connection on which first has arrived.
func newLateConn(t *testing.T, first, rest string) *conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close(); peer.Close() })
	if _, err := io.WriteString(peer, first); err != nil {
		t.Fatal(err)
	}
	return newConn(&lateConn{TCPConn: n.(*net.TCPConn), peer: peer, rest: rest}, "replica")
}

// Guards against a response that arrived in time and was lost because this host was held up: a refusal
// that says that the request has not run became a broken response, which may have run.
func TestResponseReadAfterItsDeadline(t *testing.T) {
	own := refusal("own")
	earlier := responseText("earlier", "good")
	for name, c := range map[string]struct {
		first, rest string
		reused      bool
		deadline    time.Time
	}{
		"early response":              {rest: own, deadline: time.Now().Add(earlyResponseTimeout)},
		"rest of a head":              {first: own[:12], rest: own[12:]},
		"rest of an earlier response": {first: earlier[:len(earlier)-2], rest: earlier[len(earlier)-2:] + own, reused: true},
	} {
		t.Run(name, func(t *testing.T) {
			conn := newLateConn(t, c.first, c.rest)
			conn.reused = c.reused
			resp, err := readOwnHead(conn, &http.Request{Method: http.MethodPost}, "own", c.deadline)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("status %d, want that of the refusal", resp.StatusCode)
			}
		})
	}
}

// Guards against a wait beyond the deadline for a response that has not arrived.
func TestDeadlineWithoutResponse(t *testing.T) {
	for name, first := range map[string]string{"nothing": "", "a part of the head": refusal("own")[:12]} {
		t.Run(name, func(t *testing.T) {
			conn := newLateConn(t, first, "")
			began := time.Now()
			resp, err := readOwnHead(conn, &http.Request{Method: http.MethodPost}, "own", began.Add(earlyResponseTimeout))
			if err == nil {
				resp.Body.Close()
			}
			if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("error %v, want that of the deadline", err)
			}
			if d := time.Since(began); d > earlyResponseTimeout {
				t.Errorf("took %s after the deadline", d)
			}
		})
	}
}

// Guards against a head that a replica sends on without end after the deadline.
func TestEndlessHeadAfterDeadline(t *testing.T) {
	conn := newLateConn(t, "", refusal("own")[:12]+strings.Repeat("x", 2*maxHeadBytes))
	if resp, err := readOwnHead(conn, &http.Request{Method: http.MethodPost}, "own", time.Now().Add(earlyResponseTimeout)); err == nil {
		resp.Body.Close()
		t.Error("the head was accepted")
	}
}
