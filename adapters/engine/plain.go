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

// PlainClient forwards requests to a plain HTTP service. Such a service has no
// memory to manage and accepts no orders.
type PlainClient struct {
	baseURL     string
	limits      Limits
	runClient   *http.Client
	probeClient *http.Client
}

// NewPlainClient returns a client for the service at address: host and port, with
// or without "http://".
func NewPlainClient(address string, limits Limits) *PlainClient {
	return &PlainClient{
		baseURL: httpjson.BaseURL(address), limits: limits,
		runClient:   &http.Client{Transport: newRunTransport(limits), CheckRedirect: noRedirect},
		probeClient: &http.Client{Transport: newTransport(limits), CheckRedirect: noRedirect},
	}
}

// hopByHopHeaders contains the header fields that apply to a single connection
// (RFC 9110, section 7.6.1) or that the transport handles itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// Run forwards the request. The first chunk contains the status and header. An
// error status is no failure of Run, because the service has run the request.
func (p *PlainClient) Run(ctx context.Context, request Request, deliver func(Chunk) error) (Result, error) {
	var forwarded []Header
	for _, field := range request.Header {
		if !hopByHopHeaders[http.CanonicalHeaderKey(field.Name)] {
			forwarded = append(forwarded, field)
		}
	}
	request.Header = forwarded
	err := sendStreaming(ctx, p.runClient, p.baseURL, p.limits, request, func(response *http.Response, body io.Reader) error {
		return p.forward(response, body, markDeliverErrors(deliver))
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
			if !hopByHopHeaders[name] {
				first.Header = append(first.Header, Header{Name: name, Value: value})
			}
		}
	}
	if err := deliver(first); err != nil {
		return err
	}
	const chunkBytes = 32 << 10
	buffer := make([]byte, chunkBytes)
	var total int64
	for {
		n, err := body.Read(buffer)
		total += int64(n)
		if total > p.limits.MaxResponseBytes {
			return errResponseTooLarge
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

// Cancel has no effect, because cancelling the context of Run closes the
// connection.
func (p *PlainClient) Cancel(context.Context, string) error { return nil }

// State reports the service as ready if it responds to GET /healthz with a status
// below 500.
func (p *PlainClient) State(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.CallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.baseURL+"/healthz", nil)
	if err != nil {
		return State{}, withVerdict(ctx, err)
	}
	response, err := httpjson.Do(p.probeClient, request)
	if err != nil {
		return State{}, withVerdict(ctx, err)
	}
	defer response.Body.Close()
	return State{Ready: response.StatusCode < http.StatusInternalServerError}, nil
}

// Load returns an empty report, because a plain service reports no load.
func (p *PlainClient) Load(context.Context) (Load, error) { return Load{MeasuredAt: time.Now()}, nil }

// Free has no effect.
func (p *PlainClient) Free(context.Context, string) error { return nil }

// Hold returns an error, because a plain service has no memory to reserve.
func (p *PlainClient) Hold(context.Context, string, int64, time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "a plain service holds no memory")
}

// Apply returns an error, because a plain service accepts no orders.
func (p *PlainClient) Apply(context.Context, Order) error {
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "a plain service takes no orders")
}
