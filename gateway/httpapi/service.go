package httpapi

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"siskinstand.example/coord/routing"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/gateway/dispatch"
	pb "siskinstand.example/peerpb"
)

// holdBackBytes of a plain service's answer wait for its end, so that a small
// answer can be fetched again after a failure and has a length.
const holdBackBytes = 256 << 10

// privateHeaders are not passed on: they concern one connection or this system.
var privateHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Expect": true, "Host": true,
	"Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	headerDeadline: true, headerRequestID: true,
}

func (s *Server) service(w http.ResponseWriter, r *http.Request, c *call) error {
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
	data, release, err := s.body(w, r)
	if err != nil {
		return err
	}
	defer release()
	path := servicePath(r)
	account, target := []byte(c.account.Name), []byte(name+" "+r.Method+" "+path)
	request := &dispatch.Request{
		ID: c.id, Account: c.account, Route: route, Pool: pool, Method: r.Method, Path: path,
		Header: forwarded(r.Header), Body: data, Streaming: true,
		Keys: routing.Keys{
			Prefix:      hashParts(account, target, data[:min(len(data), prefixBytes)]),
			Fingerprint: hashParts(account, target, data),
		},
		PromptTokens: max(int64(float64(len(data))/firstBytesPerToken), 1),
		Deadline:     c.until(route), IdempotencyKey: c.key,
	}
	sink := &plainSink{w: w, timeout: s.config.Limits.WriteTimeout, deadline: request.Deadline}
	if _, err := s.config.Dispatcher.Run(r.Context(), request, sink); err != nil {
		return sink.fail(err)
	}
	return sink.finish()
}

// servicePath returns the path and query behind the name of the service.
func servicePath(r *http.Request) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	if r.URL.RawQuery != "" {
		return "/" + rest + "?" + r.URL.RawQuery
	}
	return "/" + rest
}

func forwarded(header http.Header) []*pb.Header {
	named := map[string]bool{}
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	var list []*pb.Header
	for name, values := range header {
		if privateHeaders[name] || named[name] {
			continue
		}
		for _, v := range values {
			list = append(list, &pb.Header{Name: name, Value: v})
		}
	}
	return list
}

// plainSink passes on the answer of a plain service.
type plainSink struct {
	w       http.ResponseWriter
	timeout time.Duration
	// deadline is that of the request.
	deadline time.Time
	status   int
	header   []*pb.Header
	held     []byte
	begun    bool
}

// Deliver holds back the first pieces and then writes through.
func (s *plainSink) Deliver(p dispatch.ResponsePart) error {
	if p.Status != 0 {
		s.status, s.header = p.Status, p.Header
	}
	s.held = append(s.held, p.Data...)
	if len(s.held) <= holdBackBytes && !s.begun {
		return nil
	}
	s.begin()
	return s.flush()
}

// Restart discards the held pieces unless some were sent.
func (s *plainSink) Restart() bool {
	if s.begun {
		return false
	}
	s.status, s.header, s.held = 0, nil, nil
	return true
}

func (s *plainSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	for _, h := range s.header {
		if name := http.CanonicalHeaderKey(h.GetName()); !privateHeaders[name] {
			s.w.Header().Add(name, h.GetValue())
		}
	}
	if s.status < http.StatusOK || s.status > 999 {
		s.status = http.StatusOK
	}
	s.w.WriteHeader(s.status)
}

func (s *plainSink) flush() error {
	controller := http.NewResponseController(s.w)
	_ = controller.SetWriteDeadline(writeDeadline(s.timeout, s.deadline))
	// A HEAD request and some statuses have no body.
	if _, err := s.w.Write(s.held); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	s.held = s.held[:0]
	return controller.Flush()
}

func (s *plainSink) finish() error {
	if !s.begun && bodyAllowed(s.status) {
		s.w.Header().Set("Content-Length", strconv.Itoa(len(s.held)))
	}
	s.begin()
	if len(s.held) > 0 && s.flush() != nil {
		return errAnswered
	}
	return nil
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// fail breaks the connection of an answer that has begun, because HTTP has no
// other way to mark it as incomplete.
func (s *plainSink) fail(err error) error {
	if s.begun {
		panic(http.ErrAbortHandler)
	}
	return err
}
