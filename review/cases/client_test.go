package cases

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Call is one request of a client.
type Call struct {
	Method, Path, Host string
	ID                 string
	Key                string
	Deadline           time.Duration
	Headers            [][2]string
	Body               []byte
}

// Reply is what the client got. Err is set if there was no complete answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

func (r Reply) String() string {
	if r.Err != nil {
		return fmt.Sprintf("no complete answer (%v), status %d", r.Err, r.Status)
	}
	body := string(r.Body)
	if len(body) > 120 {
		body = body[:120] + "..."
	}
	return fmt.Sprintf("%d, Attempt-Id %q, Replica-Stamp %q, body %q", r.Status, r.Header.Get("Attempt-Id"), r.Header.Get("Replica-Stamp"), body)
}

// Send sends a call on a new channel to a daemon and waits for the answer until the
// client's time limit and half a second more.
func Send(address string, c Call) Reply {
	n, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return Reply{Err: err}
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(c.Deadline + 500*time.Millisecond))
	go func() { _ = WriteCall(n, c) }()
	resp, err := http.ReadResponse(bufio.NewReader(n), &http.Request{Method: c.Method})
	if err != nil {
		return Reply{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err}
}

// WriteCall writes a call to a channel.
func WriteCall(w io.Writer, c Call) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", c.Method, c.Path, c.Host, c.ID, c.Deadline.Milliseconds())
	if c.Key != "" {
		head += "Authorization: Bearer " + c.Key + "\r\n"
	}
	for _, h := range c.Headers {
		head += h[0] + ": " + h[1] + "\r\n"
	}
	if len(c.Body) > 0 || c.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(c.Body))
	}
	if _, err := w.Write(append([]byte(head+"\r\n"), c.Body...)); err != nil {
		return err
	}
	return nil
}

// Channel is a channel that a client keeps open for many requests.
type Channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// OpenChannel opens a channel to a daemon.
func OpenChannel(address string) (*Channel, error) {
	n, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{n, bufio.NewReader(n)}, nil
}

// Send sends a call on the channel and waits for the answer.
func (c *Channel) Send(call Call) Reply {
	_ = c.conn.SetDeadline(time.Now().Add(call.Deadline + 500*time.Millisecond))
	if err := WriteCall(c.conn, call); err != nil {
		return Reply{Err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
	if err != nil {
		return Reply{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err}
}

// Close closes the channel.
func (c *Channel) Close() { _ = c.conn.Close() }
