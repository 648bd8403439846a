package replica

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"siskinstand.example/coord/responsehead"
	"siskinstand.example/service/socket"
)

const (
	// maxHeadBytes is the maximum size of the status line and headers of a response, beyond
	// what the read buffer holds.
	maxHeadBytes = 32 << 10
	// headTimeout is the time from the first byte of a response to the end of its headers.
	// Replicas send both in one write.
	headTimeout = 2 * time.Second
)

var errHeadTooLong = errors.New("status line and headers of the response exceed 32 KiB")

// arrivedReader reads what arrived before a read deadline also after it. A host that was held up
// would otherwise lose responses which came in time.
type arrivedReader struct{ net.Conn }

func (r arrivedReader) Read(p []byte) (int, error) { return socket.Read(r.Conn, p) }

// budgetReader limits how many bytes are read while isLimited is set, and checks them as the head
// of a response. A faulty replica may send a head without end, which http.ReadResponse would keep
// in memory, or one that http.ReadResponse repairs.
type budgetReader struct {
	source    io.Reader
	isLimited bool
	remaining int
	head      responsehead.Checker
	// total counts all bytes read, and lastRead is the time of the last ones since clockStart.
	total    atomic.Int64
	lastRead atomic.Int64
}

// clockStart is the start of the clock of budgetReader.lastRead. That clock stops during a
// suspension, unlike bootclock, but reading it needs no system call.
var clockStart = time.Now()

// record records that bytes were read.
func (r *budgetReader) record(n int) {
	if n > 0 {
		r.total.Add(int64(n))
		r.lastRead.Store(int64(time.Since(clockStart)))
	}
}

// heardWithin reports whether bytes were read within the given time.
func (r *budgetReader) heardWithin(d time.Duration) bool {
	return r.total.Load() > 0 && time.Since(clockStart)-time.Duration(r.lastRead.Load()) <= d
}

func (r *budgetReader) Read(p []byte) (int, error) {
	if !r.isLimited {
		n, err := r.source.Read(p)
		r.record(n)
		return n, err
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.record(n)
	if r.head.Feed(p[:n]); r.head.Err() != nil {
		err = r.head.Err()
	}
	return n, err
}

// beginHead limits and checks the bytes that follow. buffered are those of the head that have been
// read before.
func (r *budgetReader) beginHead(buffered []byte) error {
	r.isLimited, r.remaining = true, maxHeadBytes
	r.head.Reset()
	r.head.Feed(buffered)
	return r.head.Err()
}

// endHead ends the limit and returns why the head is not acceptable, or nil.
func (r *budgetReader) endHead() error {
	r.isLimited = false
	return r.head.Err()
}

// readHead waits for the head of a response and reads it. The deadline, if it is not zero,
// limits the wait for its first byte.
func (c *conn) readHead(req *http.Request, deadline time.Time) (*http.Response, error) {
	_ = c.SetReadDeadline(deadline) // fails only for a closed connection, whose next read fails too
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Now().Add(headTimeout))
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	if err := c.budget.beginHead(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if headErr := c.budget.endHead(); headErr != nil {
		return nil, headErr
	}
	_ = c.SetReadDeadline(time.Time{})
	return resp, err
}
