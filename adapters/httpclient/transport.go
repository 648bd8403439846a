// Package httpclient makes HTTP/1 calls. It accepts only responses whose heads are acceptable to
// package responsehead, where net/http would repair them.
package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"siskinstand.example/coord/responsehead"
)

// Transport is a http.Transport for plain HTTP/1 that checks responses.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport with the settings of base, which must have a DialContext and
// must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: n}, nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections without a call in progress.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends a request and returns the head of the response. The error for a head that is
// not acceptable is a responsehead.ErrMalformed, and its connection is closed.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.beginHead()
			used.Store(c)
		}
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	c := used.Load()
	if c == nil {
		return response, err
	}
	if headErr := c.headError(); headErr != nil {
		c.Close()
		if err == nil {
			response.Body.Close()
		}
		return nil, headErr
	}
	if err == nil && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = untilClose{response.Body, c}
	}
	return response, err
}

// untilClose is a body that ends with its connection.
type untilClose struct {
	io.ReadCloser
	conn *conn
}

// Read returns io.EOF only if the body is complete.
func (b untilClose) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = responsehead.EndOfBody(true, b.conn.isWriteBroken())
	}
	return n, err
}

// conn checks the heads of the responses that it receives. The transport has one call at a time
// on a connection.
type conn struct {
	net.Conn
	mu   sync.Mutex
	head responsehead.Checker
	// headBytes counts the bytes of the head that were returned by Read.
	headBytes int

	// writing is held during a write.
	writing sync.Mutex
	// writeBroken is set if a write failed other than by Close.
	writeBroken bool
}

// Write records a failure.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.writeBroken = c.writeBroken || err != nil && !errors.Is(err, net.ErrClosed)
	return n, err
}

// isWriteBroken waits for a write in progress, which ends at the latest when the transport closes
// the connection, and reports whether one has failed.
func (c *conn) isWriteBroken() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeBroken
}

// beginHead expects the head of the next response.
func (c *conn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Reset()
	c.headBytes = 0
}

func (c *conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Err()
}

// Read fails as soon as a byte of a head is not acceptable, so that the call does not wait for
// the rest of it. It returns the first byte of the head, since net/http sends some requests again
// if no byte of a response has arrived. It returns no more: a head that net/http takes for whole
// would put the connection back into use, with the bytes that follow as the next response.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.head.IsOpen() {
		return n, err
	}
	if c.head.Feed(p[:n]); c.head.Err() != nil {
		return max(0, min(n, 1-c.headBytes)), c.head.Err()
	}
	c.headBytes += n
	return n, err
}
