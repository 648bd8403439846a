// Package caller serves the callers' requests over HTTP/1.1.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/edge/control"
	"siskinstand.example/edge/replica"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
	"siskinstand.example/service/http1"
)

// Config holds what the server needs.
type Config struct {
	Loop *control.Loop
	Pool *replica.Pool
	// MaxBodyBytes and MaxRequests bound what callers may send at a time.
	MaxBodyBytes int64
	MaxRequests  int64
	// MaxAnswerBytes is the largest answer held until it is complete.
	MaxAnswerBytes int64
	BodyTimeout    time.Duration
	Timeouts       http1.Timeouts
	// LastStart is the time after the start of draining until which all requests
	// are accepted; later ones only if they can end before LastEnd.
	LastStart time.Duration
	LastEnd   time.Duration
	Scope     tally.Scope
}

// Server handles callers' requests.
type Server struct {
	config  Config
	running atomic.Int64
	// drainedAt is the boot clock at the start of draining, or 0.
	drainedAt atomic.Int64
	// keyAge is the age in nanoseconds of the proof of configuration from which
	// requests with a key are refused.
	keyAge  atomic.Int64
	metrics metrics
}

// New returns a server.
func New(c Config) *Server { return &Server{config: c, metrics: newMetrics(c.Scope)} }

// SetKeyAge changes the age of the proof of configuration from which requests
// with a key are refused.
func (s *Server) SetKeyAge(d time.Duration) { s.keyAge.Store(int64(d)) }

func (s *Server) fresh(v *control.View, at time.Duration, share float64) bool {
	return v.Proof.Within(at, time.Duration(share*float64(s.keyAge.Load())))
}

// Timeouts returns how long a caller may take: what the settings allow, or less
// if the operators say so.
func (s *Server) Timeouts() http1.Timeouts {
	t := s.config.Timeouts
	c := s.config.Loop.View().Catalog
	if c == nil {
		return t
	}
	if d := c.Limits().HeaderTimeout; d > 0 {
		t.Header = min(t.Header, d)
	}
	if d := c.Limits().IdleTimeout; d > 0 {
		t.Idle = min(t.Idle, d)
	}
	return t
}

// Rejected records an answer to bytes that are no request.
func (s *Server) Rejected(r http1.Rejection) {
	s.metrics.answered(r.Status, string(verdict.ReasonBadRequest))
	klog.V(1).InfoS("request not readable", "caller", r.CallerAddress, "status", r.Status)
}

// Running returns the number of requests at present.
func (s *Server) Running() int64 { return s.running.Load() }

// Drain makes the server end its connections after their next answer.
func (s *Server) Drain() { s.drainedAt.CompareAndSwap(0, int64(bootclock.Now())) }

func (s *Server) draining() (time.Duration, bool) {
	at := s.drainedAt.Load()
	return bootclock.Now() - time.Duration(at), at != 0
}

// ServeHTTP answers one request. It is not behind a ServeMux, which would
// redirect paths that are not clean.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if _, draining := s.draining(); draining {
		w.Header().Set("Connection", "close")
	}
	q := &request{server: s, writer: w, http: r, received: bootclock.Now(), ask: platform.ReadAsk(r.Header)}
	defer q.log()
	if err := q.admit(); err != nil {
		q.refuse(err)
		return
	}
	left := q.left(bootclock.Now())
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	q.run(ctx)
}

// Ready answers the balancer.
func (s *Server) Ready(w http.ResponseWriter, _ *http.Request) {
	reason := s.unready()
	if reason != "" {
		w.Header().Set("Siskin-Reason", reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readyShare is the share of the key age up to which the proof of configuration
// counts as fresh: before it ends, callers are sent to other hosts.
const readyShare = 0.6

func (s *Server) unready() string {
	v := s.config.Loop.View()
	switch {
	case v.Draining:
		return "draining"
	case v.Catalog == nil:
		return "no_configuration"
	case !s.fresh(v, bootclock.Now(), readyShare):
		return "stale_configuration"
	}
	return ""
}

type metrics struct {
	scope     tally.Scope
	firstByte tally.Histogram
	whole     tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.DurationBuckets{}
	for d := 10 * time.Millisecond; d < 30*time.Second; d = d * 3 / 2 {
		buckets = append(buckets, d)
	}
	return metrics{scope: scope, firstByte: scope.Histogram("first_byte", buckets), whole: scope.Histogram("whole_answer", buckets)}
}

func (m metrics) answered(status int, reason string) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "reason": reason}).Counter("answers").Inc(1)
}
