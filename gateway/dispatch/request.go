// Package dispatch runs requests on endpoints. It selects the endpoint, retries
// and resumes failed attempts, and claims non-repeatable calls in the store
// before they are dispatched.
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

// Request is a caller's request that has been authenticated and validated.
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
	// PromptTokens is estimated from the body size.
	PromptTokens    int64
	MaxOutputTokens int64
	Deadline        time.Time
	// IdempotencyKey is the value of the caller's Idempotency-Key header.
	IdempotencyKey string
}

// ResponsePart is one part of a response, delivered in order. Status and Header
// are set only in the first part of a plain service's response.
type ResponsePart struct {
	Data   []byte
	Status int
	Header []*pb.Header
}

// Sink receives the response. Deliver fails if a write to the caller fails or the
// sink cannot accept more data.
type Sink interface {
	Deliver(ResponsePart) error
	// Restart discards the parts delivered so far. It returns false if some of
	// them have already been sent to the caller.
	Restart() bool
}

// Result summarizes a complete response.
type Result struct {
	FinishReason string
	PromptTokens int64
	OutputTokens int64
	Attempts     int
}

// ControlLoop provides the current view and receives observations about
// endpoints. It is implemented by control.Loop.
type ControlLoop interface {
	View() *control.View
	EndpointResponded(e *sidecar.Endpoint)
	EndpointUnreachable(ctx context.Context, e *sidecar.Endpoint)
}

// SuspectTable tracks requests that may have crashed an endpoint.
type SuspectTable interface {
	Lookup(fingerprint uint64) suspects.Entry
	AddStrike(fingerprint uint64, c suspects.Crash)
	Clear(fingerprint uint64)
	RecordCrashedEndpoint(fingerprint uint64, endpoint string)
	MergeReports(crashedEndpoint string, list []*pb.Suspect)
}

// Config configures a Dispatcher.
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
	// MaxAttempts limits the attempts of one request, including those that were
	// refused or failed before an offer was sent.
	MaxAttempts int
	// Backoff is the delay before the first retry; BackoffLimit caps the delay.
	Backoff      time.Duration
	BackoffLimit time.Duration
	// RetryAfter is the base retry delay returned to refused callers. For most
	// refusals it is jittered by a hash of the request.
	RetryAfter time.Duration
	// GroupShare is the fraction of an engine's memory that a group may use.
	GroupShare float64
}
