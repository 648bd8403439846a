package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/connlimit"
	"siskinstand.example/coord/responsehead"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

const (
	// maxUnmatchedResponses is the number of interim (1xx) responses and responses to other
	// requests that are skipped before the connection is closed.
	maxUnmatchedResponses = 2
	// typicalHeadBytes is the typical size of a request line with headers.
	typicalHeadBytes = 1024
	// maxDiscardBytes and discardTimeout limit how much is read of a response body that is not
	// needed, only to use the connection again. Replicas send short bodies with the head.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 100 * time.Millisecond
	// earlyResponseTimeout is the timeout for reading a response after writing the request
	// failed. A replica may reject a long body before it has received all of it.
	earlyResponseTimeout = 200 * time.Millisecond
)

// Request is a request to one replica.
type Request struct {
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target  string
	Host    string
	Headers http.Header
	Body    []byte
	// MoreBody are the further parts of the body after Body.
	MoreBody [][]byte
	// AttemptID is the attempt ID of the request. A response with another one belongs to
	// another request.
	AttemptID string
	// AtMostOnce requests are not sent on connections that have been idle for long, since
	// these may be dead.
	AtMostOnce bool
	// IsContinuation requests go on with a response of which the caller has a part. They get a
	// connection before the others that wait.
	IsContinuation bool
	// Kind is the same for requests that take about as long, such as those of one route.
	Kind string
	// Connections bounds the connections to the replica; the zero value leaves them unchanged.
	Connections connlimit.Bounds
	// MaxConnectionWait is how long the request may wait for a connection if the replica accepts
	// no further one.
	MaxConnectionWait time.Duration
	// Connection was acquired for the request with Connect; nil to acquire one.
	Connection *Connection
	// OnSilence is called in a goroutine of its own if the replica does not answer the opening of
	// another connection and nothing has arrived from it since. isSilent reports whether that is
	// still so for this request's connection. It may be nil, and may be called several times.
	OnSilence func(isSilent func() bool)
}

// Response is a replica's response. Its body is read with Read.
type Response struct {
	Status  int
	Headers http.Header
	Info    platform.ResponseInfo
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// EndsWithConnection is set if the body has neither a length nor chunks, so that a
	// replica that has ended looks like the end of the body.
	EndsWithConnection bool
	// requestCut is set if the connection broke while the request was written.
	requestCut bool

	pool     *Pool
	conn     *conn
	resp     *http.Response
	stop     func() bool
	ctx      context.Context
	complete bool
	closed   bool
	// headEnd is the number of bytes read from the connection up to the body, bodyBytes the
	// size of the body so far.
	headEnd   int64
	bodyBytes int64
}

// Do sends a request and reads the header of its response. The connection is closed when
// the context ends. The error is a *verdict.Error that states whether the request may
// have run.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	startedAt, wait := bootclock.Now(), r.MaxConnectionWait
	for tries := 1; ; tries++ {
		c, err := p.connection(ctx, r)
		if err != nil {
			return nil, connectError(r.Address, err)
		}
		resp, err := p.doOn(ctx, c, r)
		if err == nil || !errors.Is(err, errNothingWritten) || tries == maxUnwrittenTries || ctx.Err() != nil {
			return resp, err
		}
		// The replica has closed the connection before it was used. The request has not run.
		r.Connection, r.MaxConnectionWait = nil, max(0, wait-(bootclock.Now()-startedAt))
	}
}

// maxUnwrittenTries is the number of connections on which nothing of a request could be written
// before it fails.
const maxUnwrittenTries = 3

func (p *Pool) connection(ctx context.Context, r Request) (*conn, error) {
	if r.Connection != nil {
		return r.Connection.use(r), nil
	}
	return p.acquire(ctx, r)
}

// connectError returns the error of a request without a connection.
func connectError(address string, err error) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.ReasonConnectionLost, "no connection to replica at %s", address).WithCause(err)
	var full *NoConnectionError
	if errors.As(err, &full) {
		e = e.WithRetryAfter(full.Wait)
	}
	return e
}

