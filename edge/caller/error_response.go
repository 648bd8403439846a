package caller

import (
	"encoding/json"
	"net/http"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/platform"
	"siskinstand.example/service/http1"
)

var reasonStatuses = map[verdict.Reason]int{
	verdict.ReasonBadRequest:     http.StatusBadRequest,
	verdict.ReasonUnauthorized:   http.StatusUnauthorized,
	verdict.ReasonUnknownService: http.StatusNotFound,
	verdict.ReasonBodyTooLarge:   http.StatusRequestEntityTooLarge,
	verdict.ReasonHeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	verdict.ReasonSlowCaller:     http.StatusRequestTimeout,
}

// statusCode returns the HTTP status of an error. 503 guarantees that the request has
// not run and never will; 502 and 504 guarantee nothing.
func statusCode(e *verdict.Error) int {
	if status, ok := reasonStatuses[e.Reason]; ok && e.RetryAfter == 0 {
		return status
	}
	switch {
	case e.Verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case e.Reason == verdict.ReasonDeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeError writes an error response of this host, or aborts a started response.
func (q *request) writeError(e *verdict.Error) {
	q.reason, q.detail = e.Reason, e.Message
	if e.Err != nil {
		q.detail += ": " + e.Err.Error()
	}
	if q.responseStarted || e.Reason == verdict.ReasonCancelled {
		q.recordIncomplete(e.Reason)
	}
	if q.responseStarted {
		http1.Abort(q.httpRequest)
	}
	q.status = statusCode(e)
	h := q.writer.Header()
	platform.SetErrorHeaders(h, q.headers.AttemptID, e.RetryAfter)
	h.Set("Content-Type", "application/json")
	if e.RetryAfter == otherHostRetryAfter {
		// The load balancer may route a new connection to another host.
		h.Set("Connection", "close")
	}
	var body struct {
		Error struct {
			Code       string `json:"code"`
			Message    string `json:"message"`
			Verdict    string `json:"verdict"`
			RetryAfter int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	body.Error.Code, body.Error.Message = string(e.Reason), e.Message
	body.Error.Verdict, body.Error.RetryAfter = string(e.Verdict), e.RetryAfter.Milliseconds()
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	q.limitRefusal()
	q.writer.WriteHeader(q.status)
	if _, err := q.writer.Write(data); err != nil { // the caller has disconnected
		q.recordIncomplete(verdict.ReasonCancelled)
	}
}
