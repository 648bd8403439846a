// Package dispatch carries one request to an endpoint: choice, attempts,
// retries, resumption and the claim of a call that may not be repeated.
package dispatch

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/routing"
	"siskinstand.example/gateway/control"
	"siskinstand.example/gateway/sidecar"
	"siskinstand.example/gateway/suspects"
	pb "siskinstand.example/peerpb"
)

// Request is one admitted request of a caller. Lengths are in tokens.
type Request struct {
	ID        string
	Account   config.Account
	Route     config.Route
	Pool      config.Pool
	Method    string
	Path      string
	Header    []*pb.Header
	Body      []byte
	Keys      routing.Keys
	Streaming bool
	// PromptTokens is an estimate.
	PromptTokens    int64
	MaxOutputTokens int64
	Deadline        time.Time
	// IdempotencyKey is the caller's Idempotency-Key.
	IdempotencyKey string
}

// ResponsePart is a piece of an answer in order. Status and Header are set in the
// first piece of a plain service.
type ResponsePart struct {
	Data   []byte
	Status int
	Header []*pb.Header
}

// Sink receives the answer. An error of Deliver means that the caller is gone.
type Sink interface {
	Deliver(ResponsePart) error
	// Restart discards what was delivered and reports whether it could; it
	// can't after a part of a plain service's answer went to the caller.
	Restart() bool
}

// Result is the end of a complete answer.
type Result struct {
	FinishReason string
	PromptTokens int64
	OutputTokens int64
	Attempts     int
}

// ControlLoop is what a dispatcher needs of the control goroutine.
type ControlLoop interface {
	View() *control.View
	EndpointResponded(e *sidecar.Endpoint)
	EndpointUnreachable(ctx context.Context, e *sidecar.Endpoint)
}

// SuspectTable holds requests that may have crashed an endpoint.
type SuspectTable interface {
	Lookup(fingerprint uint64) suspects.Entry
	AddStrike(fingerprint uint64, d suspects.Crash)
	Clear(fingerprint uint64)
	RecordCrashedEndpoint(fingerprint uint64, endpoint string)
	MergeReports(endpoint string, list []*pb.Suspect)
}

// Config constructs a Dispatcher.
type Config struct {
	ProcessID  string
	Control    ControlLoop
	Client     *sidecar.Client
	Claims     claim.Registry
	Suspects   SuspectTable
	Invariants *invariant.Registry
	Scope      tally.Scope
	Objectives ObjectiveRecorder
	Routing    routing.Policy
	Retry      retry.Policy
	// MaxAttempts bounds the offers of one request, refused ones included.
	MaxAttempts int
	// Backoff is the first wait before a retry, BackoffLimit the longest.
	Backoff      time.Duration
	BackoffLimit time.Duration
	// RetryAfter is the time after which refused callers come back, spread by
	// a hash of the request.
	RetryAfter time.Duration
	// GroupShare is the part of an engine's memory that a group may use.
	GroupShare float64
}
