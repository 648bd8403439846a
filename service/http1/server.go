// Package http1 serves HTTP/1.1 to callers whose bytes are not trusted. It adds
// to net/http what that leaves out: an answer to bytes that are no request, an
// answer when a header does not come in time, limits that follow a changing
// configuration, and an end of connections that does not take the answer from a
// caller that is still writing.
package http1

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Timeouts bound how long a caller may take.
type Timeouts struct {
	// Header is the time from the first byte of a request to the end of its header.
	Header time.Duration
	// Idle is the time of a connection without a request.
	Idle time.Duration
}

// Rejection is an answer given before the handler saw a request.
type Rejection struct {
	// CallerAddress is the address of the caller.
	CallerAddress string
	Status        int
}

// Config holds what a server needs.
type Config struct {
	Handler        http.Handler
	MaxHeaderBytes int
	// Timeouts returns the limits in force. It is called for each request and
	// must not block.
	Timeouts func() Timeouts
	// OnReject is told of requests that the handler never saw; nil is nobody.
	OnReject func(Rejection)
	ErrorLog *log.Logger
	// TLS makes ServeTLS of Serve. net/http must see a TLS connection itself, so
	// only its own checks apply to it.
	TLS *tls.Config
}

// Server is an HTTP server; it is safe for concurrent use.
type Server struct {
	config Config
	http   *http.Server

	mu        sync.Mutex
	closing   bool
	listeners []net.Listener
	open      map[*conn]bool
	// accepting counts the loops that may hold a connection that is not in open yet.
	accepting sync.WaitGroup
}

type connKey struct{}

// New returns a server that does not listen yet.
func New(c Config) *Server {
	if c.OnReject == nil {
		c.OnReject = func(Rejection) {}
	}
	s := &Server{config: c, open: map[*conn]bool{}}
	limits := c.Timeouts()
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: c.MaxHeaderBytes, ErrorLog: c.ErrorLog, TLSConfig: c.TLS,
		ReadHeaderTimeout: limits.Header, IdleTimeout: limits.Idle,
		ConnState: func(n net.Conn, state http.ConnState) {
			if cn, ok := n.(*conn); ok {
				cn.enter(state)
			}
		},
		ConnContext: func(ctx context.Context, n net.Conn) context.Context { return context.WithValue(ctx, connKey{}, n) },
	}
	return s
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if cn, ok := r.Context().Value(connKey{}).(*conn); ok {
		cn.handled.Store(true)
	}
	s.config.Handler.ServeHTTP(w, r)
}

// Serve accepts connections until Shutdown or Close and returns
// http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	if !s.begin(l) {
		_ = l.Close() // nothing was accepted
		return http.ErrServerClosed
	}
	defer s.accepting.Done()
	var err error
	if s.config.TLS != nil {
		err = s.http.ServeTLS(l, "", "")
	} else {
		err = s.http.Serve(listener{l, s})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

func (s *Server) begin(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.accepting.Add(1)
	return true
}

const (
	// newConnection is the time that a connection without a request has to send
	// one once the server shuts down: a caller sends at once after it connects.
	newConnection = 250 * time.Millisecond
	shutdownPoll  = 5 * time.Millisecond
)

// Shutdown stops accepting and waits for running requests until the context
// ends. What a caller has begun to send is answered; net/http's own Shutdown
// reads it and closes the connection.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for _, l := range s.listeners {
		_ = l.Close() // net/http closes it once more
	}
	s.mu.Unlock()
	s.accepting.Wait()
	s.http.SetKeepAlivesEnabled(false)
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for !s.quiet(time.Now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// quiet closes connections without a request and reports whether none is left.
func (s *Server) quiet(now time.Time) bool {
	s.mu.Lock()
	var unused []*conn
	for c := range s.open {
		if !c.busy.Load() && now.Sub(c.accepted) > newConnection {
			unused = append(unused, c)
		}
	}
	s.mu.Unlock()
	for _, c := range unused {
		_ = c.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open) == 0
}

func (s *Server) track(c *conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.open[c] = true
	} else {
		delete(s.open, c)
	}
}

// Close ends all connections at once.
func (s *Server) Close() error { return s.http.Close() }

type listener struct {
	net.Listener
	server *Server
}

func (l listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n, server: l.server, accepted: time.Now()}
	c.waiting.Store(true)
	l.server.track(c, true)
	return c, nil
}

// conn watches what a caller sends outside of requests that the handler has.
// net/http reads and writes it from one goroutine at a time; the atomic fields
// are also read from others.
type conn struct {
	net.Conn
	server *Server
	// waiting is set until the header of the next request is complete.
	waiting atomic.Bool
	// handled is set when the handler has the request.
	handled atomic.Bool
	// answered is set once a rejection was reported or written.
	answered atomic.Bool
	ending   atomic.Bool
	// busy is set from the first byte of a request to the end of its answer.
	busy     atomic.Bool
	accepted time.Time
	// received counts the bytes of the request that is awaited, method those of
	// its method.
	received  int
	method    int
	methodEnd bool
	// later is set after the first request: its first byte may have been read
	// while the last one was served.
	later bool
	// headerEnd is when the header must be complete.
	headerEnd time.Time
}

// enter follows net/http's states: active begins when a header has been read,
// also a bad one.
func (c *conn) enter(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.waiting.Store(false)
		c.busy.Store(true) // its bytes may have come with the request before
	case http.StateIdle:
		c.handled.Store(false)
		c.received, c.method, c.methodEnd, c.later = 0, 0, false, true
		c.headerEnd = time.Time{}
		c.waiting.Store(true)
		c.busy.Store(false)
	}
}

// Read passes on what the caller sends while it can be a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.waiting.Load() {
		return n, err
	}
	if n > 0 {
		if c.received == 0 {
			c.busy.Store(true)
			c.headerEnd = time.Now().Add(c.server.config.Timeouts().Header)
			_ = c.Conn.SetReadDeadline(c.headerEnd) // a closed connection fails the next read
		}
		c.received += n
		if !c.plausible(p[:n]) {
			return 0, c.reject(http.StatusBadRequest)
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.received > 0 {
		return 0, c.reject(http.StatusRequestTimeout)
	}
	return n, err
}

// SetReadDeadline keeps to the limits in force while a request is awaited.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.waiting.Load() && !t.IsZero() {
		if t = c.headerEnd; t.IsZero() {
			t = time.Now().Add(c.server.config.Timeouts().Idle)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Write reports answers that net/http gives by itself.
func (c *conn) Write(p []byte) (int, error) {
	if !c.handled.Load() && c.answered.CompareAndSwap(false, true) {
		c.server.config.OnReject(Rejection{CallerAddress: c.RemoteAddr().String(), Status: statusOf(p)})
	}
	return c.Conn.Write(p)
}
