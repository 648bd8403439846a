package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/edge/control"
	"siskinstand.example/edge/replica"
	"siskinstand.example/service/bootclock"
	"siskinstand.example/service/membudget"
)

// bufferedResponse is a complete response of a replica, held in memory.
type bufferedResponse struct {
	status  int
	headers http.Header
	body    [][]byte
}

// handleResponse reads a replica's response. It passes the response on to the caller unless
// it is a rejection, is incomplete or invalid, or has a status of 500 or above.
func (q *request) handleResponse(ctx context.Context, assignment control.Assignment, resp *replica.Response) outcome {
	if resp.Info.Leaving && !resp.Info.WrongReplica {
		q.server.config.Loop.RecordLeaving(assignment.Target, q.headers.AttemptID)
	}
	if resp.Info.Pause > 0 {
		q.server.config.Loop.RecordPause(assignment.Target, resp.Info.Pause, q.headers.AttemptID)
	}
	success := resp.Status >= 200 && resp.Status < 300
	// A 400 from a replica refers to the caller's request, unless helpers were sent with
	// it: then it may refer to the helpers.
	if resp.Info.NotRun && (resp.Status != http.StatusBadRequest || len(assignment.Helpers) > 0) {
		return q.rejectedOutcome(assignment, resp)
	}
	if success && (!resp.Info.Stamped || resp.Info.Encoded) {
		return brokenOutcome("the answer is not the replica's own", nil)
	}
	if success && q.isStream(resp) {
		q.server.config.Loop.RecordResponseStart(assignment)
		return q.stream(ctx, assignment, resp)
	}
	if q.responseStarted {
		// Its bytes would be appended to the events that the caller already has.
		return brokenOutcome("the continuation of a stream is no stream", nil)
	}
	buffered, err := q.bufferResponse(resp)
	if err != nil {
		if ctx.Err() != nil {
			q.mayHaveRun = true
			return outcome{err: q.contextError(ctx), health: health.Served}
		}
		if errors.Is(err, membudget.ErrExhausted) {
			return outcome{err: verdict.New(verdict.MayHaveRun, verdict.ReasonOverloaded, "no memory for the answer").WithCause(err), health: health.Served, aborted: true, began: true}
		}
		if resp.Info.NotRun {
			// The head alone says so. The rest of the refusal is lost.
			return outcome{err: verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the refusal of the replica broke off").WithCause(err).WithRetryAfter(q.route.Objective), health: health.Broken, fault: faultOf(err)}
		}
		o := brokenOutcome("the answer broke off", err)
		o.mayHaveCrashed, o.aborted, o.began = true, !endedByReplica(err), true
		return o
	}
	if resp.Status >= 500 {
		return outcome{response: buffered, health: health.Failed}
	}
	// The replica has run the request, whatever the caller reads of the response.
	if err := q.writeResponse(buffered); err != nil {
		return outcome{err: err, health: health.Served, finished: success}
	}
	return outcome{health: health.Served, finished: success}
}

// brokenOutcome returns the outcome of a send whose response is incomplete or invalid.
func brokenOutcome(message string, err error) outcome {
	return outcome{err: verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "%s", message).WithCause(err), health: connectionOutcome(err), fault: faultOf(err)}
}

// endedByReplica reports whether reading a response failed because the connection ended, and
// not because of the bytes that the replica had sent.
func endedByReplica(err error) bool {
	var opError *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errNoEvents) || errors.As(err, &opError)
}

// connectionOutcome distinguishes a replica that stopped acknowledging data from one that
// closed the connection or sent an invalid response.
func connectionOutcome(err error) health.Outcome {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return health.Silent
	}
	return health.Broken
}

func (q *request) isStream(resp *replica.Response) bool {
	return q.route.Repeat == catalog.RepeatStream && strings.HasPrefix(resp.Headers.Get("Content-Type"), "text/event-stream")
}

// rejectedOutcome returns the outcome of a response that states that the request did not
// run.
func (q *request) rejectedOutcome(assignment control.Assignment, resp *replica.Response) outcome {
	err := resp.Discard()
	e := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the replica answered %d without running", resp.Status).WithRetryAfter(max(q.route.Objective, min(resp.Info.Pause, q.timeLeft(bootclock.Now())/3)))
	if err != nil {
		e = e.WithCause(err)
	}
	o := outcome{err: e, health: health.Full}
	for _, h := range assignment.Helpers {
		if resp.Info.FailedReplica != "" && (resp.Info.FailedReplica == h.ID || resp.Info.FailedReplica == h.Address) {
			// The helper failed, not the replica.
			o.health, o.failedHelper = health.Served, h
			return o
		}
	}
	if resp.Info.WrongReplica {
		o.health = health.Replaced
	}
	return o
}

var errResponseTooLong = errors.New("response exceeds max_answer_bytes")

// writeResponse writes a buffered response to the caller. The error states at which limit it
// was cut off.
func (q *request) writeResponse(resp *bufferedResponse) *verdict.Error {
	defer func() { q.responseClaim.Close() }()
	q.status = resp.status
	q.startResponse(resp.headers)
	if resp.status != http.StatusNoContent && resp.status != http.StatusNotModified {
		q.writer.Header().Set("Content-Length", strconv.Itoa(resp.length()))
	}
	q.writer.WriteHeader(resp.status)
	q.timeToFirstByte = bootclock.Now() - q.received
	err := q.writeBufferedBody(resp)
	if cutOff := q.readerError(); cutOff != nil {
		return cutOff
	}
	if err != nil {
		q.recordWriteFailure(err)
	}
	return nil
}

// startResponse sets the headers of the response to the caller and marks the response as
// started.
func (q *request) startResponse(headers http.Header) {
	h := q.writer.Header()
	connection := h.Get("Connection")
	for name, values := range headers {
		h[name] = values
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if _, ok := headers["Content-Type"]; !ok {
		h["Content-Type"] = nil // disables content sniffing in net/http
	}
	q.responseStarted = true
}
