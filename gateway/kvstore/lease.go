package kvstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/fence"
)

// renewalsPerTTL is the number of renewals of a lease within its time to live.
// With 3, a renewal is due after a third of this time, and the safety margin that
// package fence keeps at the end of the lease begins after two thirds. A renewal
// that fails at once can thus be retried before the margin begins.
const renewalsPerTTL = 3

// leaseHeldError reports that the lease is already held, usually by another
// process. The holder is empty if it is not known.
type leaseHeldError struct{ holder string }

func (e *leaseHeldError) Error() string {
	return fmt.Sprintf("the lease is held by another process %q", e.holder)
}

// heldLease is a lease held by this process. Its ID serves as the fencing number.
type heldLease struct {
	store      Store
	id         int64
	timeToLive time.Duration
	holder     *fence.Holder
}

// acquireLease writes the key under a new lease, or returns a *leaseHeldError if
// the key exists. If the outcome of the write is unknown, it reads the key back:
// the value contains the process and the lease.
func acquireLease(ctx context.Context, store Store, key, process string, timeToLive time.Duration) (*heldLease, error) {
	ctx, cancel := context.WithTimeout(ctx, timeToLive/renewalsPerTTL)
	defer cancel()
	// Read first, so that attempts on a held lease cause no writes.
	if pair, err := store.Get(ctx, key); err == nil {
		holder, _, _ := strings.Cut(string(pair.Value), " ")
		return nil, &leaseHeldError{holder}
	} else if !errors.Is(err, kvstore.ErrNotFound) {
		return nil, eris.Wrap(err, "read lease key")
	}
	requested := time.Now()
	granted, err := store.GrantLease(ctx, timeToLive)
	if err != nil {
		return nil, eris.Wrap(err, "grant lease")
	}
	value := fmt.Sprintf("%s %d", process, granted.ID)
	_, err = store.CompareAndSwap(ctx, key, []byte(value), 0, granted.ID)
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		err = verifyLeaseValue(ctx, store, key, value)
	}
	if err != nil {
		// If this call fails as well, the unused lease expires.
		_ = store.RevokeLease(ctx, granted.ID)
		if errors.Is(err, kvstore.ErrConflict) {
			return nil, &leaseHeldError{}
		}
		return nil, eris.Wrap(err, "write lease key")
	}
	l := &heldLease{store: store, id: granted.ID, timeToLive: granted.TimeToLive, holder: fence.NewHolder(fence.ModeIgnores)}
	l.holder.RecordGrant(time.Now(), fence.Lease{Fence: uint64(granted.ID), RequestedAt: requested, TTL: granted.TimeToLive}, 0)
	return l, nil
}

// verifyLeaseValue returns nil if the key holds the value, kvstore.ErrConflict if
// it holds another one and kvstore.ErrNotFound if it does not exist.
func verifyLeaseValue(ctx context.Context, store Store, key, value string) error {
	pair, err := store.Get(ctx, key)
	if err != nil {
		return err
	}
	if string(pair.Value) != value {
		return kvstore.ErrConflict
	}
	return nil
}

// usable reports whether the holder may still act under the lease.
func (l *heldLease) usable() bool { return l.holder.Check(time.Now()) == fence.Allowed }

func (l *heldLease) renewInterval() time.Duration { return l.timeToLive / renewalsPerTTL }

// renew extends the lease. After an error other than ErrLeaseLost, the lease
// stays usable until its safety margin begins.
func (l *heldLease) renew(ctx context.Context) error {
	requested, err := l.keepAlive(ctx)
	l.recordRenewal(requested, err)
	return err
}

// keepAlive renews the lease in the store and returns the time of the request.
func (l *heldLease) keepAlive(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, l.renewInterval())
	defer cancel()
	requested := time.Now()
	_, err := l.store.KeepAlive(ctx, l.id)
	return requested, err
}

// recordRenewal updates the lease state with the result of a renewal.
func (l *heldLease) recordRenewal(requested time.Time, err error) {
	switch {
	case err == nil:
		l.holder.RecordRenewal(uint64(l.id), requested)
	case errors.Is(err, kvstore.ErrLeaseLost):
		l.holder.RecordLoss()
	}
}

// release revokes the lease, so that a successor need not wait for it to expire.
func (l *heldLease) release() {
	l.holder.RecordLoss()
	ctx, cancel := context.WithTimeout(context.Background(), l.renewInterval())
	defer cancel()
	_ = l.store.RevokeLease(ctx, l.id)
}
