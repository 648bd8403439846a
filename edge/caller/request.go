package caller

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/edge/control"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
	"siskinstand.example/service/membudget"
)

// request is the state of one request of a caller.
type request struct {
	server      *Server
	writer      http.ResponseWriter
	httpRequest *http.Request
	// received is the boot clock reading at the start of the request.
	received time.Duration
	headers  platform.CallerHeaders
	// body holds the body in parts. bodyClaim is charged for it, and responseClaim for a
	// buffered response. bodyRead is set once the body was read completely.
	body          [][]byte
	bodyClaim     *membudget.Claim
	bodyRead      bool
	responseClaim *membudget.Claim

	view    *control.View
	route   *catalog.Route
	account *catalog.Account
	service *catalog.Service
	timeout time.Duration
	// callerWaited is how long the caller has waited before this request, by its time limit.
	callerWaited time.Duration

	fingerprint suspect.Fingerprint
	// parts are the parts of the prompt that other requests may share. refusedPart is the one
	// because of which the request was not placed, or 0.
	parts         []suspect.Part
	refusedPart   suspect.Part
	triedReplicas []string
	// mayReturn is set if the request may be sent again to a replica in triedReplicas.
	mayReturn  bool
	sendCount  int
	mayHaveRun bool
	// responseStarted is set once the headers of the response have been written.
	responseStarted bool
	// timeToFirstByte is the time from received to the first byte of the body, or 0.
	timeToFirstByte time.Duration
	lastEventID     string
	eventCount      int
	// lacksEventID is set while the caller has events none of which has an ID.
	lacksEventID atomic.Bool
	// end ends the context of the request.
	end context.CancelFunc
	// socket is the socket of the caller's connection, set by pacer; backlog is nil until the
	// caller falls behind.
	socket     *callerSocket
	socketRead bool
	backlog    *backlog
	// lastWrite and longestGap measure the gaps between writes of a stream.
	lastWrite  time.Duration
	longestGap time.Duration

	// sendBegan is set once a send to a replica has begun, which may have run the request.
	sendBegan bool
	// incomplete says why the caller did not get a whole response, or is empty.
	incomplete incompleteCause

	status int
	reason verdict.Reason
	detail string
}

// timeLeft returns the time until the request's timeout.
func (q *request) timeLeft(now time.Duration) time.Duration { return q.received + q.timeout - now }

// defaultTimeout replaces the caller's timeout if the caller sets none. The route's timeout
// applies only if it is shorter.
const defaultTimeout = time.Minute

// admit checks the request, finds its route, client account and service, and reads the
// body.
func (q *request) admit() *verdict.Error {
	if q.view = q.server.config.Loop.View(); q.view.Catalog == nil {
		q.awaitConfiguration()
		q.view = q.server.config.Loop.View()
	}
	if q.view.Catalog == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNoConfig, "the configuration is not known yet").WithRetryAfter(otherHostRetryAfter)
	}
	if q.server.inFlight.Load() > q.server.config.MaxRequests {
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "too many requests at a time").WithRetryAfter(otherHostRetryAfter)
	}
	if err := q.checkHeaders(); err != nil {
		return err
	}
	if err := q.findRoute(); err != nil {
		return err
	}
	q.timeout = defaultTimeout
	if q.headers.HasTimeout {
		q.timeout = q.headers.Timeout
	}
	if q.route.Timeout > 0 {
		q.timeout = min(q.timeout, q.route.Timeout)
	}
	if q.timeout <= 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineExceeded, "the caller's time limit has passed")
	}
	if q.headers.HasTimeout {
		key := timeLimitKey{route: q.route.Name}
		if q.account != nil {
			key.account = q.account.Name
		}
		q.callerWaited = q.server.timeLimits.elapsed(q.received, key, q.headers.Timeout)
	}
	if err := q.readBody(); err != nil {
		return err
	}
	q.service = q.view.Catalog.Service(q.route.ServiceAt(hashFraction(q.headers.AttemptID)))
	if q.service == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownService, "the route's service is not configured").WithRetryAfter(time.Second)
	}
	if since, draining := q.server.timeSinceDrain(); draining && !q.fitsIntoDrain(since, 0) {
		return leavingError()
	}
	q.fingerprint = fingerprint(q.httpRequest, q.headers.Key, q.body...)
	if q.route.HasPrompt {
		for _, p := range q.headers.SharedPromptParts {
			q.parts = append(q.parts, suspect.Part(p))
		}
	}
	return nil
}

