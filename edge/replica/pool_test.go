package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/coord/verdict"
)

// rawServer is a TCP server that handles each connection with a function.
type rawServer struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

func serveRaw(t *testing.T, handle func(s *rawServer, c net.Conn, r *bufio.Reader)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &rawServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go func() {
				defer c.Close()
				handle(s, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// readRequest reads one request with its body and returns its attempt ID.
func (s *rawServer) readRequest(r *bufio.Reader) (string, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, q.Body)
	s.requests.Add(1)
	return q.Header.Get("Attempt-Id"), err == nil
}

func responseText(attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

func testPool(t *testing.T) *Pool {
	p := NewPool(Config{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, MaxReservationTTL: 20 * time.Second})
	t.Cleanup(p.Close)
	return p
}

func send(p *Pool, address, attempt, body string) (*Response, error) {
	return p.Do(context.Background(), Request{
		Address: address, Method: http.MethodPost, Target: "//odd/%2f?q=%20x", Host: "h.example",
		Headers: http.Header{"Attempt-Id": {attempt}}, Body: []byte(body), AttemptID: attempt,
	})
}

// sendAndRead sends a request and returns the response body.
func sendAndRead(t *testing.T, p *Pool, address, attempt string) string {
	t.Helper()
	resp, err := send(p, address, attempt, "")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func checkVerdict(t *testing.T, err error, want verdict.Verdict) {
	t.Helper()
	if err == nil || verdict.FromError(err) != want {
		t.Errorf("error %v, want one with the verdict %s", err, want)
	}
}

func TestNoAutomaticResend(t *testing.T) {
	// Guards against resending a request when a reused connection fails: a call would run twice.
	s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		attempt, ok := s.readRequest(r)
		if !ok {
			return
		}
		fmt.Fprint(c, responseText(attempt, "first"))
		s.readRequest(r) // and close
	})
	p := testPool(t)
	sendAndRead(t, p, s.address, "a1")
	_, err := send(p, s.address, "a2", "body")
	checkVerdict(t, err, verdict.MayHaveRun)
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d requests arrived, want 2", n)
	}
}

func TestTargetIsUnchanged(t *testing.T) {
	// Guards against a library that normalizes, decodes or completes the path.
	line := make(chan string, 1)
	s := serveRaw(t, func(_ *rawServer, c net.Conn, r *bufio.Reader) {
		text, _ := r.ReadString('\n') // after an error, the comparison below fails
		line <- strings.TrimSpace(text)
		fmt.Fprint(c, responseText("a1", ""))
	})
	sendAndRead(t, testPool(t), s.address, "a1")
	if got, want := <-line, "POST //odd/%2f?q=%20x HTTP/1.1"; got != want {
		t.Errorf("request line %q, want %q", got, want)
	}
}

func TestResponseWithoutLength(t *testing.T) {
	read := func(t *testing.T, reset bool) error {
		s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
			attempt, _ := s.readRequest(r)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n\r\nhalf of it", attempt)
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0) // the read below shows whether this worked
			}
		})
		resp, err := send(testPool(t), s.address, "a1", "")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Close()
		_, err = io.ReadAll(resp)
		return err
	}
	t.Run("ends with its connection", func(t *testing.T) {
		if err := read(t, false); err != nil {
			t.Errorf("reading a complete response failed: %v", err)
		}
	})
	t.Run("reset", func(t *testing.T) {
		// Guards against treating a truncated response as complete.
		if err := read(t, true); err == nil {
			t.Error("a response cut by a reset was read without an error")
		}
	})
}

func TestEarlyResponseToLongBody(t *testing.T) {
	early := func(t *testing.T, readOn bool) (*Response, error) {
		s := serveRaw(t, func(_ *rawServer, c net.Conn, r *bufio.Reader) {
			_, _ = r.ReadString('\n') // the rest of the request is not read yet
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			if readOn {
				_, _ = io.Copy(io.Discard, r) // ends with the connection
			}
		})
		return send(testPool(t), s.address, "a1", strings.Repeat("x", 8<<20))
	}
	t.Run("the replica reads on", func(t *testing.T) {
		// Guards against losing a rejection that arrives before the body has been written.
		resp, err := early(t, true)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Close()
		if !resp.Info.NotRun {
			t.Errorf("response with status %d lacks the rejection", resp.Status)
		}
	})
	t.Run("the replica closes", func(t *testing.T) {
		// Guards against the verdict "not run" for a request whose rejection was not read.
		resp, err := early(t, false)
		if err != nil {
			checkVerdict(t, err, verdict.MayHaveRun)
			return
		}
		defer resp.Close()
		if !resp.Info.NotRun {
			t.Errorf("response with status %d lacks the rejection", resp.Status)
		}
	})
}

