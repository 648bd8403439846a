package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pausingListener accepts connections that pause after a read has returned data and
// before the caller of Read sees it, while pause is set.
type pausingListener struct {
	net.Listener
	pause atomic.Bool
	// hasRead is sent to at the start of a pause, which ends with a receive from resume.
	hasRead, resume chan struct{}
}

func newPausingListener(t *testing.T) *pausingListener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &pausingListener{Listener: l, hasRead: make(chan struct{}), resume: make(chan struct{})}
}

func (l *pausingListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{TCPConn: n.(*net.TCPConn), listener: l}, nil
}

type pausingConn struct {
	*net.TCPConn
	listener *pausingListener
}

func (c *pausingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.listener.pause.Load() {
		c.listener.hasRead <- struct{}{}
		<-c.listener.resume
	}
	return n, err
}

// shutDown starts a shutdown and returns a channel for its result.
func (s *testServer) shutDown(ctx context.Context) <-chan error {
	result := make(chan error, 1)
	go func() { result <- s.server.Shutdown(ctx) }()
	return result
}

// Guards against a shutdown that closes a connection as unused after the server has read a
// request from it. The request was passed on and its caller got no response.
func TestShutdownBetweenReadAndUseOfRequest(t *testing.T) {
	tests := map[string]struct {
		before string
		// timeout limits the shutdown.
		timeout time.Duration
	}{
		"kept connection":                        {getRequest("/0"), 5 * time.Second},
		"new connection":                         {"", 5 * time.Second},
		"kept connection, shutdown time is over": {getRequest("/0"), 50 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := newPausingListener(t)
			s := startServerOn(t, l)
			s.timeouts.Store(&Timeouts{Header: 3 * time.Second, Idle: 3 * time.Second})
			c := s.dial()
			if tc.before != "" {
				c.send(tc.before)
				c.expectResponse(200, "/0")
			}
			time.Sleep(unusedConnectionGrace + 50*time.Millisecond)
			l.pause.Store(true)
			c.send(getRequest("/1"))
			<-l.hasRead
			l.pause.Store(false)
			ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
			defer cancel()
			result := s.shutDown(ctx)
			time.Sleep(100 * time.Millisecond) // many polls of the shutdown
			l.resume <- struct{}{}
			c.expectResponse(200, "/1")
			<-result
		})
	}
}

// Guards against a shutdown that closes a connection right after a response that did not
// announce it. The caller's next request may be on its way.
func TestShutdownLeavesTimeForNextRequest(t *testing.T) {
	s := startServer(t)
	s.timeouts.Store(&Timeouts{Header: 3 * time.Second, Idle: 3 * time.Second})
	c := s.dial()
	time.Sleep(2 * unusedConnectionGrace)
	c.send(getRequest("/1"))
	c.expectResponse(200, "/1")
	result := s.shutDown(t.Context())
	time.Sleep(unusedConnectionGrace / 2)
	c.send(getRequest("/2"))
	c.expectResponse(200, "/2")
	if took := c.waitClosed(); took > unusedConnectionGrace {
		t.Errorf("the connection was closed %v after a response that announced it", took)
	}
	if err := <-result; err != nil {
		t.Errorf("Shutdown = %v", err)
	}
}

// Guards against closing a connection at its idle timeout although a request has arrived.
// The deadline of a read passes without a look at the socket if the process could not run.
func TestRequestAtIdleTimeout(t *testing.T) {
	tests := map[string][]time.Duration{
		"read starts late":              {600 * time.Millisecond},
		"read and last read start late": {600 * time.Millisecond, 5 * time.Millisecond},
	}
	for name, delays := range tests {
		t.Run(name, func(t *testing.T) {
			l := &lateListener{Listener: newPausingListener(t).Listener}
			s := startServerOn(t, l)
			s.timeouts.Store(&Timeouts{Header: 3 * time.Second, Idle: 400 * time.Millisecond})
			c := s.dial()
			c.send(getRequest("/1"))
			c.expectResponse(200, "/1")
			l.setDelays(delays)
			c.send(getRequest("/2")) // ends the read that has already started
			c.expectResponse(200, "/2")
			time.Sleep(100 * time.Millisecond)
			c.send(getRequest("/3"))
			c.expectResponse(200, "/3")
		})
	}
}

// lateListener accepts connections whose next reads for a request start late.
type lateListener struct {
	net.Listener
	mu     sync.Mutex
	delays []time.Duration
}

func (l *lateListener) setDelays(delays []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays = delays
}

// nextDelay removes and returns the first delay, or 0.
func (l *lateListener) nextDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.delays) == 0 {
		return 0
	}
	delay := l.delays[0]
	l.delays = l.delays[1:]
	return delay
}

func (l *lateListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: n.(*net.TCPConn), listener: l}, nil
}

type lateConn struct {
	*net.TCPConn
	listener *lateListener
}

func (c *lateConn) Read(p []byte) (int, error) {
	if len(p) > 1 { // net/http reads a single byte to notice a caller that disconnects
		time.Sleep(c.listener.nextDelay())
	}
	return c.TCPConn.Read(p)
}

// Guards against requests that reach the handler and get no response. Each connection sends
// one request; together they arrive around the moment at which unused connections are closed.
func TestShutdownAnswersEveryHandledRequest(t *testing.T) {
	const (
		rounds      = 8
		connections = 400
		window      = 30 * time.Millisecond
	)
	total := int64(0)
	for round := range rounds {
		var mu sync.Mutex
		handled := map[string]bool{}
		l := newPausingListener(t).Listener
		server := New(Config{
			Timeouts: func() Timeouts { return Timeouts{Header: 3 * time.Second, Idle: 3 * time.Second} },
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				handled[r.URL.Path] = true
				mu.Unlock()
				fmt.Fprint(w, r.URL.Path)
			}),
		})
		go func() { _ = server.Serve(l) }() // ends with the shutdown
		conns := make([]net.Conn, connections)
		for i := range conns {
			n, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			conns[i] = n
		}
		time.Sleep(unusedConnectionGrace - window/2)
		shutdownAt := time.Now().Add(window / 2)
		var callers sync.WaitGroup
		var answered atomic.Int64
		for i, n := range conns {
			callers.Go(func() {
				path := fmt.Sprintf("/%d", i)
				time.Sleep(time.Until(shutdownAt.Add(window*time.Duration(2*i-connections)/(2*connections) + window/2)))
				if isAnswered(n, path) {
					answered.Add(1)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if handled[path] {
					t.Errorf("round %d: %s was handled and got no response", round, path)
				}
			})
		}
		time.Sleep(time.Until(shutdownAt))
		if err := server.Shutdown(t.Context()); err != nil {
			t.Errorf("Shutdown = %v", err)
		}
		callers.Wait()
		t.Logf("round %d: %d of %d requests answered", round, answered.Load(), connections)
		total += answered.Load()
	}
	if total == 0 || total == rounds*connections {
		t.Error("the requests did not arrive around the moment at which connections are closed")
	}
}

// isAnswered sends a request and reports whether it got its complete response.
func isAnswered(n net.Conn, path string) bool {
	_ = n.SetDeadline(time.Now().Add(5 * time.Second)) // a closed connection fails the read below
	if _, err := io.WriteString(n, getRequest(path)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == path
}
