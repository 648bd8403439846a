package http1

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"siskinstand.example/coord/bytebudget"
	"siskinstand.example/service/membudget"
	"siskinstand.example/service/socket"
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
	// isReset is true if Close resets the connection.
	isReset atomic.Bool
	// drainsOnClose is true if Close drains the connection.
	drainsOnClose atomic.Bool
	// claim is charged for the connection, and for chargedBytes of the header.
	claim        *membudget.Claim
	chargedBytes int
	// receivedBytes counts the bytes of the awaited request, and methodBytes those of
	// its method.
	receivedBytes    int
	methodBytes      int
	isMethodComplete bool
	// endsHeader is true if the bytes read last end with an empty line, the end of a
	// header.
	endsHeader bool
	// deadlineCalls counts the deadlines that net/http has set since the last request. It
	// sets the second one once it has the first bytes of the next request.
	deadlineCalls int
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
	// isCutOff is true if the caller gave way while its header was arriving.
	isCutOff bool
}

// updateState is called when net/http changes the state of the connection. The state
// becomes active when a header, even an invalid one, has been read.
func (c *conn) updateState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.awaitsHeader.Store(false)
		c.keepRequest()
		c.setBusy(true) // its bytes may have been read together with the previous request
	case http.StateIdle:
		c.isHandled.Store(false)
		c.receivedBytes, c.methodBytes, c.isMethodComplete = 0, 0, false
		c.mayStartInside = !c.endsHeader
		c.headerDeadline = time.Time{}
		c.deadlineCalls = 0
		c.releaseHeader()
		c.drainsOnClose.Store(false)
		c.awaitsHeader.Store(true)
		c.setBusy(false)
		_ = c.claim.SetPhase(bytebudget.PhaseArriving) // a claim in use does not give way
	}
}

func (c *conn) setBusy(isBusy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBusy && !isBusy {
		c.unusedSince = time.Now()
	}
	c.isBusy = isBusy
	if isBusy && c.isRetired {
		c.isRetired = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only for a closed connection, whose next read fails too
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

// readFirst reads the first bytes of a request, also if the wait for them has just ended.
func (c *conn) readFirst(p []byte) (int, error) {
	n, err := socket.Read(c.Conn, p)
	if n > 0 {
		c.setBusy(true)
		c.headerDeadline = time.Now().Add(c.server.config.Timeouts().Header)
		_ = c.Conn.SetReadDeadline(c.headerDeadline) // fails only for a closed connection, whose next read fails too
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
		if !c.chargeHeader(n) {
			return 0, c.reject(http.StatusServiceUnavailable)
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
	awaitsHeader := c.awaitsHeader.Load() && !t.IsZero()
	if awaitsHeader {
		if c.deadlineCalls++; c.deadlineCalls == 2 && c.receivedBytes == 0 {
			c.acceptBufferedBytes()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if awaitsHeader {
		if t = c.headerDeadline; t.IsZero() {
			t = time.Now().Add(c.server.config.Timeouts().Idle)
		}
		if c.isRetired || c.isCutOff {
			t = time.Now()
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// acceptBufferedBytes handles the first bytes of a request that net/http has read together
// with the previous request, so that Read does not see them.
func (c *conn) acceptBufferedBytes() {
	c.receivedBytes = 1 // the number does not matter
	c.headerDeadline = time.Now().Add(c.server.config.Timeouts().Header)
	c.setBusy(true)
}

// Write reports responses that net/http sends without calling the handler.
func (c *conn) Write(p []byte) (int, error) {
	if !c.isHandled.Load() && c.isRejected.CompareAndSwap(false, true) {
		c.server.config.OnReject(Rejection{CallerAddress: c.RemoteAddr().String(), Status: parseStatus(p)})
	}
	return c.Conn.Write(p)
}
