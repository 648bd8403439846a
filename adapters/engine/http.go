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

// Limits bound what an adapter accepts from the other side.
type Limits struct {
	// DialTimeout bounds the wait for a connection.
	DialTimeout time.Duration
	// CallTimeout bounds the small JSON calls.
	CallTimeout time.Duration
	// StallTimeout bounds the time without a byte of a stream. Engines send a
	// comment line at least every second while a request waits or prefills.
	StallTimeout time.Duration
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes int
	// MaxResponseBytes bounds a whole answer.
	MaxResponseBytes int64
}

// DefaultLimits suit engines on the same host.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:      time.Second,
		CallTimeout:      2 * time.Second,
		StallTimeout:     30 * time.Second,
		MaxEventBytes:    1 << 20,
		MaxResponseBytes: 64 << 20,
	}
}

// HeaderAttemptID carries the attempt identifier to a model engine.
const HeaderAttemptID = "Siskin-Attempt-Id"

// ModelClient is a model engine that speaks the protocol of docs/protocols.md.
type ModelClient struct {
	base   string
	limits Limits
	stream *http.Client
	calls  *httpjson.Client
}

// NewModelClient returns the engine at address: host and port, with or without "http://".
func NewModelClient(address string, limits Limits) *ModelClient {
	base := httpjson.Base(address)
	transport := httpjson.NewTransport(limits.DialTimeout)
	return &ModelClient{
		base:   base,
		limits: limits,
		stream: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		calls: httpjson.New(base, transport, httpjson.Limits{
			Timeout: limits.CallTimeout, MaxAnswerBytes: limits.MaxResponseBytes,
		}),
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run sends the request as a stream and delivers one chunk per event.
func (h *ModelClient) Run(ctx context.Context, request Request, deliver func(Chunk) error) (Result, error) {
	body, err := streamBody(request)
	if err != nil {
		return Result{}, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "body is not a JSON object").WithCause(err)
	}
	request.Body = body
	request.Header = []Header{
		{Name: "Content-Type", Value: "application/json"},
		{Name: HeaderAttemptID, Value: request.AttemptID},
	}
	var result Result
	err = send(ctx, h.stream, h.base, h.limits, request, func(response *http.Response, body io.Reader) error {
		if response.StatusCode != http.StatusOK {
			return refusal(response.StatusCode, body)
		}
		var err error
		result, err = decodeStream(body, h.limits, marked(deliver))
		return err
	})
	if err != nil {
		return Result{}, err
	}
	return result, nil
}

// streamBody adds what the serving layer decides to the caller's body.
func streamBody(request Request) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(request.Body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errors.New("body is null")
	}
	// A caller must not set what the serving layer owns: members, for example,
	// would lower the memory that the engine reserves.
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

func refusal(status int, body io.Reader) error {
	const maxErrorBytes = 64 << 10
	data, err := httpjson.ReadBounded(body, maxErrorBytes)
	if err != nil {
		return err
	}
	var answer struct {
		Error errorMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "engine answered with status %d", status).WithCause(err)
	}
	return answer.Error.failure()
}

// send makes one streaming exchange. It cancels the exchange when no byte
// arrives for the stall limit, and gives every failure a verdict.
func send(ctx context.Context, client *http.Client, base string, limits Limits, r Request, receive func(*http.Response, io.Reader) error) error {
	if !r.Deadline.IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, r.Deadline)
		defer cancelDeadline()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, base+r.Path, nil)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "request is not valid HTTP").WithCause(err)
	}
	httpjson.SetBody(request, r.Body)
	for _, field := range r.Header {
		request.Header.Add(field.Name, field.Value)
	}
	var stalled atomic.Bool
	stall := time.AfterFunc(limits.StallTimeout, func() {
		stalled.Store(true)
		cancel()
	})
	defer stall.Stop()
	response, err := httpjson.Do(client, request)
	if err == nil {
		defer response.Body.Close()
		err = receive(response, &stallReader{Reader: response.Body, timer: stall, limit: limits.StallTimeout})
	}
	if err != nil && stalled.Load() {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "no byte for %s", limits.StallTimeout)
	}
	return classify(ctx, err)
}

