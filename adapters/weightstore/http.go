package weightstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"siskinstand.example/adapters/internal/httpjson"
)

// Errors of the weight store.
var (
	ErrNotFound = errors.New("weight store: model not found")
	// ErrInvalidResponse means that the store answered with values that can't be true.
	ErrInvalidResponse = errors.New("weight store: answer is not valid")
)

// Limits bound the calls of the adapter.
type Limits struct {
	DialTimeout      time.Duration
	CallTimeout      time.Duration
	MaxResponseBytes int64
}

// DefaultLimits suit the store's short answers.
func DefaultLimits() Limits {
	return Limits{DialTimeout: time.Second, CallTimeout: 3 * time.Second, MaxResponseBytes: 64 << 10}
}

// Client reads the store's descriptions with the protocol of docs/protocols.md.
type Client struct{ calls *httpjson.Client }

// NewClient returns the store at address: host and port, with or without "http://".
func NewClient(address string, limits Limits) *Client {
	transport := httpjson.NewTransport(limits.DialTimeout)
	return &Client{calls: httpjson.New(httpjson.Base(address), transport, httpjson.Limits{
		Timeout: limits.CallTimeout, MaxAnswerBytes: limits.MaxResponseBytes,
	})}
}

type statAnswer struct {
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
}

func (a statAnswer) object(model string) (Object, error) {
	if a.Model != model || a.Bytes <= 0 {
		return Object{}, fmt.Errorf("%w: model %q with %d bytes for %q", ErrInvalidResponse, a.Model, a.Bytes, model)
	}
	return Object(a), nil
}

// Stat returns ErrNotFound for an unknown model.
func (h *Client) Stat(ctx context.Context, model string) (Object, error) {
	var answer statAnswer
	err := h.calls.Call(ctx, http.MethodGet, "/weights/"+url.PathEscape(model), nil, &answer)
	var status *httpjson.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return Object{}, fmt.Errorf("%w: %q", ErrNotFound, model)
	}
	if err != nil {
		return Object{}, fmt.Errorf("weight store: %w", err)
	}
	return answer.object(model)
}

// ReadRateLimit returns the limit that all readers share, in bytes a second.
func (h *Client) ReadRateLimit(ctx context.Context) (int64, error) {
	var answer struct {
		BytesPerSecond int64 `json:"bytes_per_second"`
	}
	if err := h.calls.Call(ctx, http.MethodGet, "/rate", nil, &answer); err != nil {
		return 0, fmt.Errorf("weight store: %w", err)
	}
	if answer.BytesPerSecond <= 0 {
		return 0, fmt.Errorf("%w: rate of %d bytes a second", ErrInvalidResponse, answer.BytesPerSecond)
	}
	return answer.BytesPerSecond, nil
}
