// Package claim keeps calls that may not be repeated to one run. A claim for
// the caller's key is in the key-value store before the call is dispatched.
package claim

import (
	"context"
	"crypto/sha256"
	"time"
)

// Key identifies a call: the digest of account, route and the caller's key.
type Key [sha256.Size]byte

// NewKey returns the key of a call. A zero byte separates the parts.
func NewKey(account, route, callerKey string) Key {
	return sha256.Sum256([]byte(account + "\x00" + route + "\x00" + callerKey))
}

// State says what is known of a claimed call.
type State string

// The states of a claim. Held means that the call may have run.
const (
	StateClaimed  State = "claimed"
	StateHeld     State = "held"
	StateDone     State = "done"
	StateReleased State = "released"
)

// Result is the recorded answer of a call. Body is empty if the answer was too
// large to be recorded; Truncated then says so.
type Result struct {
	HTTPStatus  int
	ContentType string
	Body        []byte
	Truncated   bool
}

// Record is what a claim attempt found.
type Record struct {
	State State
	// Holder is the process that made the claim, Since its time of the claim.
	Holder    string
	ClaimedAt time.Time
	// BodyHash tells whether a key was reused for a different body.
	BodyHash uint64
	Result   Result
}

// Registry claims keys. An error means that it is not known whether the key is
// claimed; the call must then be refused as not run and never dispatched.
type Registry interface {
	// Claim returns StateClaimed if this claim identifier now holds the key,
	// also when an earlier call with the same identifier had claimed it.
	Claim(ctx context.Context, key Key, claimID string, bodyHash uint64) (Record, error)
	// Release gives up a claim whose call certainly did not run.
	Release(ctx context.Context, key Key, claimID string) error
	// Complete records the answer.
	Complete(ctx context.Context, key Key, claimID string, result Result) error
}