// deliverError marks an error of the receiver, which is no fault of the engine.
type deliverError struct{ err error }

func (e *deliverError) Error() string { return "deliver: " + e.err.Error() }

func marked(deliver func(Chunk) error) func(Chunk) error {
	return func(c Chunk) error {
		if err := deliver(c); err != nil {
			return &deliverError{err: err}
		}
		return nil
	}
}

type stallReader struct {
	io.Reader
	timer *time.Timer
	limit time.Duration
}

func (s *stallReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if n > 0 {
		s.timer.Reset(s.limit)
	}
	return n, err
}

func classify(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	var known *verdict.Error
	if errors.As(err, &known) {
		return err
	}
	var rejected *deliverError
	if errors.As(err, &rejected) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "receiver of the answer failed").WithCause(rejected.err)
	}
	var notSent *httpjson.NotSentError
	if errors.As(err, &notSent) {
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

type cancelBody struct {
	AttemptID string `json:"attempt_id"`
}

type freeBody struct {
	PieceID string `json:"piece_id"`
}

type holdBody struct {
	HoldID       string `json:"hold_id"`
	Tokens       int64  `json:"tokens"`
	TimeToLiveMS int64  `json:"time_to_live_ms"`
}

// Cancel stops an attempt. An unknown attempt is no error.
func (h *ModelClient) Cancel(ctx context.Context, attemptID string) error {
	return h.call(ctx, http.MethodPost, "/engine/cancel", cancelBody{AttemptID: attemptID}, nil)
}

// State returns what the engine runs and holds.
func (h *ModelClient) State(ctx context.Context) (State, error) {
	var state State
	err := h.call(ctx, http.MethodGet, "/engine/state", nil, &state)
	return state, err
}

// Load returns the engine's own report.
func (h *ModelClient) Load(ctx context.Context) (Load, error) {
	var load Load
	err := h.call(ctx, http.MethodGet, "/engine/load", nil, &load)
	return load, err
}

// Free releases one piece of memory. An unknown piece is no error.
func (h *ModelClient) Free(ctx context.Context, pieceID string) error {
	return h.call(ctx, http.MethodPost, "/engine/free", freeBody{PieceID: pieceID}, nil)
}

// Hold reserves or renews memory for a group.
func (h *ModelClient) Hold(ctx context.Context, holdID string, tokens int64, timeToLive time.Duration) error {
	body := holdBody{HoldID: holdID, Tokens: tokens, TimeToLiveMS: timeToLive.Milliseconds()}
	return h.call(ctx, http.MethodPost, "/engine/hold", body, nil)
}

type transferBody struct {
	PieceID string `json:"piece_id"`
	Owner   string `json:"owner"`
	Tokens  int64  `json:"tokens"`
}

// Export copies KV cache out of the engine. Repeating it is harmless.
func (h *ModelClient) Export(ctx context.Context, pieceID, owner string, tokens int64) error {
	return h.call(ctx, http.MethodPost, "/engine/export", transferBody{pieceID, owner, tokens}, nil)
}

// Import copies KV cache into the engine. Repeating it is harmless.
func (h *ModelClient) Import(ctx context.Context, pieceID, owner string, tokens int64) error {
	return h.call(ctx, http.MethodPost, "/engine/import", transferBody{pieceID, owner, tokens}, nil)
}

// Apply sends an order and returns ErrStaleFence if the engine refused it.
func (h *ModelClient) Apply(ctx context.Context, order Order) error {
	err := h.call(ctx, http.MethodPost, "/engine/order", order, nil)
	var known *verdict.Error
	if errors.As(err, &known) && known.Reason == reasonStaleFence {
		return ErrStaleFence
	}
	return err
}

const reasonStaleFence verdict.Reason = "stale_fence"

func (h *ModelClient) call(ctx context.Context, method, path string, in, out any) error {
	err := h.calls.Call(ctx, method, path, in, out)
	var status *httpjson.StatusError
	if errors.As(err, &status) {
		return refusal(status.Status, strings.NewReader(string(status.Body)))
	}
	return classify(ctx, err)
}
