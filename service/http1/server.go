// Package http1 serves HTTP/1.1 to untrusted callers. It extends net/http: it responds
// with status 400 to bytes that cannot be a request and with 408 to a header that
// does not arrive in time, applies timeouts that can change while the server runs,
// and closes connections without losing the response to a caller that is still
// sending.
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

// Timeouts limits how long a caller may take.
type Timeouts struct {
	// Header limits the time from the first byte of a request to the end of its
	// header.
	Header time.Duration
	// Idle limits how long a connection stays open without a request.
	Idle time.Duration
}

// Rejection describes a response that was sent without calling the handler.
type Rejection struct {
	CallerAddress string
	Status        int
}

// Config configures a server.
type Config struct {
	Handler        http.Handler
	MaxHeaderBytes int
	// Timeouts returns the current timeouts. It is called at least once for each
	// request and must not block.
	Timeouts func() Timeouts
	// OnReject is called for each response that was sent without calling the
	// handler. It may be nil.
	OnReject func(Rejection)
	ErrorLog *log.Logger
	// TLS makes Serve accept TLS connections if it is set. net/http has to handle
	// TLS connections directly, so the additions of this package do not apply to
	// them: they keep the timeouts that were current at the call of New, and OnReject
	// is not called for them.
	TLS *tls.Config
}

// Server is an HTTP server. It is safe for concurrent use.
type Server struct {
	config     Config
	httpServer *http.Server

	mu        sync.Mutex
	isClosing bool
	listeners []net.Listener
	conns     map[*conn]bool
	// acceptLoops counts the running accept loops. Each may have accepted a
	// connection that is not in conns yet.
	acceptLoops sync.WaitGroup
}

type connKey struct{}

// New returns a server that does not accept connections yet.
func New(c Config) *Server {
	if c.OnReject == nil {
		c.OnReject = func(Rejection) {}
	}
	s := &Server{config: c, conns: map[*conn]bool{}}
	timeouts := c.Timeouts()
	s.httpServer = &http.Server{
		Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: c.MaxHeaderBytes, ErrorLog: c.ErrorLog, TLSConfig: c.TLS,
		ReadHeaderTimeout: timeouts.Header, IdleTimeout: timeouts.Idle,
		ConnState: func(n net.Conn, state http.ConnState) {
			if cn, ok := n.(*conn); ok {
				cn.updateState(state)
			}
		},
		ConnContext: func(ctx context.Context, n net.Conn) context.Context { return context.WithValue(ctx, connKey{}, n) },
	}
	return s
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if cn, ok := r.Context().Value(connKey{}).(*conn); ok {
		cn.isHandled.Store(true)
	}
	s.config.Handler.ServeHTTP(w, r)
}

// ClosedByServer reports whether the server closed the connection of a request before its
// handler returned. ctx is the context of the request. Such a request ends in the same
// way as one whose caller has disconnected.
func ClosedByServer(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.isClosed.Load()
}

// Serve accepts connections until Shutdown or Close is called, and then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close() // no connection was accepted
		return http.ErrServerClosed
	}
	defer s.acceptLoops.Done()
	var err error
	if s.config.TLS != nil {
		err = s.httpServer.ServeTLS(l, "", "")
	} else {
		err = s.httpServer.Serve(trackingListener{l, s})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// addListener registers a listener and its accept loop. It returns false if the server
// is shutting down.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.acceptLoops.Add(1)
	return true
}

const (
	// newConnectionGrace is the minimum age of a connection without a request before
	// a shutdown closes it. Callers send a request right after they connect.
	newConnectionGrace   = 250 * time.Millisecond
	shutdownPollInterval = 5 * time.Millisecond
)

