// Package kvstore is a client of a key-value service.
package kvstore

import (
	"errors"
	"time"
)

// Errors of a store. After ErrUnknown a write may have taken effect.
var (
	ErrConflict       = errors.New("key-value store: compare-and-swap conflict")
	ErrNotFound       = errors.New("key-value store: key not found")
	ErrUnavailable    = errors.New("key-value store: unavailable, nothing was written")
	ErrOutcomeUnknown = errors.New("key-value store: no answer, the write may have taken effect")
	ErrLeaseLost      = errors.New("key-value store: lease expired or not found")
	// ErrValueTooLarge is returned before anything is sent.
	ErrValueTooLarge = errors.New("key-value store: value exceeds the limit")
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Pair is one key with its value. Version is zero for a key that does not
// exist and grows with each write of the key.
type Pair struct {
	Key     string
	Value   []byte
	Version int64
	LeaseID int64
}

// Lease is a granted lease. Its identifier grows and serves as fencing number.
type Lease struct {
	ID         int64
	TimeToLive time.Duration
}
