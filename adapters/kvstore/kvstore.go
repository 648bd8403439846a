// Package kvstore is a client for a key-value store that speaks the etcd v3 JSON
// gateway protocol.
package kvstore

import (
	"errors"
	"time"
)

// Errors of the key-value store. After ErrOutcomeUnknown, a write may have taken
// effect.
var (
	ErrConflict       = errors.New("key-value store: compare-and-swap conflict")
	ErrNotFound       = errors.New("key-value store: key not found")
	ErrUnavailable    = errors.New("key-value store: unavailable, nothing was written")
	ErrOutcomeUnknown = errors.New("key-value store: no answer, the write may have taken effect")
	ErrLeaseLost      = errors.New("key-value store: lease expired or not found")
	// ErrValueTooLarge is returned before anything is sent.
	ErrValueTooLarge = errors.New("key-value store: value exceeds the limit")
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Pair is a key and its value. Version is zero for a key that does not exist and
// increases with each write of the key.
type Pair struct {
	Key     string
	Value   []byte
	Version int64
	LeaseID int64
}

// Lease is a granted lease. Each lease has a higher ID than earlier ones, so that
// the ID can serve as a fencing number.
type Lease struct {
	ID         int64
	TimeToLive time.Duration
}
