// Package httpjson makes short JSON calls over HTTP. It limits the duration of a
// call and the size of its response, and distinguishes requests that were never
// sent from those that may have reached the server.
package httpjson

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"siskinstand.example/adapters/httpclient"
)

// Limits restricts the duration and response size of a call.
type Limits struct {
	// CallTimeout covers the whole call, including reading the response body.
	CallTimeout time.Duration
	// MaxResponseBytes limits the size of the response body.
	MaxResponseBytes int64
}

// Client sends JSON requests to one server.
type Client struct {
	baseURL    string
	httpClient *http.Client
	limits     Limits
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status int
	Body   []byte
}

// Error quotes the first 200 characters of the body.
func (e *StatusError) Error() string {
	const maxQuoted = 200
	return fmt.Sprintf("HTTP status %d: %.*q", e.Status, maxQuoted, e.Body)
}

// NotSentError is a failure that occurred before a connection was available.
// Nothing was sent.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "request not sent: " + e.Err.Error() }

func (e *NotSentError) Unwrap() error { return e.Err }

// defaultIdleTimeout is how long a connection stays open without a call.
const defaultIdleTimeout = 60 * time.Second

// TransportConfig configures a transport.
type TransportConfig struct {
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may have been idle to be reused, by default 60 s.
	IdleTimeout time.Duration
	// DisableKeepAlives gives each call a connection of its own.
	DisableKeepAlives bool
}

// NewTransport returns a transport that ignores proxy settings, because the
// external systems are on the deployment's own network.
func NewTransport(c TransportConfig) http.RoundTripper {
	dialer := &net.Dialer{Timeout: c.DialTimeout, KeepAlive: 15 * time.Second}
	return httpclient.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      c.DisableKeepAlives,
		MaxIdleConns:           256,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        cmp.Or(c.IdleTimeout, defaultIdleTimeout),
		MaxResponseHeaderBytes: 64 << 10,
	})
}

// BaseURL returns the base URL for a host and port, with or without "http://".
func BaseURL(address string) string {
	return "http://" + strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
}

// New returns a client for a base URL such as "http://127.0.0.1:9000".
func New(baseURL string, transport http.RoundTripper, limits Limits) *Client {
	return &Client{baseURL: baseURL, httpClient: &http.Client{Transport: transport, CheckRedirect: noRedirect}, limits: limits}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call sends in as JSON and decodes the response into out. Either may be nil.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.limits.CallTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return &NotSentError{Err: err}
		}
	}
	response, err := c.exchange(ctx, method, path, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(response, out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, nil)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	SetNonReplayableBody(request, body)
	request.Header.Set("Content-Type", "application/json")
	response, err := Do(c.httpClient, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	responseBody, err := ReadBounded(response.Body, c.limits.MaxResponseBytes)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode, Body: responseBody}
	}
	return responseBody, nil
}

// ReadBounded reads r to its end. It fails if r contains more than limit bytes.
func ReadBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("answer is longer than %d bytes", limit)
	}
	return data, nil
}

// nonReplayableBody is a body that net/http cannot read a second time. With no
// body, or with one that http.NewRequest can recreate, net/http may resend a GET
// request or a request with an Idempotency-Key when a reused connection breaks.
type nonReplayableBody struct{ io.Reader }

func (nonReplayableBody) Close() error { return nil }

// SetNonReplayableBody sets a request body that net/http cannot resend.
func SetNonReplayableBody(request *http.Request, body []byte) {
	request.Body = nonReplayableBody{bytes.NewReader(body)}
	request.ContentLength = int64(len(body))
	request.GetBody = nil
}

// Do sends a request. It returns a NotSentError if no connection was available.
func Do(client *http.Client, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil && !connected.Load() {
		return nil, &NotSentError{Err: err}
	}
	return response, err
}
