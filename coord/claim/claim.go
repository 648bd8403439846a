// Package claim ensures that a non-repeatable call runs at most once. A claim for
// the caller's idempotency key is written to the key-value store before the call
// is dispatched. Claims are kept in append-only logs, one per partition.
package claim

import (
	"context"
	"crypto/sha256"
	"time"
)

// Key identifies a call. It is the digest of the account, the route and the
// caller's idempotency key.
type Key [sha256.Size]byte

// NewKey returns the key of a call. The hashed parts are separated by zero bytes.
func NewKey(account, route, idempotencyKey string) Key {
	return sha256.Sum256([]byte(account + "\x00" + route + "\x00" + idempotencyKey))
}

// State is the state of a claim.
type State string

// StateClaimed means that the requester holds the key and may dispatch the call.
// StateHeld means that a claim holds the key and its call may have run; it is
// returned to a claim attempt only if that claim has another ID. StateDone means
// that the response is recorded, StateReleased that the claim was released and is
// not granted again.
const (
	StateClaimed  State = "claimed"
	StateHeld     State = "held"
	StateDone     State = "done"
	StateReleased State = "released"
)

// Result is the recorded response of a call. If the response was too large to be
// recorded, Body is empty and Truncated is set.
type Result struct {
	HTTPStatus  int
	ContentType string
	Body        []byte
	Truncated   bool
}

// Record is the state of a key as returned to a claim attempt.
type Record struct {
	State State
	// Holder is the process that made the claim, ClaimedAt the time of the claim by
	// the clock of the process that appended it to the log.
	Holder    string
	ClaimedAt time.Time
	// BodyHash serves to detect that a key was reused for a different body.
	BodyHash uint64
	Result   Result
}

// Registry claims keys. If Claim returns an error, the claim may still have taken
// effect; the call must then be refused as not run and never be dispatched. If
// Release or Complete returns an error, the claim may still hold its key.
type Registry interface {
	// Claim returns StateClaimed if claimID now holds the key, including when an
	// earlier call with the same claimID already claimed it.
	Claim(ctx context.Context, key Key, claimID string, bodyHash uint64) (Record, error)
	// Release releases a claim whose call is known not to have run.
	Release(ctx context.Context, key Key, claimID string) error
	// Complete records the response of the call.
	Complete(ctx context.Context, key Key, claimID string, result Result) error
}