// leavingError returns the error for a request that can't end before this host does.
func leavingError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "this host is leaving").WithRetryAfter(otherHostRetryAfter)
}

// maxConfigurationWait is the longest time that a request waits for the first
// configuration after the start of the host. A configuration of 1 MB, the largest value
// of the store, takes 0.56 s on a link of 20 Mbit/s. The load balancer uses a host that
// is not ready only if most hosts are not ready, so a refused caller would probably reach
// another such host.
const maxConfigurationWait = 700 * time.Millisecond

func (q *request) awaitConfiguration() {
	wait := maxConfigurationWait
	if q.headers.HasTimeout {
		wait = min(wait, q.headers.Timeout)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-q.server.config.Loop.Configured():
	case <-timer.C:
	case <-q.httpRequest.Context().Done():
	}
}

// keyProofAgeShare is the share of the maximum proof age up to which requests with a key
// are accepted; the rest is a margin for differences between clocks.
const keyProofAgeShare = 0.95

const (
	// outputHintFactor is the multiple of the caller's estimated output length that is
	// assumed, because only the median of the estimates is accurate.
	outputHintFactor = 2
	// tokenTimeFactor is the time per token as a multiple of the replica's decode step,
	// when the replica serves other requests too.
	tokenTimeFactor = 1.6
)

// fitsIntoDrain reports whether a request is to be accepted the given time after the start of
// draining. What is passed on to a replica later than DrainAcceptTime must end before this host
// does, since its caller could not know whether it has run. lateness is how much later than its
// objective the first event is predicted.
func (q *request) fitsIntoDrain(since, lateness time.Duration) bool {
	c := q.server.config
	return since <= c.DrainAcceptTime || since+q.longestDuration(since, lateness) <= c.DrainDeadline
}

// longestDuration returns how long a request may take at a host that has been draining for the
// given time. Every request ends by its time limit. Only a stream tells more: the length of its
// output and, once the load balancer sends new connections to other hosts, its longest possible
// output.
func (q *request) longestDuration(since, lateness time.Duration) time.Duration {
	limit := q.timeLeft(bootclock.Now())
	if q.route.Repeat != catalog.RepeatStream || q.service.Engine == nil || q.headers.MaxOutputTokens == 0 {
		return limit
	}
	expected := q.durationFor(q.headers.MaxOutputTokens)
	if since <= q.server.config.DrainNotice {
		expected = q.estimateDuration()
	}
	return min(limit, lateness+expected)
}

// canEndBeforeShutdown reports whether a request may be sent to the assigned replica. More is known
// than when it was admitted: how long it has waited, and when that replica is predicted to send the
// first event. If the request may have run already, another send can only help its caller.
func (q *request) canEndBeforeShutdown(a control.Assignment) bool {
	since, draining := q.server.timeSinceDrain()
	if !draining || q.mayHaveRun {
		return true
	}
	return q.fitsIntoDrain(since, max(a.PredictedFirstEvent-q.route.Objective, 0))
}

// estimateDuration estimates how long a stream takes until it is complete.
func (q *request) estimateDuration() time.Duration {
	if q.headers.OutputTokensHint > 0 {
		return q.durationFor(outputHintFactor * q.headers.OutputTokensHint)
	}
	return q.durationFor(q.headers.MaxOutputTokens)
}

// durationFor returns how long a stream takes if its output has the given length.
func (q *request) durationFor(tokens int) time.Duration {
	return q.route.Objective + time.Duration(tokenTimeFactor*float64(tokens)*float64(q.service.Engine.StepTime))
}

// checkHeaders rejects invalid headers, and headers larger than the operators'
// configuration allows. net/http has enforced the limit of the settings before that.
func (q *request) checkHeaders() *verdict.Error {
	if q.headers.Problem != "" {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s", q.headers.Problem)
	}
	allowed := q.view.Catalog.Limits().MaxHeaderBytes
	if size := headerSize(q.httpRequest); allowed > 0 && size > allowed {
		return verdict.New(verdict.NotRun, verdict.ReasonHeaderTooLarge, "the header has %d bytes, at most %d are allowed", size, allowed)
	}
	return nil
}

// headerSize returns the minimum size of the request header in bytes, without optional
// whitespace.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(" ") + len(" HTTP/1.1\r\n") + len("Host:\r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(":\r\n") + len(value)
		}
	}
	return size
}

