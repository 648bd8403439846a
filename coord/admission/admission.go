// Package admission decides which queued request an endpoint runs next. It is
// pure: each call takes the present time and changes only the queue's state,
// so the sidecar, the property tests and the bench run the same code.
package admission

import (
	"time"

	"siskinstand.example/coord/verdict"
)

// Item is one attempt that asks for admission.
type Item struct {
	// ID identifies the attempt.
	ID      string
	Account string
	// Weight is the account's share of a contended endpoint; 0 means 1.
	Weight       float64
	PromptTokens int64
	// OutputTokens is the bound on the answer's length.
	OutputTokens int64
	Deadline     time.Time
	Fingerprint  uint64
	// Isolated work runs only while nothing else does.
	Isolated bool
	// HasHold work has its memory set aside already, by a group's hold. It goes
	// first and only needs memory; the hold was checked against the limit.
	HasHold bool
}

// Cost is the engine memory that the item reserves, in tokens.
func (i Item) Cost() int64 { return i.PromptTokens + i.OutputTokens }

// IsLong reports whether the item belongs to the long work with a bounded share.
func (i Item) IsLong() bool { return i.PromptTokens > LongTokens }

// Config bounds the queue.
type Config struct {
	// AgeBound is the wait after which an item goes first in its turn.
	AgeBound time.Duration
	// LongShare is the share of memory and of prefill that long work may use
	// while other work waits.
	LongShare float64
	// QuantumTokens is what an account of weight 1 earns in one round.
	QuantumTokens int64
	// PrefillWindow bounds the prompts handed to the engine that have no first
	// token yet, in seconds of the engine's prefill rate. A short window keeps
	// the order of work here, where the shares are known.
	PrefillWindow time.Duration
	// AloneAfter is the wait after which an item that exceeds the concurrency
	// limit by itself may run while nothing else does. Without it, an endpoint
	// whose limit is below every offered prompt could never show any evidence.
	AloneAfter time.Duration
	// IsolationWait is the time for which other work may pass an isolated item
	// before the endpoint drains for it.
	IsolationWait time.Duration
	// MaxItems bounds the queue, MaxAccounts the accounts with state in it.
	MaxItems    int
	MaxAccounts int
}

// DefaultConfig returns the bounds used in production.
func DefaultConfig() Config {
	return Config{
		AgeBound:      20 * time.Second,
		LongShare:     0.5,
		QuantumTokens: 2_048,
		PrefillWindow: 250 * time.Millisecond,
		AloneAfter:    2 * time.Second,
		IsolationWait: time.Second,
		MaxItems:      4_096,
		MaxAccounts:   1_024,
	}
}

// Capacity is what the endpoint can take at the moment.
type Capacity struct {
	// MemoryTokens is the engine memory that admission may reserve.
	MemoryTokens int64
	// LimitTokens is the concurrency limit on reserved tokens.
	LimitTokens int64
	// PrefillRate is in prompt tokens a second for the whole engine.
	PrefillRate float64
	// DecodeRate is in output tokens a second for one stream.
	DecodeRate float64
}

// Outcome ends the wait of an item. A nil Refusal means that the item is
// admitted and holds its reservation until Finish.
type Outcome struct {
	Item    Item
	Refusal *verdict.Error
	// Priority orders the item inside the engine; lower values run first.
	Priority int
	Waited   time.Duration
}

// Load describes the queue and the reservations. PendingPrefillTokens belong
// to admitted prompts without a first token.
type Load struct {
	QueuedItems          int
	QueuedTokens         int64
	RunningItems         int
	ReservedTokens       int64
	PendingPrefillTokens int64
}

// BacklogTokens is the work before a new prompt: what waits here and what the
// engine has not prefilled yet. Gateways order their candidates by it, because
// on an endpoint below its limit nothing waits here.
func (l Load) BacklogTokens() int64 { return l.QueuedTokens + l.PendingPrefillTokens }
