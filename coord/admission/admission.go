// Package admission decides which queued request an endpoint runs next. It
// performs no I/O and reads no clock: calls that depend on the time take it as a
// parameter, and they change only the queue's state, so the sidecar, the property
// tests and the benchmark run the same code.
package admission

import (
	"time"

	"siskinstand.example/coord/verdict"
)

// Item is an attempt that waits for admission.
type Item struct {
	// ID identifies the attempt.
	ID      string
	Account string
	// Weight is the account's share of a contended endpoint; 0 means 1.
	Weight       float64
	PromptTokens int64
	// OutputTokens is the upper bound on the length of the answer.
	OutputTokens int64
	Deadline     time.Time
	Fingerprint  uint64
	// Isolated items start only while nothing else runs, except those with a
	// hold. No item starts while an isolated one runs.
	Isolated bool
	// HasHold is set if a group's hold has already reserved the item's memory.
	// Such items go first and need only free memory; the hold itself was
	// checked against the limit.
	HasHold bool
}

// Cost is the engine memory that the item reserves, in tokens.
func (i Item) Cost() int64 { return i.PromptTokens + i.OutputTokens }

// IsLong reports whether the item counts towards LongShare.
func (i Item) IsLong() bool { return i.PromptTokens > LongTokens }

// Config bounds the queue.
type Config struct {
	// AgeBound is the wait after which an item goes first when its account's
	// turn comes.
	AgeBound time.Duration
	// LongShare is the share of memory that long items may reserve while shorter
	// items wait. It does not bind items past the age bound.
	LongShare float64
	// QuantumTokens is the deficit that an account of weight 1 gains per round.
	QuantumTokens int64
	// PrefillWindow bounds the prompts in the engine that have no first token
	// yet, as time at the engine's prefill rate. One prompt of each length class
	// is always allowed. A short window leaves the order of work to this queue,
	// which enforces the shares.
	PrefillWindow time.Duration
	// AloneAfter is the wait after which an item that exceeds the concurrency
	// limit on its own may run if nothing else runs or waits; while other items
	// wait, overLimitShare applies. Without AloneAfter, an endpoint whose limit
	// is below every incoming prompt would never gather the evidence to raise it.
	AloneAfter time.Duration
	// IsolationWait is how long other items may overtake an isolated item
	// before the endpoint drains for it, and the least time from the end of an
	// isolated item to the next such drain.
	IsolationWait time.Duration
	// MaxItems bounds the queued items, MaxAccounts the accounts that have any.
	// Items with a hold are queued beyond both bounds.
	MaxItems    int
	MaxAccounts int
}

// DefaultConfig returns the production settings.
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

// Capacity is what the endpoint can currently take.
type Capacity struct {
	// MemoryTokens is the engine memory that admission may reserve.
	MemoryTokens int64
	// LimitTokens is the concurrency limit on reserved tokens.
	LimitTokens int64
	// PrefillRate is in prompt tokens per second for the whole engine.
	PrefillRate float64
	// DecodeRate is in output tokens per second for one stream.
	DecodeRate float64
}

// Outcome is the result of an item's wait. With a nil Refusal the item is
// admitted and holds its reservation until Finish.
type Outcome struct {
	Item    Item
	Refusal *verdict.Error
	// Priority orders items inside the engine; lower values run first.
	Priority int
	// Waited is not set by RefuseAll.
	Waited time.Duration
}

// Load describes the queue and the reservations. PendingPrefillTokens is the
// sum of the admitted prompts without a first token.
type Load struct {
	QueuedItems          int
	QueuedTokens         int64
	RunningItems         int
	ReservedTokens       int64
	PendingPrefillTokens int64
}

// BacklogTokens returns the work ahead of a new prompt: the queued items and
// what the engine has not prefilled yet. Gateways order their candidates by it
// and not by the queue alone, which stays empty while an endpoint is below its
// limit.
func (l Load) BacklogTokens() int64 { return l.QueuedTokens + l.PendingPrefillTokens }
