package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"siskinstand.example/adapters/internal/httpjson"
	"siskinstand.example/coord/verdict"
)

// Limits restricts the duration of calls and the size of responses.
type Limits struct {
	DialTimeout time.Duration
	// CallTimeout limits calls other than Run.
	CallTimeout time.Duration
	// StallTimeout limits the time in which no byte of the response body is
	// received, including the wait for the first one. Engines send a comment line at
	// least every second while a request is queued or in prefill.
	StallTimeout time.Duration
	// MaxEventBytes limits one line of a stream, and thereby one event.
	MaxEventBytes int
	// MaxResponseBytes limits a whole response of Run, which is delivered as it arrives.
	MaxResponseBytes int64
	// MaxReportBytes limits the response of any other call, which is held in memory. An
	// allocation takes about 100 bytes of it.
	MaxReportBytes int64
}

// DefaultLimits returns limits for engines on the same host.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:      time.Second,
		CallTimeout:      2 * time.Second,
		StallTimeout:     30 * time.Second,
		MaxEventBytes:    1 << 20,
		MaxResponseBytes: 64 << 20,
		MaxReportBytes:   2 << 20,
	}
}

// HeaderAttemptID is the header field that passes the attempt ID to a model engine.
const HeaderAttemptID = "Siskin-Attempt-Id"

// ModelClient calls a model engine over the protocol described in
// docs/protocols.md.
type ModelClient struct {
	baseURL      string
	limits       Limits
	streamClient *http.Client
	jsonClient   *httpjson.Client
}

// NewModelClient returns a client for the engine at address: host and port, with
// or without "http://".
func NewModelClient(address string, limits Limits) *ModelClient {
	baseURL := httpjson.BaseURL(address)
	transport := newTransport(limits)
	return &ModelClient{
		baseURL:      baseURL,
		limits:       limits,
		streamClient: &http.Client{Transport: newRunTransport(limits), CheckRedirect: noRedirect},
		jsonClient: httpjson.New(baseURL, transport, httpjson.Limits{
			CallTimeout: limits.CallTimeout, MaxResponseBytes: limits.MaxReportBytes,
		}),
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run requests a streamed completion and calls deliver for each event with text.
func (c *ModelClient) Run(ctx context.Context, request Request, deliver func(Chunk) error) (Result, error) {
	body, err := streamRequestBody(request)
	if err != nil {
		return Result{}, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "body is not a JSON object").WithCause(err)
	}
	request.Body = body
	request.Header = []Header{
		{Name: "Content-Type", Value: "application/json"},
		{Name: HeaderAttemptID, Value: request.AttemptID},
	}
	var result Result
	err = sendStreaming(ctx, c.streamClient, c.baseURL, c.limits, request, func(response *http.Response, body io.Reader) error {
		if response.StatusCode != http.StatusOK {
			return errorFromBody(response.StatusCode, body)
		}
		var err error
		result, err = decodeStream(body, c.limits, markDeliverErrors(deliver))
		return err
	})
	if err != nil {
		return Result{}, err
	}
	return result, nil
}

// streamRequestBody returns the caller's body with the fields that the serving
// layer controls added, replaced or removed.
func streamRequestBody(request Request) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(request.Body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errors.New("body is null")
	}
	// A caller must not set fields that the serving layer controls. For example,
	// members would reduce the memory that the engine reserves.
	delete(fields, "members")
	delete(fields, "resume_text")
	additions := map[string]any{
		"stream":         true,
		"stream_options": map[string]bool{"include_usage": true},
		"priority":       request.Priority,
	}
	if request.ResumeText != "" {
		additions["resume_text"] = request.ResumeText
	}
	if len(request.Members) > 0 {
		additions["members"] = request.Members
	}
	if request.MaxOutputTokens > 0 {
		delete(fields, "max_completion_tokens")
		additions["max_tokens"] = request.MaxOutputTokens
	}
	for name, value := range additions {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		fields[name] = encoded
	}
	return json.Marshal(fields)
}

// errorFromBody converts an engine's error response.
func errorFromBody(status int, body io.Reader) error {
	const maxErrorBytes = 64 << 10
	data, err := httpjson.ReadBounded(body, maxErrorBytes)
	if err != nil {
		return err
	}
	var response struct {
		Error errorMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "engine answered with status %d", status).WithCause(err)
	}
	return response.Error.toVerdictError()
}

// sendStreaming sends a request and passes the streamed response to receive. It
// cancels the exchange if no byte of the response body arrives for
// limits.StallTimeout. Every error has a verdict that states whether the request
// may have run.
func sendStreaming(ctx context.Context, client *http.Client, baseURL string, limits Limits, r Request, receive func(*http.Response, io.Reader) error) error {
	if !r.Deadline.IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, r.Deadline)
		defer cancelDeadline()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, baseURL+r.Path, nil)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "request is not valid HTTP").WithCause(err)
	}
	httpjson.SetNonReplayableBody(request, r.Body)
	for _, field := range r.Header {
		request.Header.Add(field.Name, field.Value)
	}
	var isStalled atomic.Bool
	stallTimer := time.AfterFunc(limits.StallTimeout, func() {
		isStalled.Store(true)
		cancel()
	})
	defer stallTimer.Stop()
	response, err := httpjson.Do(client, request)
	if err == nil {
		defer response.Body.Close()
		err = receive(response, &stallReader{Reader: response.Body, timer: stallTimer, timeout: limits.StallTimeout})
	}
	if err != nil && isStalled.Load() {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "no byte for %s", limits.StallTimeout)
	}
	return withVerdict(ctx, err)
}

