package caller

import (
	"errors"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/service/http1"
)

var (
	errCutOff    = errors.New("the response was cut off because the caller reads too slowly")
	errDiscarded = errors.New("the rest of the response is discarded because the host stops or the response is incomplete")
)

// canWrite reports whether the given number of bytes can be written to the caller without
// waiting. Without a socket, as with TLS, every write is allowed and may wait.
func (q *request) canWrite(n int) bool {
	if !q.socketRead {
		q.socketRead = true
		if raw := http1.Socket(q.httpRequest.Context()); raw != nil {
			q.socket = newCallerSocket(raw)
		}
	}
	if q.socket == nil {
		return true
	}
	return (q.backlog == nil || !q.backlog.isWriting()) && n <= maxDirectBytes && q.socket.writable()
}

// hold holds events for a caller that is not ready for them.
func (q *request) hold(events []byte) error {
	if q.backlog == nil {
		q.backlog = newBacklog(q, q.socket)
	}
	return q.backlog.add(events)
}

// writeSlowly writes a complete body in pieces, as the caller reads it.
func (q *request) writeSlowly(parts [][]byte) error {
	q.backlog = newBacklog(q, q.socket)
	q.backlog.claim = q.responseClaim
	return q.backlog.writeBuffered(parts)
}

// readerError returns the error of a response that was cut off because of its caller, or nil.
// The request has run: a part of its response has been written.
func (q *request) readerError() *verdict.Error {
	if q.backlog == nil {
		return nil
	}
	limit, err := q.backlog.failure()
	switch {
	case limit != "":
		return verdict.New(verdict.MayHaveRun, verdict.ReasonSlowCaller, "the caller reads too slowly: [callers] %s", limit)
	case errors.Is(err, errDiscarded):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonShuttingDown, "the shutdown time of this host is over")
	case err != nil:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "%s", q.disconnectCause()).WithCause(err)
	}
	return nil
}

// awaitRead waits until the caller has been sent all that is held for it. The time limit of the
// request does not apply, since its answer is ready.
func (q *request) awaitRead() *verdict.Error {
	if q.backlog == nil {
		return nil
	}
	if done := q.backlog.writing(); done != nil {
		select {
		case <-done:
		case <-q.httpRequest.Context().Done():
			q.backlog.fail("", q.httpRequest.Context().Err())
		case <-q.server.ended.Done():
			q.backlog.fail("", errDiscarded)
		}
		<-done
	}
	return q.readerError()
}

// discardUnread discards what is held for the caller of a response that is to be aborted.
func (q *request) discardUnread() {
	if q.backlog == nil {
		return
	}
	q.backlog.fail("", errDiscarded)
	if done := q.backlog.writing(); done != nil {
		<-done
	}
}
