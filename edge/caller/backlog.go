package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/service/bootclock"
	"siskinstand.example/service/membudget"
)

const (
	// pageBytes is the size of the pieces in which bytes are held and written.
	pageBytes = 4 << 10
	// maxDirectBytes is the largest write to a writable socket that does not block; see
	// callerSocket.writable. A third of the smallest send buffer has 10 KiB.
	maxDirectBytes = 8 << 10
	// minPollInterval and maxPollInterval limit the time between two looks at a socket that
	// is not writable. The socket wakes a blocked write only when a third of its send buffer
	// is free, so a blocked write could not tell a slow caller from a stalled one.
	minPollInterval = time.Millisecond
	maxPollInterval = 250 * time.Millisecond
)

// backlog holds the part of a response that the caller has not read yet, and writes it as the
// caller reads. One goroutine writes while there is such a part; the goroutine of the request
// writes directly only while there is none.
type backlog struct {
	server *Server
	writer http.ResponseWriter
	socket *callerSocket
	id     string
	// end ends the request, so that the connection to the replica is closed.
	end context.CancelFunc
	// progressAt is the boot clock reading when the caller last accepted bytes.
	progressAt atomic.Int64
	// failed is closed when the response is cut off.
	failed chan struct{}
	// claim is charged for a buffered response; nil for a stream.
	claim *membudget.Claim

	mu sync.Mutex
	// pages are the pieces that are not written yet, oldest first. If they are slices of a
	// buffered response, they are not reused.
	pages  [][]byte
	shared bool
	// unread is the size of the pages and of the piece that is being written.
	unread int
	// done is closed when the writing goroutine ends; it is nil while there is none.
	done chan struct{}
	// limit is the limit at which the response was cut off, err why it could not be written.
	limit    string
	err      error
	isFailed bool
}

var pagePool = sync.Pool{New: func() any { return new([pageBytes]byte) }}

func newBacklog(q *request, socket *callerSocket) *backlog {
	b := &backlog{server: q.server, writer: q.writer, socket: socket, id: q.headers.AttemptID, end: q.end, failed: make(chan struct{})}
	b.progressAt.Store(int64(bootclock.Now()))
	return b
}

// writing returns a channel that is closed when the writing goroutine ends, or nil if there is
// none.
func (b *backlog) writing() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.done
}

// isWriting reports whether a goroutine writes held bytes, so that nothing else may write.
func (b *backlog) isWriting() bool { return b.writing() != nil }

// add holds further bytes of a stream. Only the goroutine of the request calls it.
func (b *backlog) add(data []byte) error {
	b.mu.Lock()
	isTooMuch := b.unread+len(data) > b.server.config.MaxUnreadBytes
	b.mu.Unlock()
	if isTooMuch {
		b.fail(limitUnreadBytes, nil)
		return errCutOff
	}
	for len(data) > 0 {
		n, err := b.fillLastPage(data)
		if err != nil {
			return err
		}
		if data = data[n:]; n > 0 {
			continue
		}
		if !b.server.unread.reserve(b, pageBytes) {
			return errCutOff
		}
		b.addPage()
	}
	return nil
}

// fillLastPage copies bytes to the rest of the last page and returns how many fit.
func (b *backlog) fillLastPage(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isFailed {
		return 0, errCutOff
	}
	if len(b.pages) == 0 {
		return 0, nil
	}
	last := &b.pages[len(b.pages)-1]
	n := min(len(data), cap(*last)-len(*last))
	*last = append(*last, data[:n]...)
	b.unread += n
	if b.done == nil {
		b.done = make(chan struct{})
		b.progressAt.Store(int64(bootclock.Now()))
		b.server.unread.add(b)
		go b.write(b.done)
	}
	return n, nil
}

// addPage adds an empty page, for which pageBytes are reserved.
func (b *backlog) addPage() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isFailed {
		b.server.unread.release(pageBytes)
		return
	}
	b.pages = append(b.pages, pagePool.Get().(*[pageBytes]byte)[:0])
}

