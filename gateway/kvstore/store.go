package kvstore

import (
	"context"
	"time"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/adapters/weightstore"
)

// Store is the platform's key-value service.
type Store interface {
	// Get returns kvstore.ErrNotFound for a key that does not exist.
	Get(ctx context.Context, key string) (kvstore.Pair, error)
	List(ctx context.Context, prefix string) ([]kvstore.Pair, error)
	// CompareAndSwap writes only if the key's version is still the given one;
	// version 0 means that the key must not exist. It returns the new version.
	CompareAndSwap(ctx context.Context, key string, value []byte, version, leaseID int64) (int64, error)
	CompareAndDelete(ctx context.Context, key string, version int64) error
	// Watch returns the pair as soon as its version differs from the given one.
	Watch(ctx context.Context, key string, version int64) (kvstore.Pair, error)
	GrantLease(ctx context.Context, timeToLive time.Duration) (kvstore.Lease, error)
	KeepAlive(ctx context.Context, leaseID int64) (time.Duration, error)
	RevokeLease(ctx context.Context, leaseID int64) error
}

// WeightStore describes the weight store. The engines read the weights themselves.
type WeightStore interface {
	Stat(ctx context.Context, model string) (weightstore.Object, error)
	// ReadRateLimit returns the limit that all readers share, in bytes a second.
	ReadRateLimit(ctx context.Context) (int64, error)
}
