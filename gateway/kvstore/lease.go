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

// renewals is how often a lease is renewed within its time to live. With 3, a
// lost renewal is repeated before the margin of package fence begins.
const renewals = 3

// heldElsewhereError says that another process holds the lease key. The holder
// is empty if it is not known.
type heldElsewhereError struct{ holder string }

func (e *heldElsewhereError) Error() string {
	return fmt.Sprintf("the lease is held by another process %q", e.holder)
}

// heldLease is a lease key in the store with its fencing number.
type heldLease struct {
	store      Store
	id         int64
	timeToLive time.Duration
	holder     *fence.Holder
}

// acquireLease writes the key under a new lease. A lost answer of the write is
// resolved by reading the key, whose value names process and lease.
func acquireLease(ctx context.Context, store Store, key, process string, timeToLive time.Duration) (*heldLease, error) {
	ctx, cancel := context.WithTimeout(ctx, timeToLive/renewals)
	defer cancel()
	// The read keeps attempts on a held lease from costing writes.
	if pair, err := store.Get(ctx, key); err == nil {
		holder, _, _ := strings.Cut(string(pair.Value), " ")
		return nil, &heldElsewhereError{holder}
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
		err = checkOwner(ctx, store, key, value)
	}
	if err != nil {
		// The unused lease ends by itself if this call is lost as well.
		_ = store.RevokeLease(ctx, granted.ID)
		if errors.Is(err, kvstore.ErrConflict) {
			return nil, &heldElsewhereError{}
		}
		return nil, eris.Wrap(err, "write lease key")
	}
	l := &heldLease{store: store, id: granted.ID, timeToLive: granted.TimeToLive, holder: fence.NewHolder(fence.ModeIgnores)}
	l.holder.RecordGrant(time.Now(), fence.Lease{Fence: uint64(granted.ID), RequestedAt: requested, TTL: granted.TimeToLive}, 0)
	return l, nil
}

func checkOwner(ctx context.Context, store Store, key, value string) error {
	pair, err := store.Get(ctx, key)
	if err != nil {
		return err
	}
	if string(pair.Value) != value {
		return kvstore.ErrConflict
	}
	return nil
}

// usable reports whether the holder may act now.
func (l *heldLease) usable() bool { return l.holder.Check(time.Now()) == fence.Allowed }

func (l *heldLease) interval() time.Duration { return l.timeToLive / renewals }

// renew extends the lease. An error other than ErrLeaseLost leaves it usable
// until its margin begins.
func (l *heldLease) renew(ctx context.Context) error {
	requested, err := l.call(ctx)
	l.record(requested, err)
	return err
}

// call asks the store for the renewal and returns when it was requested.
func (l *heldLease) call(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, l.interval())
	defer cancel()
	requested := time.Now()
	_, err := l.store.KeepAlive(ctx, l.id)
	return requested, err
}

// record takes the answer of a renewal.
func (l *heldLease) record(requested time.Time, err error) {
	switch {
	case err == nil:
		l.holder.RecordRenewal(uint64(l.id), requested)
	case errors.Is(err, kvstore.ErrLeaseLost):
		l.holder.RecordLoss()
	}
}

// release gives the lease up so that a successor need not wait for its end.
func (l *heldLease) release() {
	l.holder.RecordLoss()
	ctx, cancel := context.WithTimeout(context.Background(), l.interval())
	defer cancel()
	_ = l.store.RevokeLease(ctx, l.id)
}