// Shutdown stops accepting connections and waits for running requests until ctx is
// done. A request of which the server has read the first byte still gets a response,
// whereas the Shutdown of net/http reads it and closes the connection.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.isClosing = true
	for _, l := range s.listeners {
		_ = l.Close() // net/http closes it again
	}
	s.mu.Unlock()
	s.acceptLoops.Wait()
	s.httpServer.SetKeepAlivesEnabled(false)
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for !s.closeUnusedConns(time.Now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	if err := s.httpServer.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// closeUnusedConns closes the connections without a request that are older than
// newConnectionGrace, and reports whether no tracked connection is left.
func (s *Server) closeUnusedConns(now time.Time) bool {
	s.mu.Lock()
	var unused []*conn
	for c := range s.conns {
		if !c.isBusy.Load() && now.Sub(c.acceptedAt) > newConnectionGrace {
			unused = append(unused, c)
		}
	}
	s.mu.Unlock()
	for _, c := range unused {
		_ = c.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

func (s *Server) track(c *conn, isOpen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isOpen {
		s.conns[c] = true
	} else {
		delete(s.conns, c)
	}
}

// Close closes the listeners and all connections immediately, except those that
// are being drained.
func (s *Server) Close() error { return s.httpServer.Close() }

// trackingListener registers each accepted connection with the server.
type trackingListener struct {
	net.Listener
	server *Server
}

func (l trackingListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n, server: l.server, acceptedAt: time.Now()}
	c.awaitsHeader.Store(true)
	l.server.track(c, true)
	return c, nil
}

// conn inspects the bytes of a request before net/http passes the request to the
// handler. net/http uses the fields that are not atomic from one goroutine at a time.
// Other goroutines access only the atomic fields and acceptedAt, which does not change.
type conn struct {
	net.Conn
	server *Server
	// awaitsHeader is true until the header of the next request is complete.
	awaitsHeader atomic.Bool
	// isHandled is true from the call of the handler until the connection is idle.
	isHandled atomic.Bool
	// isRejected is true once a rejection was reported or sent.
	isRejected atomic.Bool
	// isDraining is true once the write side was closed; see CloseWrite.
	isDraining atomic.Bool
	// isClosed is true once the server has called Close.
	isClosed atomic.Bool
	// isBusy is true from the first byte of a request to the end of its response.
	isBusy     atomic.Bool
	acceptedAt time.Time
	// receivedBytes counts the bytes of the awaited request, and methodBytes those of
	// its method.
	receivedBytes    int
	methodBytes      int
	isMethodComplete bool
	// endsHeader is true if the bytes read last end with an empty line, the end of a
	// header.
	endsHeader bool
	// mayStartInside is true if the first bytes of the awaited request may have been read
	// together with the previous request.
	mayStartInside bool
	// headerDeadline is the time by which the header must be complete.
	headerDeadline time.Time
}

// updateState is called when net/http changes the state of the connection. The state
// becomes active when a header, even an invalid one, has been read.
func (c *conn) updateState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.awaitsHeader.Store(false)
		c.isBusy.Store(true) // its bytes may have been read together with the previous request
	case http.StateIdle:
		c.isHandled.Store(false)
		c.receivedBytes, c.methodBytes, c.isMethodComplete = 0, 0, false
		c.mayStartInside = !c.endsHeader
		c.headerDeadline = time.Time{}
		c.awaitsHeader.Store(true)
		c.isBusy.Store(false)
	}
}

// Read rejects bytes that cannot be part of a request, and headers that are not
// complete in time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.endsHeader = endsWithEmptyLine(p[:n])
	}
	if !c.awaitsHeader.Load() {
		return n, err
	}
	if n > 0 {
		if c.receivedBytes == 0 {
			c.isBusy.Store(true)
			c.headerDeadline = time.Now().Add(c.server.config.Timeouts().Header)
			_ = c.Conn.SetReadDeadline(c.headerDeadline) // fails only for a closed connection, whose next read fails too
		}
		c.receivedBytes += n
		if !c.mayBeRequest(p[:n]) {
			return 0, c.reject(http.StatusBadRequest)
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.receivedBytes > 0 {
		return 0, c.reject(http.StatusRequestTimeout)
	}
	return n, err
}

// SetReadDeadline applies the current timeouts instead of the given deadline while a
// request is awaited. A zero deadline still removes the deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.awaitsHeader.Load() && !t.IsZero() {
		if t = c.headerDeadline; t.IsZero() {
			t = time.Now().Add(c.server.config.Timeouts().Idle)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Write reports responses that net/http sends without calling the handler.
func (c *conn) Write(p []byte) (int, error) {
	if !c.isHandled.Load() && c.isRejected.CompareAndSwap(false, true) {
		c.server.config.OnReject(Rejection{CallerAddress: c.RemoteAddr().String(), Status: parseStatus(p)})
	}
	return c.Conn.Write(p)
}
