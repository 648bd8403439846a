// Package caller serves the requests of callers over HTTP/1.1 and forwards them to
// replicas.
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
	"siskinstand.example/service/membudget"
)

// Config configures a Server.
type Config struct {
	Loop *control.Loop
	Pool *replica.Pool
	// MaxBodyBytes is the maximum size of a request body, MaxRequests the maximum number
	// of concurrent requests.
	MaxBodyBytes int64
	MaxRequests  int64
	// MaxAnswerBytes is the maximum size of a response that is not a stream. Such a
	// response is passed on only once it is complete; a larger one fails.
	MaxAnswerBytes int64
	BodyTimeout    time.Duration
	// MaxUnreadBytes is the maximum size of what is held of a stream for a caller that reads
	// slowly, by default 1 MiB. ReadTimeout is how long a caller may read nothing of a response,
	// by default 30 s.
	MaxUnreadBytes int
	ReadTimeout    time.Duration
	// Unread limits the bytes held for all callers that read slowly; nil means no limit.
	Unread ByteBudget
	// OnCutOff is called with the name of the limit when a response is cut off; nil for none.
	OnCutOff func(limit string)
	Timeouts http1.Timeouts
	// DrainAcceptTime is how long all requests are still accepted after draining has
	// started. Later ones are accepted only if they are expected to finish before
	// DrainDeadline, and after DrainNotice only if they are expected to with their longest
	// possible output. All three are counted from the start of draining.
	DrainAcceptTime time.Duration
	DrainNotice     time.Duration
	DrainDeadline   time.Duration
	Scope           tally.Scope
	// Memory is charged for the bodies of requests and buffered responses. It may be nil.
	Memory *membudget.Budget
}

// Server is the HTTP handler for callers.
type Server struct {
	config   Config
	inFlight atomic.Int64
	// drainStartedAt is the boot clock reading at the start of draining, or 0.
	drainStartedAt atomic.Int64
	// maxProofAge is the age set by SetMaxProofAge, in nanoseconds.
	maxProofAge atomic.Int64
	metrics     metrics
	timeLimits  timeLimits
	unread      *unreadResponses
	// ended is cancelled by EndRequests.
	ended context.Context
	end   context.CancelFunc
}

const (
	defaultMaxUnreadBytes = 1 << 20
	defaultReadTimeout    = 30 * time.Second
)

// New returns a server with the given configuration.
func New(c Config) *Server {
	if c.MaxUnreadBytes == 0 {
		c.MaxUnreadBytes = defaultMaxUnreadBytes
	}
	if c.ReadTimeout == 0 {
		c.ReadTimeout = defaultReadTimeout
	}
	s := &Server{config: c, metrics: newMetrics(c.Scope), unread: newUnreadResponses(c)}
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// EndRequests ends the requests in progress. Callers that have received nothing yet get an
// error response.
func (s *Server) EndRequests() { s.end() }

// SetMaxProofAge sets the age of the configuration proof at which requests with a key
// must be refused (the setting key_age), since the key may have been revoked without this
// host noticing. This host refuses them a little earlier, at keyProofAgeShare times that
// age.
func (s *Server) SetMaxProofAge(d time.Duration) { s.maxProofAge.Store(int64(d)) }

// isConfigFresh reports whether the configuration proof is not older than a share of the
// maximum proof age.
func (s *Server) isConfigFresh(v *control.View, at time.Duration, share float64) bool {
	return v.Proof.IsFresh(at, time.Duration(share*float64(s.maxProofAge.Load())))
}

// Timeouts returns the time limits for callers: those of the settings, or those of the
// operators' configuration if they are shorter.
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

// RecordRejection records a response that was sent without calling ServeHTTP, because the
// header of the request was invalid, too large or late, or because of a lack of connections or memory.
func (s *Server) RecordRejection(r http1.Rejection) {
	reason := verdict.ReasonBadRequest
	if r.Status == http.StatusServiceUnavailable {
		reason = verdict.ReasonOverloaded
	}
	s.metrics.recordResponse(r.Status, string(reason))
	klog.V(1).InfoS("request not readable", "caller", r.CallerAddress, "status", r.Status)
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Drain makes the server close each connection after its next response and, after
// Config.DrainAcceptTime, refuse requests that are not expected to finish in time.
func (s *Server) Drain() { s.drainStartedAt.CompareAndSwap(0, int64(bootclock.Now())) }

// timeSinceDrain returns the time since the start of draining, and whether the server is
// draining.
func (s *Server) timeSinceDrain() (time.Duration, bool) {
	at := s.drainStartedAt.Load()
	return bootclock.Now() - time.Duration(at), at != 0
}

// ServeHTTP handles one request. It must not be registered with a ServeMux, which
// would redirect paths that are not in canonical form.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if _, draining := s.timeSinceDrain(); draining {
		w.Header().Set("Connection", "close")
	}
	q := &request{server: s, writer: w, httpRequest: r, received: bootclock.Now(), headers: platform.ParseCallerHeaders(r.Header)}
	defer q.recordCompletion()
	defer q.answerPanic()
	defer func() {
		q.bodyClaim.Close()
		q.responseClaim.Close()
	}()
	if err := q.admit(); err != nil {
		q.writeError(err)
		return
	}
	left := q.timeLeft(bootclock.Now())
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	stop := context.AfterFunc(s.ended, cancel)
	defer stop()
	q.end = cancel
	q.sendUntilAnswered(ctx)
}

// ServeReady handles the readiness probe of the load balancer.
func (s *Server) ServeReady(w http.ResponseWriter, _ *http.Request) {
	reason := s.unreadyReason()
	if reason != "" {
		w.Header().Set("Siskin-Reason", reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readyProofAgeShare is the share of the maximum proof age for which the host stays ready
// without a new configuration proof. It is below 1 so that the load balancer sends
// callers to other hosts before this one has to refuse their keys. Within that time, an
// unknown route or key is refused for good; later, it may be part of a newer
// configuration.
const readyProofAgeShare = 0.6

// unreadyReason returns why the host is not ready for new connections, or "" if it is.
func (s *Server) unreadyReason() string {
	v := s.config.Loop.View()
	switch {
	case v.Draining:
		return "draining"
	case v.Catalog == nil:
		return "no_configuration"
	case !s.isConfigFresh(v, bootclock.Now(), readyProofAgeShare):
		return "stale_configuration"
	}
	return ""
}

type metrics struct {
	scope     tally.Scope
	firstByte tally.Histogram
	totalTime tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.DurationBuckets{}
	for d := 10 * time.Millisecond; d < 30*time.Second; d = d * 3 / 2 {
		buckets = append(buckets, d)
	}
	return metrics{scope: scope, firstByte: scope.Histogram("first_byte", buckets), totalTime: scope.Histogram("whole_answer", buckets)}
}

func (m metrics) recordIncomplete(cause incompleteCause) {
	m.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("incomplete_responses").Inc(1)
}

func (m metrics) recordResponse(status int, reason string) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "reason": reason}).Counter("answers").Inc(1)
}
