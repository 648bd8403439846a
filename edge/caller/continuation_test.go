package caller

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/coord/responsehead/headtest"
)

const (
	firstOfTwo  = "id: 1\ndata: one\n\n"
	secondOfTwo = "id: 2\ndata: two\n\n"
)

// breakStream sends the head of a stream and its first event, and resets the connection.
func breakStream(c net.Conn) {
	fmt.Fprintf(c, "%s%x\r\n%s\r\n", eventlessHead, len(firstOfTwo), firstOfTwo)
	time.Sleep(20 * time.Millisecond) // the reset would discard what is still in transit
	_ = c.(*net.TCPConn).SetLinger(0)
}

// goOn answers with the second event and the end of a stream.
func goOn(c net.Conn, q *http.Request) {
	if q.Header.Get("Last-Event-Id") != "1" {
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: second\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", q.Header.Get("Attempt-Id"), len(secondOfTwo), secondOfTwo)
}

// serveStreams starts a replica that handles each connection with one request.
func serveStreams(t *testing.T, handle func(c net.Conn, q *http.Request)) string {
	t.Helper()
	return headtest.Listen(t, func(c net.Conn) {
		if q, _, err := headtest.ReadRequest(bufio.NewReader(c)); err == nil {
			handle(c, q)
		}
	})
}

// serveOneStream starts a replica that breaks a stream off and ends.
func serveOneStream(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		l.Close()
		if err != nil {
			return
		}
		defer c.Close()
		if _, _, err := headtest.ReadRequest(bufio.NewReader(c)); err == nil {
			breakStream(c)
		}
	}()
	return l.Addr().String()
}

// serveOneConnection starts a replica that accepts one connection at a time and refuses others. A
// call takes the given time.
func serveOneConnection(t *testing.T, callTime time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for l != nil {
			c, err := l.Accept()
			l.Close()
			if err != nil {
				return
			}
			serveCallsAndStreams(c, callTime)
			select {
			case <-ended:
				return
			default:
			}
			if l, err = net.Listen("tcp4", address); err != nil {
				t.Errorf("listen again: %v", err)
				return
			}
			listening := l
			go func() {
				<-ended
				listening.Close()
			}()
		}
	}()
	return address
}

func serveCallsAndStreams(c net.Conn, callTime time.Duration) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		q, _, err := headtest.ReadRequest(reader)
		if err != nil {
			return
		}
		if q.URL.Path == "/resumable/" {
			goOn(c, q)
			continue
		}
		time.Sleep(callTime)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: s\r\nContent-Length: 2\r\n\r\nok", q.Header.Get("Attempt-Id")); err != nil {
			return
		}
	}
}

// Guards against streams that end in the middle because their replica has broken off and the next
// one is not ready at once, although their callers would wait longer (LOST).
func TestBrokenStreamWaitsForReplica(t *testing.T) {
	wantWhole := func(t *testing.T, a answer) {
		t.Helper()
		if a.err != nil || a.status != http.StatusOK || a.body != firstOfTwo+secondOfTwo || a.header.Get("Replica-Stamp") != "first" {
			t.Errorf("answer %d %q, stamp %q, error %v; want both events", a.status, a.body, a.header.Get("Replica-Stamp"), a.err)
		}
	}
	t.Run("for a connection", func(t *testing.T) {
		t.Parallel()
		const callTime = 800 * time.Millisecond
		s, loop := startServer(t, serveOneConnection(t, callTime))
		front := serveCallers(t, s)
		for range 2 { // the second one tells how long a call takes
			go func() { _ = ask(t, "http://"+front, "/", "call", "x") }()
			time.Sleep(100 * time.Millisecond)
		}
		addReplica(t, loop, "i-2", serveOneStream(t))
		wantWhole(t, dialCallers(t, s).ask("/resumable/", "a1", 4000))
	})
	t.Run("for a replica", func(t *testing.T) {
		t.Parallel()
		s, loop := startServer(t, serveOneStream(t))
		second := serveStreams(t, goOn)
		time.AfterFunc(700*time.Millisecond, func() { addReplica(t, loop, "i-2", second) })
		wantWhole(t, dialCallers(t, s).ask("/resumable/", "a1", 4000))
	})
	t.Run("for the same replica", func(t *testing.T) {
		t.Parallel()
		var count atomic.Int64
		s, _ := startServer(t, serveStreams(t, func(c net.Conn, q *http.Request) {
			if count.Add(1) == 1 {
				breakStream(c)
				return
			}
			goOn(c, q)
		}))
		wantWhole(t, dialCallers(t, s).ask("/resumable/", "a1", 4000))
	})
}

// Guards against a broken stream that is held until its time limit although its caller has given up
// on it: after four times the objective of 1 s.
func TestBrokenStreamGivesUp(t *testing.T) {
	t.Parallel()
	s, _ := startServer(t, serveOneStream(t))
	started := time.Now()
	a := dialCallers(t, s).ask("/resumable/", "a1", 9000)
	if a.err == nil || a.body != firstOfTwo {
		t.Errorf("answer %d %q, error %v; want one event and a broken stream", a.status, a.body, a.err)
	}
	if d := time.Since(started); d > 4*time.Second {
		t.Errorf("the stream was held for %s, want at most 4s", d)
	}
}
