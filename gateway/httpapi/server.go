// Package httpapi implements the gateway's HTTP API for callers: completions, the list
// of models, and plain services, whose requests do not run on a model.
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
	"k8s.io/klog/v2"

	"siskinstand.example/coord/bytebudget"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/gateway/config"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/dispatch"
	"siskinstand.example/service/http1"
	"siskinstand.example/service/membudget"
)

// closeTimeout limits the time to close idle connections after the last request.
const closeTimeout = 5 * time.Second

// Dispatcher runs requests on endpoints.
type Dispatcher interface {
	Run(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) (dispatch.Result, error)
}

// Config configures a Server.
type Config struct {
	Limits     config.Callers
	TLS        *tls.Config
	View       func() *control.View
	Dispatcher Dispatcher
	Invariants *invariant.Registry
	Scope      tally.Scope
}

// Server serves the gateway's HTTP API.
type Server struct {
	config    Config
	http      *http1.Server
	memory    *membudget.Budget
	estimator estimator
	metrics   tally.Scope
	gate      gate
}

// New returns a server that is not listening yet.
func New(c Config) *Server {
	s := &Server{
		config:  c,
		memory:  membudget.New(budgetConfig(c.Limits), c.Scope.SubScope("caller")),
		metrics: c.Scope.SubScope("caller"),
		gate:    gate{limit: c.Limits.MaxRequests},
	}
	s.http = http1.New(http1.Config{
		Handler: s.Handler(), MaxHeaderBytes: c.Limits.MaxHeaderBytes, TLS: c.TLS,
		Timeouts: func() http1.Timeouts {
			return http1.Timeouts{Header: c.Limits.HeaderTimeout, Idle: c.Limits.IdleTimeout}
		},
		OnReject: s.recordRejection, MaxConnections: c.Limits.MaxConnections, Memory: s.memory,
	})
	return s
}

const (
	// smallBytes is the size up to which a body is small, and reserveDivisor the part of
	// body_memory_bytes that is reserved for small bodies in addition.
	smallBytes     = 64 << 10
	reserveDivisor = 8
	// accountShare is the share of body_memory_bytes that one account or one address may hold.
	accountShare = 0.5
	// connectionBytes is what http1 charges for a connection with the largest part of its header.
	connectionBytes = 32 << 10
	// stallTime and progressBytes define a stalled caller, and quietTime one that gives way to a
	// new connection beyond max_connections.
	stallTime     = 500 * time.Millisecond
	progressBytes = 4 << 10
	quietTime     = 25 * time.Millisecond
)

// budgetConfig adds the memory for connections to body_memory_bytes.
func budgetConfig(c config.Callers) bytebudget.Config {
	limit := c.BodyMemoryBytes + int64(c.MaxConnections)*connectionBytes
	return bytebudget.Config{
		Limit: limit, Reserve: c.BodyMemoryBytes / reserveDivisor, SmallBytes: smallBytes,
		Share: accountShare, BodyShare: float64(c.BodyMemoryBytes) / float64(limit), MaxClaimBytes: 2 * c.MaxBodyBytes,
		StallTime: stallTime, ProgressBytes: progressBytes, QuietTime: quietTime, MaxClaims: 4 * max(c.MaxConnections, int(c.MaxRequests)),
	}
}

// Handler returns the handler for all routes of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.admit(s.handleCompletion(chatFormat)))
	mux.HandleFunc("POST /v1/completions", s.admit(s.handleCompletion(textFormat)))
	mux.HandleFunc("GET /v1/models", s.admit(s.handleModels))
	mux.HandleFunc("/services/{service}/{rest...}", s.admit(s.handleService))
	mux.HandleFunc("/", s.notFound)
	return mux
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	if s.config.TLS != nil {
		// Connections with TLS are not counted by http1; further ones wait.
		l = netutil.LimitListener(l, s.config.Limits.MaxConnections)
	}
	err := s.http.Serve(l)
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

// recordRejection counts and logs an error response that was sent because no valid
// HTTP request arrived in time.
func (s *Server) recordRejection(r http1.Rejection) {
	s.metrics.Tagged(map[string]string{"status": strconv.Itoa(r.Status)}).Counter("unreadable_requests").Inc(1)
	klog.V(requestVerbosity).InfoS("request not readable", "caller", r.CallerAddress, "status", r.Status)
}

// Shutdown refuses new requests and waits until all requests have ended or ctx is
// done. The listener stays open for at least the notice period, unless ctx ends
// first, so that callers get a refusal rather than a connection error.
func (s *Server) Shutdown(ctx context.Context, notice time.Duration) {
	drained := s.gate.close()
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	select {
	case <-drained:
	case <-ctx.Done():
	}
	remaining := s.gate.count()
	s.config.Invariants.Check(remaining == 0, invariant.ShutdownComplete, "%d requests were interrupted by the shutdown", remaining)
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if remaining > 0 || s.http.Shutdown(closeCtx) != nil {
		_ = s.http.Close()
	}
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int64 { return s.gate.count() }

// Draining reports whether a shutdown has begun.
func (s *Server) Draining() bool { return s.gate.closed() }

// gate limits the requests in progress and admits none after close.
type gate struct {
	limit int64

	mu       sync.Mutex
	requests int64
	// drained is nil until close is called, and closed once no request is left.
	drained chan struct{}
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
	case g.drained != nil:
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
	if g.requests == 0 && g.drained != nil {
		close(g.drained)
	}
}

// close stops the admission of requests. It returns a channel that is closed once
// no request is in progress.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drained == nil {
		g.drained = make(chan struct{})
		if g.requests == 0 {
			close(g.drained)
		}
	}
	return g.drained
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drained != nil
}

func (g *gate) count() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests
}
