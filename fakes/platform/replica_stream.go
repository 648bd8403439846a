package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// streamEvents writes a stream, starting after Last-Event-Id, and reports whether
// it is complete.
func (r *Replica) streamEvents(w http.ResponseWriter, q *http.Request, mode ResponseMode) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil && mode != ResponseRestartedStream {
		first = last + 1
	}
	control := http.NewResponseController(w)
	for i := first; i < r.config.StreamEvents; i++ {
		if mode == ResponseTruncated && i >= r.config.StreamEvents/2 {
			fmt.Fprintf(w, "id: %d\nda", i)
			_ = control.Flush() // the connection is closed next
			panic(http.ErrAbortHandler)
		}
		if r.config.UnreadTimeout > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(r.config.UnreadTimeout)) // a closed connection fails the write below
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d%s\n\n", i, i, strings.Repeat(" ", r.config.EventBytes))
		if err := control.Flush(); err != nil {
			r.recordUnread(q.Header.Get("Attempt-Id"), err)
			return false
		}
		select {
		case <-q.Context().Done():
			return false
		case <-time.After(r.config.EventInterval):
		}
	}
	return true
}

// recordUnread marks the last run of a request if its response was cut off by UnreadTimeout.
func (r *Replica) recordUnread(attemptID string, err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		run.Unread = run.Unread || run.AttemptID == attemptID
	}
}

// unreadSendBuffer is the size of the send buffer of a connection with UnreadTimeout, so that
// a response that is not read soon fills it.
const unreadSendBuffer = 16 << 10

func (r *Replica) limitSendBuffer(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*net.TCPConn); ok && r.config.UnreadTimeout > 0 {
		_ = t.SetWriteBuffer(unreadSendBuffer) // a closed connection fails its next read
	}
	return ctx
}

// hold counts the body of a request until the returned function is called. It crashes the
// replica if the bodies exceed MaxHeldBytes.
func (r *Replica) hold(n int) func() {
	r.mu.Lock()
	r.heldBytes += n
	isTooMuch := r.config.MaxHeldBytes > 0 && r.heldBytes > r.config.MaxHeldBytes
	r.mu.Unlock()
	if isTooMuch {
		r.crash()
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.heldBytes -= n
	}
}