// deliverError wraps an error of the deliver callback, to distinguish it from an
// engine failure.
type deliverError struct{ err error }

func (e *deliverError) Error() string { return "deliver: " + e.err.Error() }

func markDeliverErrors(deliver func(Chunk) error) func(Chunk) error {
	return func(c Chunk) error {
		if err := deliver(c); err != nil {
			return &deliverError{err: err}
		}
		return nil
	}
}

// stallReader resets the stall timer whenever bytes arrive.
type stallReader struct {
	io.Reader
	timer   *time.Timer
	timeout time.Duration
}

func (s *stallReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if n > 0 {
		s.timer.Reset(s.timeout)
	}
	return n, err
}

// withVerdict adds a verdict and a reason to err unless it already has them.
func withVerdict(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	var verdictErr *verdict.Error
	if errors.As(err, &verdictErr) {
		return err
	}
	var deliverErr *deliverError
	if errors.As(err, &deliverErr) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "receiver of the answer failed").WithCause(deliverErr.err)
	}
	var notSentErr *httpjson.NotSentError
	if errors.As(err, &notSentErr) {
		return verdict.New(verdict.NotRun, verdict.ReasonEngineDown, "no connection to the engine").WithCause(err)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDeadlineExceeded, "deadline passed while the engine ran").WithCause(err)
	}
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "cancelled while the engine ran").WithCause(err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "engine connection failed").WithCause(err)
}

type cancelRequest struct {
	AttemptID string `json:"attempt_id"`
}

type freeRequest struct {
	AllocationID string `json:"piece_id"`
}

type holdRequest struct {
	HoldID       string `json:"hold_id"`
	Tokens       int64  `json:"tokens"`
	TimeToLiveMS int64  `json:"time_to_live_ms"`
}

// Cancel stops an attempt. Cancelling an unknown attempt is not an error.
func (c *ModelClient) Cancel(ctx context.Context, attemptID string) error {
	return c.call(ctx, http.MethodPost, "/engine/cancel", cancelRequest{AttemptID: attemptID}, nil)
}

// State returns the engine's model, readiness and memory allocations.
func (c *ModelClient) State(ctx context.Context) (State, error) {
	var state State
	err := c.call(ctx, http.MethodGet, "/engine/state", nil, &state)
	return state, err
}

// Load returns the load that the engine reports.
func (c *ModelClient) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, "/engine/load", nil, &load)
	return load, err
}

// Free releases a memory allocation. Freeing an unknown allocation is not an error.
func (c *ModelClient) Free(ctx context.Context, allocationID string) error {
	return c.call(ctx, http.MethodPost, "/engine/free", freeRequest{AllocationID: allocationID}, nil)
}

// Hold reserves memory for a group, or extends an existing reservation.
func (c *ModelClient) Hold(ctx context.Context, holdID string, tokens int64, timeToLive time.Duration) error {
	body := holdRequest{HoldID: holdID, Tokens: tokens, TimeToLiveMS: timeToLive.Milliseconds()}
	return c.call(ctx, http.MethodPost, "/engine/hold", body, nil)
}

type transferRequest struct {
	AllocationID string `json:"piece_id"`
	Owner        string `json:"owner"`
	Tokens       int64  `json:"tokens"`
}

// Export copies KV cache out of the engine. It is idempotent.
func (c *ModelClient) Export(ctx context.Context, allocationID, owner string, tokens int64) error {
	return c.call(ctx, http.MethodPost, "/engine/export", transferRequest{allocationID, owner, tokens}, nil)
}

// Import copies KV cache into the engine. It is idempotent.
func (c *ModelClient) Import(ctx context.Context, allocationID, owner string, tokens int64) error {
	return c.call(ctx, http.MethodPost, "/engine/import", transferRequest{allocationID, owner, tokens}, nil)
}

// Apply sends an order. It returns ErrStaleFence if the engine refuses the order
// because of its fencing number.
func (c *ModelClient) Apply(ctx context.Context, order Order) error {
	err := c.call(ctx, http.MethodPost, "/engine/order", order, nil)
	var verdictErr *verdict.Error
	if errors.As(err, &verdictErr) && verdictErr.Reason == reasonStaleFence {
		return ErrStaleFence
	}
	return err
}

const reasonStaleFence verdict.Reason = "stale_fence"

func (c *ModelClient) call(ctx context.Context, method, path string, in, out any) error {
	err := c.jsonClient.Call(ctx, method, path, in, out)
	var statusErr *httpjson.StatusError
	if errors.As(err, &statusErr) {
		return errorFromBody(statusErr.Status, strings.NewReader(string(statusErr.Body)))
	}
	return withVerdict(ctx, err)
}
