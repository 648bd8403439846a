package httpapi

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"siskinstand.example/coord/responsehead"
	"siskinstand.example/coord/routing"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/dispatch"
	pb "siskinstand.example/peerpb"
	"siskinstand.example/service/http1"
)

// maxBufferedBytes is how much of a plain service's response is buffered before
// it is sent. A response that fits is sent with a Content-Length, and its request
// can be retried after a failure.
const maxBufferedBytes = 256 << 10

// strippedHeaders are not forwarded: they apply to a single connection or are
// meant for the gateway.
var strippedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Expect": true, "Host": true,
	"Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	headerDeadline: true, headerRequestID: true,
}

func (s *Server) handleService(w http.ResponseWriter, r *http.Request, c *call) error {
	tables := c.view.Config.Tables
	name := r.PathValue("service")
	route, ok := tables.ServiceRoute(c.account.Name, name)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownService, "the account reaches no service %q", name)
	}
	pool, ok := tables.Pool(route.Pool)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "pool %s does not exist", route.Pool)
	}
	data, release, err := s.readBody(w, r, c.account.Name)
	if err != nil {
		return err
	}
	defer release()
	path := servicePath(r)
	account, target := []byte(c.account.Name), []byte(name+" "+r.Method+" "+path)
	request := &dispatch.Request{
		ID: c.id, Account: c.account, Route: route, Pool: pool, Method: r.Method, Path: path,
		Header: forwardedHeaders(r.Header), Body: data, Streaming: true,
		Keys: routing.Keys{
			Prefix:      hashParts(account, target, data[:min(len(data), prefixBytes)]),
			Fingerprint: hashParts(account, target, data),
		},
		PromptTokens: max(int64(float64(len(data))/initialBytesPerToken), 1),
		Deadline:     c.deadlineFor(route), IdempotencyKey: c.idempotencyKey,
	}
	sink := &plainSink{w: w, request: r, timeout: s.config.Limits.WriteTimeout, deadline: request.Deadline}
	if _, err := s.config.Dispatcher.Run(r.Context(), request, sink); err != nil {
		return sink.fail(err)
	}
	return sink.finish()
}

// servicePath returns the path and query that follow the service name.
func servicePath(r *http.Request) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	if r.URL.RawQuery != "" {
		return "/" + rest + "?" + r.URL.RawQuery
	}
	return "/" + rest
}

func forwardedHeaders(header http.Header) []*pb.Header {
	connectionHeaders := map[string]bool{}
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	var list []*pb.Header
	for name, values := range header {
		if strippedHeaders[name] || connectionHeaders[name] {
			continue
		}
		for _, v := range values {
			list = append(list, &pb.Header{Name: name, Value: v})
		}
	}
	return list
}

// plainSink writes the response of a plain service.
type plainSink struct {
	w       http.ResponseWriter
	request *http.Request
	timeout time.Duration
	// deadline is the deadline of the request.
	deadline time.Time
	status   int
	header   []*pb.Header
	buffered []byte
	started  bool
}

// Deliver buffers up to maxBufferedBytes and then writes directly to the caller. It fails if the
// response does not begin with an acceptable status.
func (s *plainSink) Deliver(p dispatch.ResponsePart) error {
	if p.Status != 0 {
		s.status, s.header = p.Status, p.Header
	}
	if !responsehead.IsFinalStatus(s.status) {
		return s.invalidStatus()
	}
	s.buffered = append(s.buffered, p.Data...)
	if len(s.buffered) <= maxBufferedBytes && !s.started {
		return nil
	}
	s.writeHeader()
	return s.flush()
}

// Restart discards the buffered parts. It returns false if some were sent.
func (s *plainSink) Restart() bool {
	if s.started {
		return false
	}
	s.status, s.header, s.buffered = 0, nil, nil
	return true
}

func (s *plainSink) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	for _, h := range s.header {
		if name := http.CanonicalHeaderKey(h.GetName()); !strippedHeaders[name] {
			s.w.Header().Add(name, h.GetValue())
		}
	}
	s.w.WriteHeader(s.status)
}

// invalidStatus returns the error for a response that is none. The service may have run the
// request.
func (s *plainSink) invalidStatus() error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "the service answered with status %03d", s.status)
}

func (s *plainSink) flush() error {
	controller := http.NewResponseController(s.w)
	_ = controller.SetWriteDeadline(writeDeadline(s.timeout, s.deadline))
	// Responses to HEAD requests and with some status codes have no body.
	if _, err := s.w.Write(s.buffered); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	s.buffered = s.buffered[:0]
	return controller.Flush()
}

func (s *plainSink) finish() error {
	if !responsehead.IsFinalStatus(s.status) {
		return s.invalidStatus()
	}
	if !s.started && bodyAllowed(s.status) {
		s.w.Header().Set("Content-Length", strconv.Itoa(len(s.buffered)))
	}
	s.writeHeader()
	if len(s.buffered) > 0 && s.flush() != nil {
		return errResponseStarted
	}
	return nil
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// fail aborts the connection if the response has started, because HTTP/1.1 has no
// other way to mark a response as incomplete.
func (s *plainSink) fail(err error) error {
	if s.started {
		http1.Abort(s.request)
	}
	return err
}
