// Package httpapi serves callers over HTTP.
package httpapi

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/gateway/config"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/dispatch"
	"siskinstand.example/service/http1"
)

// closeTimeout bounds the end of idle connections after the last request.
const closeTimeout = 5 * time.Second

// Dispatcher runs requests.
type Dispatcher interface {
	Run(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) (dispatch.Result, error)
}

// Config constructs a Server.
type Config struct {
	Limits     config.Callers
	TLS        *tls.Config
	View       func() *control.View
	Dispatcher Dispatcher
	Invariants *invariant.Registry
	Scope      tally.Scope
}

// Server is the HTTP side of the gateway.
type Server struct {
	config     Config
	http       *http1.Server
	bodyMemory *semaphore.Weighted
	estimator  estimator
	refusals   tally.Scope
	gate       gate
}

// New returns a server that does not listen yet.
func New(c Config) *Server {
	s := &Server{
		config:     c,
		bodyMemory: semaphore.NewWeighted(c.Limits.BodyMemoryBytes),
		refusals:   c.Scope.SubScope("caller"),
		gate:       gate{limit: c.Limits.MaxRequests},
	}
	s.http = http1.New(http1.Config{
		Handler: s.Handler(), MaxHeaderBytes: c.Limits.MaxHeaderBytes, TLS: c.TLS,
		Timeouts: func() http1.Timeouts {
			return http1.Timeouts{Header: c.Limits.HeaderTimeout, Idle: c.Limits.IdleTimeout}
		},
		OnReject: s.rejected,
	})
	return s
}

// Handler returns the routes for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.admit(s.completion(chatFormat)))
	mux.HandleFunc("POST /v1/completions", s.admit(s.completion(textFormat)))
	mux.HandleFunc("GET /v1/models", s.admit(s.models))
	mux.HandleFunc("/services/{service}/{rest...}", s.admit(s.service))
	mux.HandleFunc("/", s.notFound)
	return mux
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	l = netutil.LimitListener(l, s.config.Limits.MaxConnections)
	err := s.http.Serve(l)
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

// rejected records an answer to bytes that are no request.
func (s *Server) rejected(r http1.Rejection) {
	s.refusals.Tagged(map[string]string{"status": strconv.Itoa(r.Status)}).Counter("unreadable_requests").Inc(1)
	klog.V(requestVerbosity).InfoS("request not readable", "caller", r.CallerAddress, "status", r.Status)
}

// Shutdown refuses new requests, keeps the listener open for notice, so that
// callers get a refusal rather than a broken connection, and waits until every
// request has ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context, notice time.Duration) {
	empty := s.gate.close()
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	select {
	case <-empty:
	case <-ctx.Done():
	}
	left := s.gate.count()
	s.config.Invariants.Check(left == 0, invariant.ShutdownComplete, "%d requests were interrupted by the shutdown", left)
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if left > 0 || s.http.Shutdown(closing) != nil {
		_ = s.http.Close()
	}
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int64 { return s.gate.count() }

// Draining reports whether a shutdown has begun.
func (s *Server) Draining() bool { return s.gate.closed() }

// gate counts requests and admits none after close.
type gate struct {
	limit int64

	mu       sync.Mutex
	requests int64
	empty    chan struct{}
}

type gateState int

const (
	gateOpen gateState = iota
	gateFull
	gateClosed
)

func (g *gate) enter() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.empty != nil:
		return gateClosed
	case g.requests >= g.limit:
		return gateFull
	}
	g.requests++
	return gateOpen
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests--
	if g.requests == 0 && g.empty != nil {
		close(g.empty)
	}
}

// close returns a channel that is closed when no request is left.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.empty == nil {
		g.empty = make(chan struct{})
		if g.requests == 0 {
			close(g.empty)
		}
	}
	return g.empty
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.empty != nil
}

func (g *gate) count() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests
}
