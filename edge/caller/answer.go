package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"siskinstand.example/coord/catalog"
	"siskinstand.example/coord/health"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/edge/control"
	"siskinstand.example/edge/replica"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// bufferedResponse is a complete answer of a replica.
type bufferedResponse struct {
	status  int
	headers http.Header
	body    []byte
}

// handleResponse reads a replica's answer and passes it on.
func (q *request) handleResponse(ctx context.Context, g control.Assignment, a *replica.Response) outcome {
	success := a.Status >= 200 && a.Status < 300
	// A replica's 400 is about the caller's request, unless it got helpers with it.
	if a.Info.NotRun && (a.Status != http.StatusBadRequest || len(g.Helpers) > 0) {
		return q.rejectedOutcome(g, a)
	}
	if success && (!a.Info.Stamped || a.Info.Encoded) {
		return brokenOutcome("the answer is not the replica's own", nil)
	}
	if success && q.isStream(a) {
		q.server.config.Loop.ResponseStarted(g)
		return q.stream(ctx, a)
	}
	if q.responseStarted {
		// Its bytes would be joined to the events that the caller has.
		return brokenOutcome("the continuation of a stream is no stream", nil)
	}
	held, err := q.bufferResponse(a)
	if err != nil {
		if ctx.Err() != nil {
			q.mayHaveRun = true
			return outcome{err: q.contextError(ctx), health: health.Served}
		}
		return brokenOutcome("the answer broke off", err)
	}
	if a.Status >= 500 {
		return outcome{response: held, health: health.Failed}
	}
	q.writeResponse(held)
	return outcome{health: health.Served}
}

func brokenOutcome(message string, err error) outcome {
	return outcome{err: verdict.New(verdict.MayHaveRun, verdict.ReasonEngineFailed, "%s", message).WithCause(err), health: connectionOutcome(err)}
}

// connectionOutcome tells a replica that confirms nothing from one that closed.
func connectionOutcome(err error) health.Outcome {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return health.Silent
	}
	return health.Broken
}

func (q *request) isStream(a *replica.Response) bool {
	return q.route.Repeat == catalog.RepeatStream && strings.HasPrefix(a.Headers.Get("Content-Type"), "text/event-stream")
}

// rejectedOutcome is an answer that says that the request did not run.
func (q *request) rejectedOutcome(g control.Assignment, a *replica.Response) outcome {
	// The body is read so that the connection can be kept.
	_, err := io.Copy(io.Discard, io.LimitReader(a, q.server.config.MaxAnswerBytes))
	e := verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the replica answered %d without running", a.Status).WithRetryAfter(q.route.Objective)
	if err != nil {
		e = e.WithCause(err)
	}
	o := outcome{err: e, health: health.Full}
	for _, h := range g.Helpers {
		if a.Info.FailedReplica != "" && (a.Info.FailedReplica == h.ID || a.Info.FailedReplica == h.Address) {
			// The replica itself did nothing wrong.
			o.health, o.failedHelper = health.Served, h
			return o
		}
	}
	if a.Info.WrongReplica {
		o.health = health.Replaced
	}
	return o
}

var errResponseTooLong = errors.New("the answer is longer than the limit")

// bufferResponse reads a whole answer, so that one that breaks off can be repeated.
func (q *request) bufferResponse(a *replica.Response) (*bufferedResponse, error) {
	limit := q.server.config.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errResponseTooLong
	}
	return &bufferedResponse{status: a.Status, headers: platform.CallerResponseHeaders(a.Headers), body: body}, nil
}

// writeResponse writes a replica's whole answer to the caller.
func (q *request) writeResponse(h *bufferedResponse) {
	q.status = h.status
	q.writeHead(h.headers)
	if h.status != http.StatusNoContent && h.status != http.StatusNotModified {
		q.writer.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	q.writer.WriteHeader(h.status)
	q.firstByte = bootclock.Now() - q.received
	if _, err := q.writer.Write(h.body); err != nil {
		q.detail = "the caller left: " + err.Error()
	}
}

func (q *request) writeHead(headers http.Header) {
	h := q.writer.Header()
	closing := h.Get("Connection")
	for name, values := range headers {
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, ok := headers["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	q.responseStarted = true
}