func TestExtraResponse(t *testing.T) {
	t.Run("before the next request", func(t *testing.T) {
		// Guards against treating bytes after a complete response as the next response.
		s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
			for {
				attempt, ok := s.readRequest(r)
				if !ok {
					return
				}
				fmt.Fprint(c, responseText(attempt, "good")+responseText(attempt, "extra"))
			}
		})
		p := testPool(t)
		for i := range 3 {
			if got := sendAndRead(t, p, s.address, fmt.Sprintf("a%d", i)); got != "good" {
				t.Errorf("response %q, want the first one, \"good\"", got)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if n := s.connections.Load(); n != 3 {
			t.Errorf("%d connections, want a new one after each extra response", n)
		}
	})
	t.Run("after the next request", func(t *testing.T) {
		// Guards against passing a late extra response to the next request.
		s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
			first, _ := s.readRequest(r)
			fmt.Fprint(c, responseText(first, "good"))
			second, ok := s.readRequest(r)
			if ok {
				fmt.Fprint(c, responseText(first, "late extra")+responseText(second, "own"))
			}
		})
		p := testPool(t)
		sendAndRead(t, p, s.address, "a1")
		if got := sendAndRead(t, p, s.address, "a2"); got != "own" {
			t.Errorf("response %q, want the one to this request, \"own\"", got)
		}
	})
}

func TestCloseInsideEvent(t *testing.T) {
	// Guards against treating a chunked stream without its last chunk as complete.
	s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		attempt, _ := s.readRequest(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n", attempt)
	})
	resp, err := send(testPool(t), s.address, "a1", "")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if _, err := io.ReadAll(resp); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want io.ErrUnexpectedEOF", err)
	}
}

func TestClosedIdleConnection(t *testing.T) {
	// Guards against sending a request on a connection that the replica has closed.
	closed := make(chan struct{}, 8)
	s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		attempt, _ := s.readRequest(r)
		fmt.Fprint(c, responseText(attempt, "ok"))
		c.Close()
		closed <- struct{}{}
	})
	p := testPool(t)
	for i := range 3 {
		sendAndRead(t, p, s.address, fmt.Sprintf("a%d", i))
		<-closed
		time.Sleep(10 * time.Millisecond)
	}
	if n := s.requests.Load(); n != 3 {
		t.Errorf("%d requests arrived, want 3", n)
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	// Guards against a replica that continues to work for a caller that has disconnected.
	ended := make(chan struct{})
	s := serveRaw(t, func(s *rawServer, _ net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		_, _ = r.ReadByte() // returns when the connection is closed
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := testPool(t).Do(ctx, Request{Address: s.address, Method: http.MethodGet, Target: "/", Host: "h", Headers: http.Header{}})
	checkVerdict(t, err, verdict.MayHaveRun)
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Error("the connection to the replica is still open")
	}
}

func TestUnreachableReplicaHasNotRun(t *testing.T) {
	// Guards against a refused connection that is counted as a possible run.
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = send(testPool(t), address, "a1", "")
	checkVerdict(t, err, verdict.NotRun)
}

// Guards against a new connection for each call that must run at most once, because an
// announced timeout made connections look as if they had been idle for long.
func TestReuseAfterAnnouncedTimeout(t *testing.T) {
	s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		for attempt, ok := s.readRequest(r); ok; attempt, ok = s.readRequest(r) {
			fmt.Fprint(c, strings.Replace(responseText(attempt, "ok"), "\r\n", "\r\nKeep-Alive: timeout=5\r\n", 1))
		}
	})
	p := testPool(t)
	for i := range 3 {
		attempt := fmt.Sprintf("a%d", i)
		resp, err := p.Do(t.Context(), Request{Address: s.address, Method: http.MethodPost, Target: "/", Host: "h", Headers: http.Header{"Attempt-Id": {attempt}}, AttemptID: attempt, AtMostOnce: true})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp); err != nil {
			t.Fatal(err)
		}
		resp.Close()
	}
	if n := s.connections.Load(); n != 1 {
		t.Errorf("%d connections for 3 calls in a row, want 1", n)
	}
}