// doOn sends a request on a connection that was acquired for it.
func (p *Pool) doOn(ctx context.Context, c *conn, r Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	resp, err := exchange(c, r) //nolint:bodyclose // the connection is closed or kept by Response.Close
	if err != nil {
		stop()
		c.Close()
		p.removeActive(c)
		if ctx.Err() == nil {
			err = p.recordNewConnectionFailure(c, err)
		}
		v := verdict.MayHaveRun
		if errors.Is(err, errNothingWritten) {
			v = verdict.NotRun
		}
		return nil, verdict.New(v, verdict.ReasonConnectionLost, "replica at %s (connection reused: %t)", r.Address, c.reused).WithCause(err)
	}
	return &Response{
		Status: resp.StatusCode, Headers: resp.Header, Info: platform.ParseResponseHeaders(resp.StatusCode, resp.Header),
		Length: resp.ContentLength, EndsWithConnection: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0, requestCut: c.requestCut, pool: p, conn: c, resp: resp, stop: stop, ctx: ctx, headEnd: c.budget.total.Load(),
	}, nil
}

// recordNewConnectionFailure records that a new connection ended before any byte of a response, and
// returns the failure. A replica that accepts a limited number of connections may reset further
// ones. It knows its limit once one was turned away, so that the next one is a broken response.
func (p *Pool) recordNewConnectionFailure(c *conn, err error) error {
	isEnd := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)
	if c.reused || c.budget.total.Load() > 0 || !isEnd {
		return err
	}
	e := p.recordFailure(c.address, p.traffic(c.address), connfault.Reset, err)
	if c.isAboveLimit {
		return err
	}
	return e
}

// A response may take maxWireFactor times its size on the connection, and maxWireOverhead
// bytes more. Chunks of one byte take six times their size and much processor time.
const (
	maxWireFactor   = 3
	maxWireOverhead = 64 << 10
)

var errChunkOverhead = errors.New("the chunks of the body are too small")

var (
	errUnmatchedResponse = errors.New("response does not belong to this request")
	// errConflictingIDs ends the exchange even on a new connection: a repeated rejection of an
	// earlier request that also has the new ID would otherwise count as "not run" for a request
	// that runs.
	errConflictingIDs    = errors.New("response has several attempt IDs")
	errAnonymousResponse = errors.New("response without an attempt ID on a reused connection")
)

