package http1

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// conn inspects the bytes of a request before net/http passes the request to the
// handler. net/http uses the fields that are neither atomic nor guarded by mu from one
// goroutine at a time. Other goroutines access only the others.
type conn struct {
	net.Conn
	server *Server
	// awaitsHeader is true until the header of the next request is complete.
	awaitsHeader atomic.Bool
	// isHandled is true from the call of the handler until the connection is idle.
	isHandled atomic.Bool
	// isRejected is true once a rejection was reported or sent.
	isRejected atomic.Bool
	// isDraining is true once the write side was closed; see CloseWrite.
	isDraining atomic.Bool
	// isClosed is true once the server has called Close.
	isClosed atomic.Bool
	// receivedBytes counts the bytes of the awaited request, and methodBytes those of
	// its method.
	receivedBytes    int
	methodBytes      int
	isMethodComplete bool
	// endsHeader is true if the bytes read last end with an empty line, the end of a
	// header.
	endsHeader bool
	// mayStartInside is true if the first bytes of the awaited request may have been read
	// together with the previous request.
	mayStartInside bool
	// headerDeadline is the time by which the header must be complete.
	headerDeadline time.Time

	// mu guards the fields below and, while isBusy is false, the read deadline.
	mu sync.Mutex
	// isBusy is true from the first byte of a request to the end of its response.
	isBusy bool
	// unusedSince is the time since which isBusy is false.
	unusedSince time.Time
	// isRetired is true if the connection is to be closed unless a request has arrived.
	isRetired bool
}

// updateState is called when net/http changes the state of the connection. The state
// becomes active when a header, even an invalid one, has been read.
func (c *conn) updateState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.awaitsHeader.Store(false)
		c.setBusy(true) // its bytes may have been read together with the previous request
	case http.StateIdle:
		c.isHandled.Store(false)
		c.receivedBytes, c.methodBytes, c.isMethodComplete = 0, 0, false
		c.mayStartInside = !c.endsHeader
		c.headerDeadline = time.Time{}
		c.awaitsHeader.Store(true)
		c.setBusy(false)
	}
}

func (c *conn) setBusy(isBusy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBusy && !isBusy {
		c.unusedSince = time.Now()
	}
	c.isBusy = isBusy
	if isBusy {
		c.isRetired = false
	}
}

// retireIfUnused makes the reader of the connection close it, unless it has had a request
// since the given time. Only the reader knows whether the first bytes of a request have
// arrived, so no other goroutine may close an unused connection.
func (c *conn) retireIfUnused(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBusy || c.isRetired || c.unusedSince.After(since) {
		return
	}
	c.isRetired = true
	_ = c.Conn.SetReadDeadline(time.Now()) // ends the wait of readFirst; a closed connection has no reader
}

// finalReadTimeout limits the last read from an unused connection before it is closed.
const finalReadTimeout = time.Millisecond

// readFirst reads the first bytes of a request. When the wait for them ends by a deadline,
// it reads once more, since bytes may have arrived that the read did not look for.
func (c *conn) readFirst(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.Conn.SetReadDeadline(time.Now().Add(finalReadTimeout)) // fails only for a closed connection, whose next read fails too
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.setBusy(true)
		c.headerDeadline = time.Now().Add(c.server.config.Timeouts().Header)
		_ = c.Conn.SetReadDeadline(c.headerDeadline) // as above
	}
	return n, err
}

// Read rejects bytes that cannot be part of a request, and headers that are not
// complete in time.
func (c *conn) Read(p []byte) (int, error) {
	read := c.Conn.Read
	if c.awaitsHeader.Load() && c.receivedBytes == 0 {
		read = c.readFirst
	}
	n, err := read(p)
	if n > 0 {
		c.endsHeader = endsWithEmptyLine(p[:n])
	}
	if !c.awaitsHeader.Load() {
		return n, err
	}
	if n > 0 {
		c.receivedBytes += n
		if !c.mayBeRequest(p[:n]) {
			return 0, c.reject(http.StatusBadRequest)
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.receivedBytes > 0 {
		return 0, c.reject(http.StatusRequestTimeout)
	}
	return n, err
}

// SetReadDeadline applies the current timeouts instead of the given deadline while a
// request is awaited. A zero deadline still removes the deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsHeader.Load() && !t.IsZero() {
		if t = c.headerDeadline; t.IsZero() {
			t = time.Now().Add(c.server.config.Timeouts().Idle)
		}
		if c.isRetired {
			t = time.Now()
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Write reports responses that net/http sends without calling the handler.
func (c *conn) Write(p []byte) (int, error) {
	if !c.isHandled.Load() && c.isRejected.CompareAndSwap(false, true) {
		c.server.config.OnReject(Rejection{CallerAddress: c.RemoteAddr().String(), Status: parseStatus(p)})
	}
	return c.Conn.Write(p)
}
