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
	// ErrInvalidResponse is returned if a response contains impossible values, such
	// as a size of zero or another model.
	ErrInvalidResponse = errors.New("weight store: answer is not valid")
)

// Limits restricts the duration and response size of calls.
type Limits struct {
	DialTimeout      time.Duration
	CallTimeout      time.Duration
	MaxResponseBytes int64
}

// DefaultLimits returns limits for the store's short responses.
func DefaultLimits() Limits {
	return Limits{DialTimeout: time.Second, CallTimeout: 3 * time.Second, MaxResponseBytes: 64 << 10}
}

// Client reads the store's metadata over the protocol described in
// docs/protocols.md.
type Client struct{ jsonClient *httpjson.Client }

// NewClient returns a client for the store at address: host and port, with or
// without "http://".
func NewClient(address string, limits Limits) *Client {
	transport := httpjson.NewTransport(httpjson.TransportConfig{DialTimeout: limits.DialTimeout})
	return &Client{jsonClient: httpjson.New(httpjson.BaseURL(address), transport, httpjson.Limits{
		CallTimeout: limits.CallTimeout, MaxResponseBytes: limits.MaxResponseBytes,
	})}
}

type statResponse struct {
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
}

func (r statResponse) toObject(model string) (Object, error) {
	if r.Model != model || r.Bytes <= 0 {
		return Object{}, fmt.Errorf("%w: model %q with %d bytes for %q", ErrInvalidResponse, r.Model, r.Bytes, model)
	}
	return Object(r), nil
}

// Stat returns the metadata of a model's weights, or ErrNotFound for an unknown
// model.
func (c *Client) Stat(ctx context.Context, model string) (Object, error) {
	var response statResponse
	err := c.jsonClient.Call(ctx, http.MethodGet, "/weights/"+url.PathEscape(model), nil, &response)
	var statusErr *httpjson.StatusError
	if errors.As(err, &statusErr) && statusErr.Status == http.StatusNotFound {
		return Object{}, fmt.Errorf("%w: %q", ErrNotFound, model)
	}
	if err != nil {
		return Object{}, fmt.Errorf("weight store: %w", err)
	}
	return response.toObject(model)
}

// ReadRateLimit returns the limit that all readers of the store share, in bytes per
// second.
func (c *Client) ReadRateLimit(ctx context.Context) (int64, error) {
	var response struct {
		BytesPerSecond int64 `json:"bytes_per_second"`
	}
	if err := c.jsonClient.Call(ctx, http.MethodGet, "/rate", nil, &response); err != nil {
		return 0, fmt.Errorf("weight store: %w", err)
	}
	if response.BytesPerSecond <= 0 {
		return 0, fmt.Errorf("%w: rate of %d bytes a second", ErrInvalidResponse, response.BytesPerSecond)
	}
	return response.BytesPerSecond, nil
}
