package httpapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"siskinstand.example/coord/verdict"
)

// statusClientClosed is the non-standard status commonly used for a request whose
// caller has disconnected. The caller does not receive it, and metrics have the
// reason instead of the status.
const statusClientClosed = 499

var statusByReason = map[verdict.Reason]int{
	verdict.ReasonBadRequest:             http.StatusBadRequest,
	verdict.ReasonUnauthorized:           http.StatusUnauthorized,
	verdict.ReasonUnknownModel:           http.StatusNotFound,
	verdict.ReasonUnknownService:         http.StatusNotFound,
	verdict.ReasonSlowCaller:             http.StatusRequestTimeout,
	verdict.ReasonPromptTooLong:          http.StatusBadRequest,
	verdict.ReasonBodyTooLarge:           http.StatusRequestEntityTooLarge,
	verdict.ReasonIdempotencyKeyRequired: http.StatusBadRequest,
	verdict.ReasonIdempotencyKeyReused:   http.StatusUnprocessableEntity,
	verdict.ReasonDuplicateRequest:       http.StatusConflict,
	verdict.ReasonDeadlineExceeded:       http.StatusGatewayTimeout,
	verdict.ReasonDeadlineTooNear:        http.StatusServiceUnavailable,
	verdict.ReasonCrashSuspect:           http.StatusUnprocessableEntity,
	verdict.ReasonEngineFailed:           http.StatusBadGateway,
	verdict.ReasonConnectionLost:         http.StatusBadGateway,
	verdict.ReasonCancelled:              statusClientClosed,
	verdict.ReasonInternal:               http.StatusInternalServerError,
}

func httpStatus(r verdict.Reason) int {
	if status, ok := statusByReason[r]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         verdict.Reason  `json:"code"`
	Message      string          `json:"message"`
	Verdict      verdict.Verdict `json:"verdict"`
	RetryAfterMs int64           `json:"retry_after_ms"`
}

func newErrorBody(err error) (*verdict.Error, errorBody) {
	var v *verdict.Error
	if !errors.As(err, &v) {
		v = verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "unexpected failure")
	}
	return v, errorBody{Error: errorDetail{
		Code: v.Reason, Message: v.Message, Verdict: v.Verdict, RetryAfterMs: v.RetryAfter.Milliseconds(),
	}}
}

// writeError writes an error response, unless the response has already started.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, errResponseStarted) {
		return
	}
	v, body := newErrorBody(err)
	status := httpStatus(v.Reason)
	s.metrics.Tagged(map[string]string{"verdict": string(v.Verdict), "reason": string(v.Reason)}).Counter("refusals").Inc(1)
	if v.RetryAfter > 0 {
		seconds := (v.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, s.config.Limits.WriteTimeout, status, body)
}

// errResponseStarted reports a failure after the response has started, when an
// error response can no longer be sent.
var errResponseStarted = errors.New("response already started")

func writeJSON(w http.ResponseWriter, timeout time.Duration, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":{"code":"internal","message":"answer not encodable","verdict":"may_have_run","retry_after_ms":0}}`)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(data, '\n'))
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	body := errorBody{Error: errorDetail{
		Code: verdict.ReasonBadRequest, Message: "no such path or method: " + r.Method + " " + r.URL.Path, Verdict: verdict.NotRun,
	}}
	writeJSON(w, s.config.Limits.WriteTimeout, http.StatusNotFound, body)
}
