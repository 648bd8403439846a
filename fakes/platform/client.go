package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// Call describes a request that a caller sends.
type Call struct {
	Host, Path, Method, APIKey, Body string
	Header                           map[string]string
	// BodyPause is a pause in the middle of the body.
	BodyPause time.Duration
}

// slowReader reads a text with a pause in its middle.
type slowReader struct {
	text  string
	first int
	pause time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	switch {
	case r.text == "":
		return 0, io.EOF
	case r.first == 0:
		time.Sleep(r.pause)
		r.first = len(r.text)
	}
	n := copy(p, r.text[:r.first])
	r.text, r.first = r.text[n:], r.first-n
	return n, nil
}

// Reply is a response with its body. Err is set if the call failed or the body is
// incomplete.
type Reply struct {
	// AttemptID is the attempt ID that was sent with the call.
	AttemptID string
	Status    int
	Body      string
	Err       error
	Header    http.Header
	// Connected reports whether a connection was established, Reused whether that
	// connection had served an earlier call.
	Connected, Reused bool
	// ClosesConnection reports whether the server closes the connection after this
	// response.
	ClosesConnection bool
}

// StreamCall returns a call to the streaming route, for a prompt with the given
// number of tokens.
func StreamCall(tokens int) Call {
	return Call{
		Host: StreamHost, Path: "/streaming/x", Method: http.MethodPost, Body: "prompt",
		Header: map[string]string{"Token-Counts": fmt.Sprintf("%d,100", tokens), "Model": "m"},
	}
}

// PlainCall returns a call to a route of the plain service. The kind is the
// route_type, which is also the route's path prefix.
func PlainCall(kind string) Call {
	return Call{Host: PlainHost, Path: "/" + kind + "/x", Method: http.MethodPost, Body: "order"}
}

// attemptCount makes the attempt IDs unique within the process.
var attemptCount atomic.Int64

// Client is a caller that reuses its connections.
type Client struct{ transport *http.Transport }

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{&http.Transport{DisableCompression: true}} }

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// SendOnNewConnection sends a call to an entry host on a new connection, which is
// closed afterwards.
func SendOnNewConnection(ctx context.Context, address string, c Call) Reply {
	client := NewClient()
	client.transport.DisableKeepAlives = true
	return client.Send(ctx, address, c)
}

// Send sends a call to an entry host. It never repeats a call that has a body. The
// transport may repeat one without a body if its method is safe, such as GET, or if
// it has an Idempotency-Key.
func (c *Client) Send(ctx context.Context, address string, call Call) Reply {
	reply := Reply{AttemptID: fmt.Sprintf("a%d", attemptCount.Add(1))}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reply.Connected, reply.Reused = true, i.Reused }})
	var body io.Reader = strings.NewReader(call.Body)
	if call.BodyPause > 0 {
		body = &slowReader{text: call.Body, first: len(call.Body) / 2, pause: call.BodyPause}
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, body)
	if err != nil {
		return Reply{Err: err}
	}
	if call.BodyPause > 0 {
		req.ContentLength = int64(len(call.Body))
	}
	// Without GetBody the transport can't retry a call whose body it has begun to
	// send.
	req.GetBody = nil
	req.Host = call.Host
	req.Header.Set("Attempt-Id", reply.AttemptID)
	req.Header.Set("Deadline-Ms", "8000")
	if call.APIKey == "" {
		call.APIKey = SampleAPIKey
	}
	req.Header.Set("Authorization", "Bearer "+call.APIKey)
	for name, value := range call.Header {
		req.Header.Set(name, value)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		reply.Err = err
		return reply
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	reply.Status, reply.Body, reply.Err = resp.StatusCode, string(data), err
	reply.Header, reply.ClosesConnection = resp.Header, resp.Close
	return reply
}

// StreamBody returns the body of a complete stream with the given number of
// events.
func StreamBody(events int) string {
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}