// exchange writes a request and reads the header of the response to it. A replica may respond
// and close the connection before it has read a long body, so that writing it fails.
func exchange(c *conn, r Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	var wire bytes.Buffer
	length := r.bodyLength()
	wire.Grow(min(length, maxJoinedBytes) + typicalHeadBytes)
	// http.Request.Write would add headers and might change the target.
	fmt.Fprintf(&wire, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Headers.Write(&wire); err != nil {
		return nil, err
	}
	if length > 0 || r.Method != http.MethodGet {
		fmt.Fprintf(&wire, "Content-Length: %d\r\n", length)
	}
	wire.WriteString("\r\n")
	c.recordSent(r)
	if n, err := writeBody(c, &wire, append([][]byte{r.Body}, r.MoreBody...)); err != nil {
		c.requestCut = true
		resp, readErr := readOwnHead(c, req, r.AttemptID, time.Now().Add(earlyResponseTimeout))
		if readErr != nil && n == 0 {
			err = errors.Join(errNothingWritten, err)
		}
		if readErr != nil {
			return nil, errors.Join(err, readErr)
		}
		resp.Close = true
		return resp, nil
	}
	return readOwnHead(c, req, r.AttemptID, time.Time{})
}

func (r Request) bodyLength() int {
	length := len(r.Body)
	for _, part := range r.MoreBody {
		length += len(part)
	}
	return length
}

// maxJoinedBytes is the number of body bytes that are copied behind the head, so that one write
// sends both. The rest is written from where it is, since a copy would double its memory.
const maxJoinedBytes = 64 << 10

// errNothingWritten means that the connection failed before the first byte of a request.
var errNothingWritten = errors.New("nothing of the request was written")

// writeBody writes the head in wire and the parts of the body, and returns how much it has written.
func writeBody(c *conn, wire *bytes.Buffer, parts [][]byte) (int, error) {
	for joined := 0; len(parts) > 0 && joined+len(parts[0]) <= maxJoinedBytes; parts = parts[1:] {
		joined += len(parts[0])
		wire.Write(parts[0])
	}
	written, err := c.Write(wire.Bytes())
	for _, part := range parts {
		if err != nil {
			break
		}
		var n int
		n, err = c.Write(part)
		written += n
	}
	return written, err
}

// readOwnHead reads the header of the response to the request with the given attempt ID. It
// skips interim responses and late responses to earlier requests, unless the length of their
// body is unknown because of a HEAD request. A response without an attempt ID is accepted only
// on a connection without an earlier request: otherwise it may be a repeated response to that
// one. The deadline, if it is not zero, limits the wait for the header.
func readOwnHead(c *conn, req *http.Request, attemptID string, deadline time.Time) (*http.Response, error) {
	for range maxUnmatchedResponses + 1 {
		resp, err := c.readHead(req, deadline)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		info := platform.ParseResponseHeaders(resp.StatusCode, resp.Header)
		if info.ConflictingIDs {
			klog.V(1).InfoS("response has several attempt IDs", "request_id", attemptID, "status", resp.StatusCode, "not_run", info.NotRun, "address", c.address, "reused", c.reused)
			return nil, errConflictingIDs
		}
		if info.AttemptID == attemptID || info.AttemptID == "" && !c.reused {
			return resp, nil
		}
		klog.V(1).InfoS("response belongs to another request", "request_id", attemptID, "response_id", info.AttemptID, "status", resp.StatusCode, "not_run", info.NotRun, "address", c.address, "reused", c.reused)
		if info.AttemptID == "" {
			return nil, errAnonymousResponse
		}
		if !c.reused || c.carriesHead {
			return nil, errUnmatchedResponse
		}
		if err := c.discard(resp.Body); err != nil || resp.Close {
			return nil, errUnmatchedResponse
		}
	}
	return nil, errUnmatchedResponse
}

var errLongDiscard = errors.New("body that is not needed exceeds 64 KiB")

// discard reads a body that is not needed to its end. It fails if that takes too long.
func (c *conn) discard(body io.Reader) error {
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only for a closed connection, whose next read fails too
	err := discardToEnd(body)
	_ = c.SetReadDeadline(time.Time{})
	return err
}

// discardToEnd reads a body to its end, which must come within maxDiscardBytes.
func discardToEnd(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	if err == nil && n == maxDiscardBytes {
		return errLongDiscard
	}
	return err
}

// Discard reads the rest of a response of which the head says all, so that the connection can be
// used again. It fails if the rest does not arrive at once; Close then closes the connection.
func (r *Response) Discard() error { return r.conn.discard(r) }

// Read reads the body. It returns io.EOF only if the body is complete. A body without a
// length counts as complete when the replica closes the connection without a reset, after the
// request has been written.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.resp.Body.Read(b)
	r.bodyBytes += int64(n)
	if r.conn.budget.total.Load()-r.headEnd > maxWireFactor*r.bodyBytes+maxWireOverhead {
		return n, errChunkOverhead
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	err = responsehead.EndOfBody(r.EndsWithConnection, r.requestCut)
	r.complete = errors.Is(err, io.EOF)
	return n, err
}

// Close ends the exchange. The connection is kept for reuse only if the response was read
// completely and the replica has neither announced a close nor sent further data.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	cancelled := !r.stop()
	if cancelled || !r.complete || r.resp.Close || r.conn.reader.Buffered() > 0 {
		r.conn.Close()
		r.pool.removeActive(r.conn)
		return
	}
	r.pool.putIdle(r.conn, keepAliveTimeout(r.Headers.Get("Keep-Alive")))
}
