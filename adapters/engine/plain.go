package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"siskinstand.example/adapters/internal/httpjson"
	"siskinstand.example/coord/verdict"
)

// PlainClient is a plain service. Run forwards the request over HTTP; the service
// has no memory to manage and takes no orders.
type PlainClient struct {
	base   string
	limits Limits
	client *http.Client
}

// NewPlainClient returns the service at address: host and port, with or without "http://".
func NewPlainClient(address string, limits Limits) *PlainClient {
	client := &http.Client{Transport: httpjson.NewTransport(limits.DialTimeout), CheckRedirect: refuseRedirect}
	return &PlainClient{base: httpjson.Base(address), limits: limits, client: client}
}

// hopByHop lists header fields that describe one connection only (RFC 9110,
// section 7.6.1) or that the transport sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// Run forwards the request. The first chunk carries the status and header; an
// answer with any status is an answer, because the service ran the call.
func (p *PlainClient) Run(ctx context.Context, request Request, deliver func(Chunk) error) (Result, error) {
	var kept []Header
	for _, field := range request.Header {
		if !hopByHop[http.CanonicalHeaderKey(field.Name)] {
			kept = append(kept, field)
		}
	}
	request.Header = kept
	err := send(ctx, p.client, p.base, p.limits, request, func(response *http.Response, body io.Reader) error {
		return p.forward(response, body, marked(deliver))
	})
	if err != nil {
		return Result{}, err
	}
	return Result{FinishReason: "stop"}, nil
}

func (p *PlainClient) forward(response *http.Response, body io.Reader, deliver func(Chunk) error) error {
	first := Chunk{HTTPStatus: response.StatusCode}
	for name, values := range response.Header {
		for _, value := range values {
			if !hopByHop[name] {
				first.Header = append(first.Header, Header{Name: name, Value: value})
			}
		}
	}
	if err := deliver(first); err != nil {
		return err
	}
	const pieceBytes = 32 << 10
	buffer := make([]byte, pieceBytes)
	var total int64
	for {
		n, err := body.Read(buffer)
		total += int64(n)
		if total > p.limits.MaxResponseBytes {
			return errLong
		}
		if n > 0 {
			if err := deliver(Chunk{Data: append([]byte(nil), buffer[:n]...)}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Cancel has no effect: ending the context of Run closes the connection.
func (p *PlainClient) Cancel(context.Context, string) error { return nil }

// State reports ready if the service accepts a connection and answers
// GET /healthz with a status below 500.
func (p *PlainClient) State(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.base+"/healthz", nil)
	if err != nil {
		return State{}, classify(ctx, err)
	}
	response, err := httpjson.Do(p.client, request)
	if err != nil {
		return State{}, classify(ctx, err)
	}
	defer response.Body.Close()
	return State{Ready: response.StatusCode < http.StatusInternalServerError}, nil
}

// Load returns an empty report: a plain service reports no load.
func (p *PlainClient) Load(context.Context) (Load, error) { return Load{MeasuredAt: time.Now()}, nil }

// Free has no effect.
func (p *PlainClient) Free(context.Context, string) error { return nil }

// Hold fails: a plain service has no memory for a group.
func (p *PlainClient) Hold(context.Context, string, int64, time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "a plain service holds no memory")
}

// Apply fails: a plain service takes no orders.
func (p *PlainClient) Apply(context.Context, Order) error {
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "a plain service takes no orders")
}
