package replica

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// turnAway is what a replica does with connections beyond its limit.
type turnAway string

const (
	// closePort means that the replica does not listen, so that its system refuses connections.
	closePort turnAway = "close the port"
	// resetAccepted means that it accepts the connection and resets it at once, resetLate that it
	// does so after the request has arrived.
	resetAccepted turnAway = "reset"
	resetLate     turnAway = "reset late"
)

// limitedServer is a replica with a limit of connections.
type limitedServer struct {
	t       *testing.T
	address string
	limit   atomic.Int64
	how     turnAway
	handle  func(c net.Conn, r *bufio.Reader)

	open, most, turnedAway, accepted atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
	isClosed bool
	// isFull is set while the port is closed because of the limit.
	isFull bool
}

func serveLimited(t *testing.T, limit int64, how turnAway, handle func(c net.Conn, r *bufio.Reader)) *limitedServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limitedServer{t: t, address: l.Addr().String(), how: how, handle: handle, listener: l}
	s.limit.Store(limit)
	t.Cleanup(s.end)
	go s.accept(l)
	return s
}

// end ends the process of the replica.
func (s *limitedServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	s.listener.Close()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *limitedServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if s.open.Load() >= s.limit.Load() {
			s.turnedAway.Add(1)
			go func() {
				if s.how == resetLate {
					_, _ = http.ReadRequest(bufio.NewReader(c))
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}()
			continue
		}
		s.accepted.Add(1)
		s.most.Store(max(s.most.Load(), s.open.Add(1)))
		s.mu.Lock()
		s.conns = append(s.conns, c)
		if s.how == closePort && s.open.Load() >= s.limit.Load() {
			s.isFull = true
			l.Close()
		}
		s.mu.Unlock()
		go func() {
			s.handle(c, bufio.NewReader(c))
			c.Close()
			s.open.Add(-1)
			s.listenAgain()
		}()
	}
}

// listenAgain opens the port again once a connection has ended.
func (s *limitedServer) listenAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.how != closePort || s.isClosed || !s.isFull || s.open.Load() >= s.limit.Load() {
		return
	}
	s.isFull = false
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		s.t.Errorf("listen again: %v", err)
		return
	}
	s.listener = l
	go s.accept(l)
}

// answerAfter answers each request on a connection after the given time.
func answerAfter(d time.Duration) func(c net.Conn, r *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			time.Sleep(d)
			if _, err := io.WriteString(c, responseText(q.Header.Get("Attempt-Id"), "ok")); err != nil {
				return
			}
		}
	}
}

// stream sends a head at once and then events, silent for long before the first one.
func stream(first, gap time.Duration, events int) func(c net.Conn, r *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n", q.Header.Get("Attempt-Id"), events)
			for i := range events {
				if i == 0 {
					time.Sleep(first)
				} else {
					time.Sleep(gap)
				}
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
			}
		}
	}
}
