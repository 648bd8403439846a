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
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"siskinstand.example/service/membudget"
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
	// MaxConnections is the maximum number of open connections, or 0 for any number. A
	// new connection beyond it takes the place of a stalled one or of one that its caller
	// has closed, or is refused with status 503. Memory is charged for connections and
	// headers; it may be nil.
	MaxConnections int
	Memory         *membudget.Budget
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
	lingering   lingerList
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
	s.mu.Lock()
	isClosing := s.isClosing
	s.mu.Unlock()
	if isClosing {
		w.Header().Set("Connection", "close")
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

// Abort ends a response that has started so that the caller can tell that it is incomplete. It
// does not return; net/http closes the connection. A body in chunks lacks its last chunk. A
// caller of HTTP/1.0 gets no chunks, and its body ends with the connection, which is reset.
func Abort(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && !r.ProtoAtLeast(1, 1) {
		c.isReset.Store(true)
	}
	panic(http.ErrAbortHandler)
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
	// unusedConnectionGrace is the minimum time without a request before a shutdown
	// closes a connection. Callers send a request right after they connect, and often
	// right after a response.
	unusedConnectionGrace = 250 * time.Millisecond
	shutdownPollInterval  = 5 * time.Millisecond
	// retireTimeout is how long Shutdown waits, after its context has ended, for the
	// connections without a request to close.
	retireTimeout = 4 * shutdownPollInterval
)

// Shutdown stops accepting connections and waits until ctx is done for running requests and
// for callers that are still sending after their last response; see CloseWrite. A request of
// which the server has read the first byte still gets a response, whereas the Shutdown of
// net/http reads it and closes the connection.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.isClosing = true
	for _, l := range s.listeners {
		_ = l.Close() // net/http closes it again
	}
	s.mu.Unlock()
	s.acceptLoops.Wait()
	if err := s.retireConns(ctx); err != nil {
		return err
	}
	if err := s.httpServer.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return s.lingering.wait(ctx)
}

// retireConns retires connections until none is left. If ctx ends first, it retires all
// connections without a request regardless of their age and returns the error of ctx.
func (s *Server) retireConns(ctx context.Context) error {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for s.retireUnused(time.Now().Add(-unusedConnectionGrace)) > 0 {
		select {
		case <-ctx.Done():
			s.retireUnused(time.Now())
			time.Sleep(retireTimeout)
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// retireUnused retires the connections that have had no request since the given time, and
// returns the number of connections that are still open.
func (s *Server) retireUnused(since time.Time) int {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.retireIfUnused(since)
	}
	return len(conns)
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
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: n, server: l.server, unusedSince: time.Now()}
		if !l.server.admit(c) {
			l.server.refuse(c)
			continue
		}
		c.awaitsHeader.Store(true)
		l.server.track(c, true)
		return c, nil
	}
}
