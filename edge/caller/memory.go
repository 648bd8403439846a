package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"siskinstand.example/coord/bytebudget"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/edge/replica"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
	"siskinstand.example/service/http1"
	"siskinstand.example/service/membudget"
)

// memoryRetryAfter is the retry delay for callers that are refused because the memory for callers
// is in use. The longest wait for memory is as long, so that other bodies have ended or given way
// by then.
const memoryRetryAfter = time.Second

// openClaim opens a claim on the memory for callers. cutOff is called if the claim gives way.
func (q *request) openClaim(kind bytebudget.Kind, cutOff func()) *membudget.Claim {
	source, _, _ := net.SplitHostPort(q.httpRequest.RemoteAddr)
	account := ""
	if q.account != nil {
		account = q.account.Name
	}
	return q.server.config.Memory.Open(kind, source, account, cutOff)
}

// readBody reads the body into memory that is charged to the budget. After a refusal, the rest of
// the body is read only as far as the caller needs to receive the response.
func (q *request) readBody() *verdict.Error {
	limit := q.server.config.MaxBodyBytes
	if configured := q.view.Catalog.Limits().MaxBodyBytes; configured > 0 {
		limit = min(limit, configured)
	}
	if q.httpRequest.Body == nil || q.httpRequest.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(q.writer)
	deadline := time.Now().Add(min(q.server.config.BodyTimeout, q.timeLeft(bootclock.Now())))
	// Connections without deadline support, as in tests, are read without a timeout.
	_ = control.SetReadDeadline(deadline)
	stopReading := func() { _ = control.SetReadDeadline(time.Now()) }
	q.bodyClaim = q.openClaim(bytebudget.KindBody, stopReading)
	defer context.AfterFunc(q.server.ended, stopReading)()
	var err error
	q.body, err = membudget.ReadBody(q.httpRequest.Body, q.bodyClaim, q.httpRequest.ContentLength, limit, deadline)
	if err == nil {
		err = q.bodyClaim.Finish()
	}
	if err != nil {
		return q.refuseBody(control, limit, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	q.bodyRead = true
	return nil
}

// refuseBody returns the error for a body that was not read completely, and makes net/http close
// the connection without reading the rest.
func (q *request) refuseBody(control *http.ResponseController, limit int64, err error) *verdict.Error {
	q.body = nil
	q.bodyClaim.Close()
	q.writer.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, membudget.ErrTooLarge):
		return verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, membudget.ErrEvicted), errors.Is(err, membudget.ErrExhausted):
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the memory for callers is in use").WithCause(err).WithRetryAfter(min(memoryRetryAfter, max(q.timeLeft(bootclock.Now())/3, 0)))
	case errors.Is(err, os.ErrDeadlineExceeded) && q.server.ended.Err() != nil:
		return leavingError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.New(verdict.NotRun, verdict.ReasonSlowCaller, "the body did not arrive in time").WithCause(err)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body did not arrive whole").WithCause(err)
}

// firstBodyPart returns the first part of the body, and the others.
func (q *request) firstBodyPart() ([]byte, [][]byte) {
	if len(q.body) == 0 {
		return nil, nil
	}
	return q.body[0], q.body[1:]
}

// bufferResponse reads the whole response before anything is passed on, so that the
// request can be retried if the response is incomplete.
func (q *request) bufferResponse(resp *replica.Response) (*bufferedResponse, error) {
	limit := q.server.config.MaxAnswerBytes
	control := http.NewResponseController(q.writer)
	q.responseClaim.Close() // of an earlier send
	q.responseClaim = q.openClaim(bytebudget.KindResponse, func() { _ = control.SetWriteDeadline(time.Now()) })
	_ = q.responseClaim.SetPhase(bytebudget.PhaseInUse) // a new claim has not given way
	body, err := membudget.ReadBody(resp, q.responseClaim, -1, limit, time.Time{})
	if err != nil {
		q.responseClaim.Close()
		if errors.Is(err, membudget.ErrTooLarge) {
			return nil, errResponseTooLong
		}
		return nil, err
	}
	return &bufferedResponse{status: resp.Status, headers: platform.CallerResponseHeaders(resp.Headers), body: body}, nil
}

// writeBufferedBody writes the body of a buffered response to the caller, who may read slowly. The
// response gives way to others if the caller has stopped reading.
func (q *request) writeBufferedBody(resp *bufferedResponse) error {
	if err := q.responseClaim.SetPhase(bytebudget.PhaseDelivering); err != nil {
		return err
	}
	if !q.canWrite(resp.length()) {
		return q.writeSlowly(resp.body)
	}
	for _, part := range resp.body {
		if _, err := q.writer.Write(part); err != nil {
			return err
		}
	}
	return nil
}

const (
	// refusalWriteTimeout limits the time to write an error response.
	refusalWriteTimeout = 2 * time.Second
	// refusedBodyTimeout limits the time in which net/http reads the rest of the body of a refused
	// request, in order to keep the connection.
	refusedBodyTimeout = 500 * time.Millisecond
)

// limitRefusal limits how long a caller that neither sends nor reads holds a refused request.
func (q *request) limitRefusal() {
	control := http.NewResponseController(q.writer)
	_ = control.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // not supported in tests
	if q.httpRequest.Body == nil || q.httpRequest.Body == http.NoBody || q.bodyRead {
		return
	}
	timeout := refusedBodyTimeout
	if q.bodyClaim != nil {
		timeout = 0 // the connection is not kept
	}
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	http1.DrainOnClose(q.httpRequest)
}

// length returns the length of the body.
func (r *bufferedResponse) length() int {
	length := 0
	for _, part := range r.body {
		length += len(part)
	}
	return length
}

// bodyLength returns the length of the request's body.
func (q *request) bodyLength() int64 {
	length := int64(0)
	for _, part := range q.body {
		length += int64(len(part))
	}
	return length
}
