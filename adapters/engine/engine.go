// Package engine provides clients for the program behind an endpoint: a model
// engine or a plain HTTP service.
package engine

import (
	"errors"
	"net/http"
	"time"

	"siskinstand.example/adapters/internal/httpjson"
)

// newRunTransport returns a transport for requests that an engine runs. Each has a connection of
// its own: responses have no ID, so one that an engine writes once more, or late, would be taken
// for that to the next request on the connection.
func newRunTransport(l Limits) http.RoundTripper {
	return httpjson.NewTransport(httpjson.TransportConfig{DialTimeout: l.DialTimeout, DisableKeepAlives: true})
}

// maxIdleTime is how long a connection may have been idle to be reused. HTTP servers
// usually close idle connections after 2 s or more, and it is unknown whether a call
// that is sent meanwhile has run. New connections cost little on the same host.
const maxIdleTime = 1500 * time.Millisecond

func newTransport(l Limits) http.RoundTripper {
	return httpjson.NewTransport(httpjson.TransportConfig{DialTimeout: l.DialTimeout, IdleTimeout: maxIdleTime})
}

// ErrStaleFence is returned for an order whose fencing number is lower than the
// highest one that the engine has seen.
var ErrStaleFence = errors.New("engine: order has an old fencing number")

// Request is one attempt to run a caller's request on an engine.
type Request struct {
	AttemptID       string
	Model           string
	Method          string
	Path            string
	Header          []Header
	Body            []byte
	PromptTokens    int64
	MaxOutputTokens int64
	// Priority orders requests inside the engine. Lower values run first.
	Priority int
	// ResumeText is the part of the response that earlier attempts delivered. The
	// engine continues after it.
	ResumeText string
	Deadline   time.Time
	// Members are the other engines of the group, each of which holds a part of
	// the prompt.
	Members []GroupMember
}

// Header is an HTTP header field.
type Header struct {
	Name  string
	Value string
}

// GroupMember is an engine of a group and the memory reserved on it.
type GroupMember struct {
	Address string `json:"address"`
	HoldID  string `json:"hold_id"`
	Tokens  int64  `json:"tokens"`
}

// Chunk is a part of a response.
type Chunk struct {
	Data   []byte
	Tokens int32
	// HTTPStatus and Header are only set in the first chunk from a plain service.
	HTTPStatus int
	Header     []Header
}

// Result concludes a complete response. A stream without a Result is incomplete.
type Result struct {
	FinishReason string
	PromptTokens int64
	OutputTokens int64
}

// Allocation is an allocated part of an engine's memory.
type Allocation struct {
	ID     string         `json:"id"`
	Kind   AllocationKind `json:"kind"`
	Owner  string         `json:"owner"`
	Tokens int64          `json:"tokens"`
}

// AllocationKind identifies what an allocation is used for.
type AllocationKind string

// The kinds of allocations.
const (
	AllocationRunning AllocationKind = "running" // memory of an attempt
	AllocationPrefix  AllocationKind = "prefix"  // cached prompt prefix
	AllocationExport  AllocationKind = "export"  // KV cache copied out of the engine
	AllocationImport  AllocationKind = "import"  // KV cache copied into the engine
	AllocationHold    AllocationKind = "hold"    // memory reserved for a group
)

// State describes the model that an engine serves and its memory, measured in
// tokens.
type State struct {
	Incarnation string       `json:"incarnation"`
	Model       string       `json:"model"`
	Ready       bool         `json:"ready"`
	TotalTokens int64        `json:"total_tokens"`
	UsedTokens  int64        `json:"used_tokens"`
	Allocations []Allocation `json:"pieces"`
}

// Load is the load that an engine reports. It lags behind the actual state.
type Load struct {
	RunningRequests      int       `json:"running_requests"`
	UsedTokens           int64     `json:"used_tokens"`
	PrefillTokensPerSec  int64     `json:"prefill_tokens_per_sec"`
	DecodeTokensPerSec   int64     `json:"decode_tokens_per_sec"`
	MeasuredAt           time.Time `json:"measured_at"`
	PendingPrefillTokens int64     `json:"pending_prefill_tokens"`
	CachedPrefixTokens   int64     `json:"cached_prefix_tokens"`
	TotalTokens          int64     `json:"total_tokens"`
}

// Order specifies the model and role that an engine should serve. It describes
// the desired state, so applying it repeatedly is idempotent.
type Order struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}
