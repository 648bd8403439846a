package kvstore

import (
	"context"
	"time"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/adapters/weightstore"
)

// Store is the platform's key-value service.
type Store interface {
	// Get returns ErrNotFound of package adapters/kvstore if the key does not exist.
	Get(ctx context.Context, key string) (kvstore.Pair, error)
	List(ctx context.Context, prefix string) ([]kvstore.Pair, error)
	// CompareAndSwap writes the value only if the key still has the given version;
	// version 0 means that the key must not exist. It returns the new version.
	CompareAndSwap(ctx context.Context, key string, value []byte, version, leaseID int64) (int64, error)
	CompareAndDelete(ctx context.Context, key string, version int64) error
	// Watch blocks until the version of the key differs from the given one, and
	// returns the pair.
	Watch(ctx context.Context, key string, version int64) (kvstore.Pair, error)
	GrantLease(ctx context.Context, timeToLive time.Duration) (kvstore.Lease, error)
	KeepAlive(ctx context.Context, leaseID int64) (time.Duration, error)
	RevokeLease(ctx context.Context, leaseID int64) error
}

// WeightStore provides metadata of the weight store. The engines read the weights
// directly.
type WeightStore interface {
	Stat(ctx context.Context, model string) (weightstore.Object, error)
	// ReadRateLimit returns the rate limit shared by all readers, in bytes per second.
	ReadRateLimit(ctx context.Context) (int64, error)
}
