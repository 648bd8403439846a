// Package engine is a client of the program behind an endpoint: a
// model engine or a plain service.
package engine

import (
	"errors"
	"time"
)

// ErrStaleFence is returned for an order whose fencing number is lower than one
// that the engine has seen.
var ErrStaleFence = errors.New("engine: order has an old fencing number")

// Request is one attempt handed to an engine. Lengths are in tokens.
type Request struct {
	AttemptID       string
	Model           string
	Method          string
	Path            string
	Header          []Header
	Body            []byte
	PromptTokens    int64
	MaxOutputTokens int64
	// Priority orders work inside the engine; lower values run first.
	Priority int
	// ResumeText is the part of the answer that was already delivered.
	ResumeText string
	Deadline   time.Time
	// Members are the other engines that hold parts of a group's prompt.
	Members []GroupMember
}

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// GroupMember is one engine of a group with its memory hold.
type GroupMember struct {
	Address string `json:"address"`
	HoldID  string `json:"hold_id"`
	Tokens  int64  `json:"tokens"`
}

// Chunk is a piece of an answer.
type Chunk struct {
	Data   []byte
	Tokens int32
	// HTTPStatus and Header are set in the first chunk of a plain service.
	HTTPStatus int
	Header     []Header
}

// Result ends a whole answer. A stream without a Result is not whole.
type Result struct {
	FinishReason string
	PromptTokens int64
	OutputTokens int64
}

// Allocation is one piece of engine memory and its owner.
type Allocation struct {
	ID     string         `json:"id"`
	Kind   AllocationKind `json:"kind"`
	Owner  string         `json:"owner"`
	Tokens int64          `json:"tokens"`
}

// AllocationKind is the use of a piece of engine memory.
type AllocationKind string

// The kinds of engine memory.
const (
	AllocationRunning AllocationKind = "running"
	AllocationPrefix  AllocationKind = "prefix"
	AllocationExport  AllocationKind = "export"
	AllocationImport  AllocationKind = "import"
	AllocationHold    AllocationKind = "hold"
)

// State is what an engine runs and holds. Tokens measure memory.
type State struct {
	Incarnation string       `json:"incarnation"`
	Model       string       `json:"model"`
	Ready       bool         `json:"ready"`
	TotalTokens int64        `json:"total_tokens"`
	UsedTokens  int64        `json:"used_tokens"`
	Allocations []Allocation `json:"pieces"`
}

// Load is an engine's own report, which lags behind its state.
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

// Order states a wanted end state, so that repeating it is harmless.
type Order struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}
