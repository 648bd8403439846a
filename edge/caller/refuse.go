package caller

import (
	"encoding/json"
	"hash/fnv"
	"net/http"

	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
	"siskinstand.example/platform"
)

var reasonStatuses = map[verdict.Reason]int{
	verdict.ReasonBadRequest:     http.StatusBadRequest,
	verdict.ReasonUnauthorized:   http.StatusUnauthorized,
	verdict.ReasonUnknownService: http.StatusNotFound,
	verdict.ReasonBodyTooLarge:   http.StatusRequestEntityTooLarge,
	verdict.ReasonHeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	verdict.ReasonSlowCaller:     http.StatusRequestTimeout,
}

// statusCode returns the status of a refusal. 503 promises that the request has
// not run and never will; 502 and 504 promise nothing.
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

// refuse writes the host's own answer, or cuts an answer that has begun.
func (q *request) refuse(e *verdict.Error) {
	q.reason, q.detail = e.Reason, e.Message
	if e.Err != nil {
		q.detail += ": " + e.Err.Error()
	}
	if q.responseStarted {
		// The missing end tells the caller that the answer is not complete.
		panic(http.ErrAbortHandler)
	}
	q.status = statusCode(e)
	h := q.writer.Header()
	platform.SetRefusalHeaders(h, q.headers.AttemptID, e.RetryAfter)
	h.Set("Content-Type", "application/json")
	if e.RetryAfter == otherHostRetryAfter {
		// A new connection may reach another host.
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
		panic(err) // the structure holds only text and numbers
	}
	q.writer.WriteHeader(q.status)
	_, _ = q.writer.Write(data) // a caller that has left reads no refusal
}

// hashFraction spreads attempts over [0, 1).
func hashFraction(attempt string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(attempt)) // a hash never fails
	return float64(h.Sum64()>>11) / (1 << 53)
}

// fingerprint identifies a request that comes again: the same path, caller and body.
func fingerprint(r *http.Request, key string, body []byte) suspect.Fingerprint {
	h := fnv.New64a()
	for _, text := range []string{r.Method, r.Host, requestTarget(r), key} {
		_, _ = h.Write([]byte(text))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return suspect.Fingerprint(h.Sum64())
}
