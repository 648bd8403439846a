package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

// Call is a request of a caller.
type Call struct {
	Host, Path, Method, APIKey, Body string
	Header                           map[string]string
}

// Reply is an answer with its whole body; Err is set if it did not come whole.
type Reply struct {
	// AttemptID is the identifier that the call had.
	AttemptID string
	Status    int
	Body      string
	Err       error
	Header    http.Header
	// Connected is set if there was a connection, Reused if it had served a call
	// before.
	Connected, Reused bool
	// ClosesConnection is set if the answer ends its connection.
	ClosesConnection bool
}

// StreamCall returns a request for a stream with a prompt of the given length.
func StreamCall(tokens int) Call {
	return Call{
		Host: StreamHost, Path: "/streaming/x", Method: http.MethodPost, Body: "prompt",
		Header: map[string]string{"Token-Counts": fmt.Sprintf("%d,100", tokens), "Model": "m"},
	}
}

// PlainCall returns a call of a kind of route.
func PlainCall(kind string) Call {
	return Call{Host: PlainHost, Path: "/" + kind + "/x", Method: http.MethodPost, Body: "order"}
}

var attempts atomic.Int64

// Client is a caller that keeps its connections open.
type Client struct{ transport *http.Transport }

// NewClient returns a caller without connections.
func NewClient() *Client { return &Client{&http.Transport{DisableCompression: true}} }

// Close ends the connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// SendOnNewConnection sends a call on a connection of its own to an entry host.
func SendOnNewConnection(ctx context.Context, address string, c Call) Reply {
	client := NewClient()
	client.transport.DisableKeepAlives = true
	return client.Send(ctx, address, c)
}

// Send sends a call to an entry host, once.
func (c *Client) Send(ctx context.Context, address string, call Call) Reply {
	reply := Reply{AttemptID: fmt.Sprintf("a%d", attempts.Add(1))}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reply.Connected, reply.Reused = true, i.Reused }})
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Reply{Err: err}
	}
	// Without GetBody the transport does not send the call again by itself.
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
	body, err := io.ReadAll(resp.Body)
	reply.Status, reply.Body, reply.Err = resp.StatusCode, string(body), err
	reply.Header, reply.ClosesConnection = resp.Header, resp.Close
	return reply
}

// StreamBody returns the body of a whole stream.
func StreamBody(events int) string {
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}