// otherHostRetryAfter is the retry delay for callers that another host can serve
// immediately.
const otherHostRetryAfter = 50 * time.Millisecond

// findRoute finds the route and checks the key. If the configuration may be outdated, it
// returns a retryable error instead of a final one. It checks no key if the proof of the
// configuration is older than keyProofAgeShare allows.
func (q *request) findRoute() *verdict.Error {
	c := q.view.Catalog
	// A route or key unknown here may have been added in a newer configuration.
	isCurrent := q.server.isConfigFresh(q.view, q.received, readyProofAgeShare)
	stale := verdict.New(verdict.NotRun, verdict.ReasonStaleConfig, "the configuration here may be old").WithRetryAfter(otherHostRetryAfter)
	path, _, _ := strings.Cut(requestTarget(q.httpRequest), "?")
	q.route = c.Route(hostname(q.httpRequest.Host), path)
	if q.route == nil {
		if !isCurrent {
			return stale
		}
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownService, "no route for this host and path")
	}
	if !c.NeedsKey(q.route) {
		return nil
	}
	if !q.server.isConfigFresh(q.view, q.received, keyProofAgeShare) {
		return stale
	}
	q.account = c.Account(q.headers.Key)
	if q.account == nil {
		if !isCurrent {
			return stale
		}
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the key is not known")
	}
	return nil
}

// requestTarget returns the path and query exactly as the caller sent them. Requests to
// a proxy have the absolute form (RFC 9112, section 3.2.2), whose host net/http has
// moved to Request.Host.
func requestTarget(r *http.Request) string {
	if r.URL.Host == "" || !strings.Contains(r.RequestURI, "://") {
		return r.RequestURI
	}
	_, rest, _ := strings.Cut(r.RequestURI, "://")
	if i := strings.IndexAny(rest, "/?"); i >= 0 {
		rest = rest[i:]
	} else {
		rest = ""
	}
	if !strings.HasPrefix(rest, "/") {
		return "/" + rest
	}
	return rest
}

func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// hashFraction maps an attempt ID to a uniformly distributed value in [0, 1).
func hashFraction(attemptID string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(attemptID)) // never fails
	return float64(h.Sum64()>>11) / (1 << 53)
}

// fingerprint returns a hash that is equal for repetitions of a request: same method,
// host, target, key and body.
func fingerprint(r *http.Request, key string, body ...[]byte) suspect.Fingerprint {
	h := fnv.New64a()
	for _, text := range []string{r.Method, r.Host, requestTarget(r), key} {
		_, _ = h.Write([]byte(text))
		_, _ = h.Write([]byte{0})
	}
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return suspect.Fingerprint(h.Sum64())
}

// recordCompletion records the metrics of the finished request and writes its log line.
func (q *request) recordCompletion() {
	now := bootclock.Now()
	took := now - q.received
	q.server.metrics.recordResponse(q.status, string(q.reason))
	if q.incomplete != "" {
		q.server.metrics.recordIncomplete(q.incomplete)
	}
	q.server.metrics.totalTime.RecordDuration(took)
	if q.timeToFirstByte > 0 {
		q.server.metrics.firstByte.RecordDuration(q.timeToFirstByte)
	}
	route, account, version := "", "", int64(0)
	if q.route != nil {
		route = q.route.Name
	}
	if q.account != nil {
		account = q.account.Name
	}
	var age time.Duration
	if q.view != nil && q.view.Catalog != nil {
		version = q.view.Catalog.Version()
		age, _ = q.view.Proof.Age(q.received)
	}
	klog.V(1).InfoS("answered", "request_id", q.headers.AttemptID, "status", q.status, "reason", q.reason, "detail", q.detail, "incomplete", q.incomplete, "part", formatPart(q.refusedPart),
		"route", route, "account", account, "prompt", q.headers.PromptTokens, "sends", q.sendCount, "replicas", q.triedReplicas, "first_ms", q.timeToFirstByte.Milliseconds(),
		"took_ms", took.Milliseconds(), "events", q.eventCount, "gap_ms", q.longestGap.Milliseconds(), "config_version", version, "proof_age_ms", age.Milliseconds(), "caller_waited_ms", q.callerWaited.Milliseconds())
}

// formatPart returns a part as in the header of a request, or "" for none.
func formatPart(p suspect.Part) string {
	if p == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(p), 16)
}
