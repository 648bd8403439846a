package http1

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// drainTimeout limits how long a connection stays open after its last response for a caller
	// that is still sending. net/http waits as long before it closes the connection.
	drainTimeout = 500 * time.Millisecond
	// maxDrainBytes limits how much of such a caller's input is read. A caller that sends all
	// before it reads gets its response if it sends no more than this.
	maxDrainBytes = 2 << 20
	// maxLingering is the divisor for how many of MaxConnections may stay open after their last
	// response. Beyond it, the one that has been open for longest is closed.
	maxLingering = 4
)

// lingerList holds the connections whose write side was closed, oldest first.
type lingerList struct {
	mu    sync.Mutex
	conns []*conn
}

// add returns the oldest connection, which is no longer in the list, if there are more than limit,
// or nil. A limit of 0 is none.
func (l *lingerList) add(c *conn, limit int) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	if limit == 0 || len(l.conns) <= limit {
		return nil
	}
	oldest := l.conns[0]
	l.conns = slices.Delete(l.conns, 0, 1)
	return oldest
}

func (l *lingerList) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.conns, c); i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	}
}

func (l *lingerList) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) == 0
}

// wait returns when no connection is left, or with the error of ctx.
func (l *lingerList) wait(ctx context.Context) error {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for !l.isEmpty() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// DrainOnClose makes the server close the connection of a request without resetting it after the
// response, so that a caller that is still sending its body receives the response.
func DrainOnClose(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.drainsOnClose.Store(true)
	}
}

// CloseWrite closes the write side, discards up to maxDrainBytes of further input, and closes the
// connection when the caller has closed it or drainTimeout is over. It does not wait for that.
//
// Closing a connection with unread input resets it. The caller's next write then fails, and many
// callers report that instead of the response, so the connection stays open for drainTimeout even
// if nothing more is read from it.
func (c *conn) CloseWrite() error {
	if !c.isDraining.CompareAndSwap(false, true) {
		return nil
	}
	// net/http keeps the connection for another 0.5 s, in which it holds nothing.
	c.server.track(c, false)
	c.claim.Close()
	// The connections of a netutil.LimitListener do not implement CloseWrite.
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite() // if the connection is closed, the read below ends
	}
	end := time.Now().Add(drainTimeout)
	_ = c.Conn.SetReadDeadline(end)
	limit := c.server.config.MaxConnections
	if limit > 0 {
		limit = max(1, limit/maxLingering)
	}
	if oldest := c.server.lingering.add(c, limit); oldest != nil {
		oldest.endDrain()
	}
	go func() {
		if _, err := io.CopyN(io.Discard, c.Conn, maxDrainBytes); err != nil {
			c.endDrain() // the caller has closed the connection, or drainTimeout is over
			return
		}
		time.AfterFunc(time.Until(end), c.endDrain)
	}()
	return nil
}

// endDrain closes a connection after CloseWrite. It may be called more than once.
func (c *conn) endDrain() {
	c.server.lingering.remove(c)
	_ = c.Conn.Close() // fails only for a connection that is closed already
}
