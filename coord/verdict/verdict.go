// Package verdict classifies failed requests by whether they may have run. Retry
// and refusal decisions depend only on the verdict and the reason of an error, never
// on its text.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request has run.
type Verdict string

// Verdicts. NotRun may only be used if nothing was sent, or if the sidecar that owns
// the endpoint, or the replica, confirmed that the request did not start.
const (
	NotRun     Verdict = "not_run"
	MayHaveRun Verdict = "may_have_run"
	Ran        Verdict = "ran"
)

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// Reasons that are visible to callers and peers.
const (
	ReasonBadRequest             Reason = "bad_request"
	ReasonSlowCaller             Reason = "slow_caller"
	ReasonUnauthorized           Reason = "unauthorized"
	ReasonUnknownModel           Reason = "unknown_model"
	ReasonUnknownService         Reason = "unknown_service"
	ReasonPromptTooLong          Reason = "prompt_too_long"
	ReasonBodyTooLarge           Reason = "body_too_large"
	ReasonHeaderTooLarge         Reason = "header_too_large"
	ReasonIdempotencyKeyRequired Reason = "idempotency_key_required"
	ReasonIdempotencyKeyReused   Reason = "idempotency_key_reused"
	ReasonDuplicateRequest       Reason = "duplicate_request"
	ReasonDeadlineExceeded       Reason = "deadline_exceeded"
	ReasonDeadlineTooNear        Reason = "deadline_too_near"
	ReasonOverloaded             Reason = "overloaded"
	ReasonNoEndpoint             Reason = "no_endpoint"
	ReasonZoneOut                Reason = "zone_out"
	ReasonEndpointLeaving        Reason = "endpoint_leaving"
	ReasonEndpointStarting       Reason = "endpoint_starting"
	ReasonEngineDown             Reason = "engine_down"
	ReasonEngineFailed           Reason = "engine_failed"
	ReasonSuspectRequest         Reason = "suspect_request"
	ReasonCrashSuspect           Reason = "crash_suspect"
	ReasonStaleConfig            Reason = "stale_config"
	ReasonStoreUnavailable       Reason = "store_unavailable"
	ReasonNoConfig               Reason = "no_configuration"
	ReasonShuttingDown           Reason = "shutting_down"
	ReasonCancelled              Reason = "cancelled"
	ReasonConnectionLost         Reason = "connection_lost"
	ReasonGroupMemberLost        Reason = "group_member_lost"
	ReasonInternal               Reason = "internal"
)

// Error is a refusal or failure with its verdict.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Message    string
	RetryAfter time.Duration
	Err        error
}

// New returns an Error with a formatted message.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Message: fmt.Sprintf(format, args...)}
}

// Error formats the reason, verdict, message and underlying error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Reason, e.Verdict, e.Message, e.Err)
	}
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// WithRetryAfter returns a copy that tells the caller when to retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithCause returns a copy of the error that wraps err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Err = err
	return &c
}

// FromError returns the verdict carried by err. An error without a verdict is
// MayHaveRun, because nothing proves that the request did not start.
func FromError(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// Parse parses a verdict from its wire form. Unknown text results in MayHaveRun.
func Parse(s string) Verdict {
	switch v := Verdict(s); v {
	case NotRun, Ran:
		return v
	default:
		return MayHaveRun
	}
}

// CanRetry reports whether a request may be sent again after a failure with this
// verdict. repeatable states whether the request may run more than once.
func (v Verdict) CanRetry(repeatable bool) bool {
	return v == NotRun || (v == MayHaveRun && repeatable)
}