// writeBuffered writes a complete body, in the goroutine of the request. The body is not
// copied.
func (b *backlog) writeBuffered(parts [][]byte) error {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	if !b.server.unread.reserve(b, length) {
		return errCutOff
	}
	b.mu.Lock()
	b.shared, b.unread, b.done = true, length, make(chan struct{})
	for _, part := range parts {
		for rest := part; len(rest) > 0; {
			n := min(len(rest), maxDirectBytes)
			b.pages = append(b.pages, rest[:n])
			rest = rest[n:]
		}
	}
	done := b.done
	b.mu.Unlock()
	b.server.unread.add(b)
	b.write(done)
	_, err := b.failure()
	return err
}

// failure returns the limit at which the response was cut off, or why it could not be written.
func (b *backlog) failure() (limit string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit, b.err
}

// write writes the held bytes until none is left or the response is cut off.
func (b *backlog) write(done chan struct{}) {
	defer close(done)
	control := http.NewResponseController(b.writer)
	for {
		page, ok := b.nextPage()
		if !ok {
			return
		}
		if !b.awaitWritable() {
			b.finishPage(page)
			continue // nextPage ends the loop
		}
		_, err := b.writer.Write(page)
		if err == nil {
			err = control.Flush()
		}
		b.finishPage(page)
		if err != nil {
			b.fail("", err)
		}
		if b.claim != nil {
			b.claim.Progress(int64(len(page)))
		}
	}
}

// nextPage removes the oldest page. Without one, the writing goroutine ends.
func (b *backlog) nextPage() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isFailed || len(b.pages) == 0 {
		b.done = nil
		b.server.unread.remove(b)
		return nil, false
	}
	page := b.pages[0]
	b.pages[0] = nil
	b.pages = b.pages[1:]
	return page, true
}

// finishPage releases a page that was written or is no longer needed.
func (b *backlog) finishPage(page []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unread -= len(page)
	b.releasePage(page)
}

func (b *backlog) releasePage(page []byte) {
	if b.shared {
		b.server.unread.release(len(page))
		return
	}
	pagePool.Put((*[pageBytes]byte)(page[:pageBytes]))
	b.server.unread.release(pageBytes)
}

// awaitWritable waits until the socket is writable. It returns false if the response was cut
// off, which it does itself once the caller has accepted nothing for ReadTimeout.
func (b *backlog) awaitWritable() bool {
	queued := -1
	for wait := minPollInterval; ; wait = min(2*wait, maxPollInterval) {
		now := bootclock.Now()
		if b.claim != nil && b.claim.IsEvicted() {
			b.fail("", membudget.ErrEvicted)
			return false
		}
		if b.socket.writable() {
			b.progressAt.Store(int64(now))
			return true
		}
		if n := b.socket.unacknowledged(); n != queued {
			if queued >= 0 {
				b.progressAt.Store(int64(now))
			}
			queued = n
		}
		left := b.server.config.ReadTimeout - (now - time.Duration(b.progressAt.Load()))
		if left <= 0 {
			b.fail(limitReadTimeout, nil)
			return false
		}
		timer := time.NewTimer(min(wait, left))
		select {
		case <-b.failed:
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
}

// fail cuts the response off because of a limit, or because writing it failed, and releases
// what is held. It has no effect on a response that was cut off already.
func (b *backlog) fail(limit string, err error) {
	b.mu.Lock()
	if b.isFailed {
		b.mu.Unlock()
		return
	}
	unread := b.unread
	b.isFailed, b.limit, b.err = true, limit, err
	for _, page := range b.pages {
		b.unread -= len(page)
		b.releasePage(page)
	}
	b.pages = nil
	close(b.failed)
	b.mu.Unlock()
	b.server.unread.remove(b)
	if limit != "" {
		stalled := bootclock.Now() - time.Duration(b.progressAt.Load())
		klog.V(1).InfoS("response cut off", "request_id", b.id, "limit", limit, "unread_bytes", unread, "stalled_ms", stalled.Milliseconds(), "all_unread_bytes", b.server.unread.held.Load())
		b.server.unread.recordCutOff(limit)
	}
	b.end()
}
