package httpapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/bytebudget"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/control"
	"siskinstand.example/service/http1"
	"siskinstand.example/service/logging"
	"siskinstand.example/service/membudget"
)

// Header names used in requests and responses.
const (
	headerDeadline       = "Siskin-Deadline-Ms"
	headerRequestID      = "Siskin-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	maxRequestIDBytes      = 128
	maxIdempotencyKeyBytes = 256
	maxDeadline            = 24 * time.Hour
	// refusalRetryAfter is the retry delay returned when this gateway cannot take
	// requests, for example during shutdown. By then, the load balancer may direct
	// the caller to another gateway.
	refusalRetryAfter = time.Second
	// refusedBodyTimeout limits the time for the rest of the body of a refused request.
	refusedBodyTimeout = 500 * time.Millisecond
)

// call holds the attributes of a request that are known before its body is read.
type call struct {
	id             string
	received       time.Time
	account        config.Account
	view           *control.View
	timeout        time.Duration
	idempotencyKey string
}

type callHandler func(w http.ResponseWriter, r *http.Request, c *call) error

// admit returns a handler that enforces the request limit, authenticates the
// caller and parses the headers before it calls next.
func (s *Server) admit(next callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{id: newRequestID(r.Header.Get(headerRequestID)), received: time.Now()}
		w.Header().Set(headerRequestID, c.id)
		// The read deadline is needed for refusals too: net/http reads the rest of
		// a small body before it sends a response.
		_ = http.NewResponseController(w).SetReadDeadline(c.received.Add(s.config.Limits.BodyTimeout))
		switch s.gate.enter() {
		case gateClosed:
			w.Header().Set("Connection", "close")
			s.writeError(w, verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "the gateway is shutting down").WithRetryAfter(refusalRetryAfter))
			return
		case gateFull:
			s.writeError(w, verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the gateway carries its maximum of requests").WithRetryAfter(refusalRetryAfter))
			return
		}
		defer s.gate.leave()
		err := s.authenticate(r, c)
		if err == nil {
			err = next(w, r, c)
		}
		if err != nil {
			// net/http reads the rest of a small body before it keeps the connection.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(min(s.config.Limits.BodyTimeout, refusedBodyTimeout)))
			s.writeError(w, err)
		}
		c.log(r.URL.Path, err)
	}
}

// requestVerbosity is the klog verbosity at which admitted requests and rejected
// input are logged. A request whose response is aborted is not logged.
const requestVerbosity = 2

// log logs a request and, if it got an error response, the verdict, reason and
// message. A failure after the start of the response is not included.
func (c *call) log(path string, err error) {
	if !klog.V(requestVerbosity).Enabled() {
		return
	}
	fields := []any{logging.FieldRequestID, c.id, logging.FieldAccount, c.account.Name, "path", path}
	if err != nil && !errors.Is(err, errResponseStarted) {
		v, _ := newErrorBody(err)
		fields = append(fields, logging.FieldVerdict, v.Verdict, logging.FieldReason, v.Reason, "message", v.Message)
	}
	klog.InfoS("request", fields...)
}

// authenticate identifies the caller's account and parses the idempotency key and
// the deadline.
func (s *Server) authenticate(r *http.Request, c *call) error {
	c.view = s.config.View()
	if !c.view.Configured {
		return verdict.New(verdict.NotRun, verdict.ReasonNoConfig, "the gateway has no configuration yet").WithRetryAfter(refusalRetryAfter)
	}
	token, ok := bearerToken(r.Header.Get("Authorization"))
	if !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the Authorization header needs a bearer token")
	}
	if c.account, ok = c.view.Config.Tables.AccountByToken(config.HashToken(token)); !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the bearer token belongs to no account")
	}
	if len(r.Header.Values(headerIdempotencyKey)) > 1 {
		return badRequest("%s comes more than once", headerIdempotencyKey)
	}
	if c.idempotencyKey = r.Header.Get(headerIdempotencyKey); len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		return badRequest("%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	timeout, err := parseDeadline(r.Header.Get(headerDeadline))
	c.timeout = timeout
	return err
}

// bearerToken extracts the token from an Authorization header. The scheme is
// case-insensitive.
func bearerToken(header string) (string, bool) {
	scheme, token, ok := strings.Cut(header, " ")
	token = strings.TrimSpace(token)
	return token, ok && strings.EqualFold(scheme, "Bearer") && token != ""
}

// parseDeadline returns 0 for an absent header.
func parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms > maxDeadline.Milliseconds() {
		return 0, badRequest("%s is not a number of milliseconds up to %d", headerDeadline, maxDeadline.Milliseconds())
	}
	if ms <= 0 {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonDeadlineExceeded, "the deadline has passed")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (c *call) deadlineFor(route config.Route) time.Time {
	if c.timeout > 0 {
		return c.received.Add(c.timeout)
	}
	return c.received.Add(route.DefaultTimeout)
}

// newRequestID appends a random suffix to the ID given by the caller,
// because two requests with the same ID must not share a stream. It
// discards an ID that is too long or contains characters other than printable
// ASCII without spaces.
func newRequestID(given string) string {
	var random [12]byte
	_, _ = rand.Read(random[:])
	suffix := hex.EncodeToString(random[:])
	if given == "" || len(given) > maxRequestIDBytes || strings.ContainsFunc(given, notPrintable) {
		return suffix
	}
	return given + "-" + suffix
}

func notPrintable(r rune) bool { return r <= ' ' || r > '~' }

// readBody reads the request body within the size and memory limits. The returned
// function releases the memory reserved for the body.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, account string) ([]byte, func(), error) {
	limit := s.config.Limits.MaxBodyBytes
	control := http.NewResponseController(w)
	source, _, _ := net.SplitHostPort(r.RemoteAddr)
	claim := s.memory.Open(bytebudget.KindBody, source, account, func() { _ = control.SetReadDeadline(time.Now()) })
	data, err := membudget.ReadJoined(r.Body, claim, r.ContentLength, limit, time.Now().Add(s.config.Limits.BodyTimeout))
	if err == nil {
		err = claim.Finish()
	}
	if err != nil {
		claim.Close()
		w.Header().Set("Connection", "close")
		http1.DrainOnClose(r)
		return nil, nil, bodyError(err, limit)
	}
	// While the request runs, net/http reads in the background to detect that the
	// caller disconnects. It would cancel the request at the read deadline.
	_ = control.SetReadDeadline(time.Time{})
	return data, claim.Close, nil
}

func bodyError(err error, limit int64) error {
	if errors.Is(err, membudget.ErrTooLarge) {
		return bodyTooLarge(limit)
	}
	if errors.Is(err, membudget.ErrExhausted) || errors.Is(err, membudget.ErrEvicted) {
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the gateway has no memory for another body").WithCause(err).WithRetryAfter(refusalRetryAfter)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return verdict.New(verdict.NotRun, verdict.ReasonSlowCaller, "the body did not arrive in time").WithCause(err)
	}
	if errors.Is(err, context.Canceled) {
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the caller went away").WithCause(err)
	}
	return badRequest("the body could not be read").WithCause(err)
}

func bodyTooLarge(limit int64) error {
	return verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "the body exceeds %d bytes", limit)
}

func badRequest(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, format, args...)
}
