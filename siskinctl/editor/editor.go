// Package editor reads and edits the configuration tables in the key-value
// store. It determines whether an edit was accepted even if the answer to a
// write was lost, as long as the store can be read afterwards and its head still
// lists the changes since the base of the edit.
package editor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
)

// Limits of retries and of the time that an edit may take.
const (
	maxAttempts = 8
	retryDelay  = 200 * time.Millisecond
	// maxShardAge is the time within which an edit must swap the head, counted from
	// the start of writing its shards. It is far below the hour after which gateways
	// delete shards that no head references.
	maxShardAge = 10 * time.Minute
)

// NotAcceptedError reports that an edit was definitely not accepted.
type NotAcceptedError struct{ Cause error }

func (e *NotAcceptedError) Error() string { return "not accepted: " + e.Cause.Error() }

// Unwrap returns the cause, such as a *config.ConflictError.
func (e *NotAcceptedError) Unwrap() error { return e.Cause }

// UnknownError reports that it is unknown whether an edit was accepted.
type UnknownError struct {
	ChangeID string
	Cause    error
}

// Error names the change and the command that shows whether it was accepted.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown whether change %s was accepted (%v); look for it with: siskinctl history", e.ChangeID, e.Cause)
}

func (e *UnknownError) Unwrap() error { return e.Cause }

// Tables is the configuration read from the store.
type Tables struct {
	Head     config.Head
	Document *config.Document
	// headVersion is the store's version of the head's key, or 0 in an empty store.
	headVersion int64
}

// Read reads the current configuration. An empty store has revision 0.
func Read(ctx context.Context, store *kvstore.Client) (Tables, error) {
	for attempt := 1; ; attempt++ {
		t, err := readOnce(ctx, store)
		// A concurrent edit may have deleted a shard that the head referenced.
		if !errors.Is(err, kvstore.ErrNotFound) || attempt == maxAttempts {
			return t, err
		}
	}
}

func readOnce(ctx context.Context, store *kvstore.Client) (Tables, error) {
	t, err := readHead(ctx, store)
	if err != nil || t.headVersion == 0 {
		return t, err
	}
	t.Document, err = config.Assemble(config.EmptyDocument(), t.Head, func(ref config.ShardRef) ([]config.RowEdit, error) {
		pair, err := store.Get(ctx, config.ShardPrefix+ref.Digest)
		if err != nil {
			return nil, eris.Wrapf(err, "read shard %s", ref.Digest)
		}
		return config.DecodeShard(pair.Value, ref)
	})
	return t, err
}

func readHead(ctx context.Context, store *kvstore.Client) (Tables, error) {
	pair, err := store.Get(ctx, config.HeadKey)
	if errors.Is(err, kvstore.ErrNotFound) {
		return Tables{Head: config.EmptyHead(), Document: config.EmptyDocument()}, nil
	}
	if err != nil {
		return Tables{}, eris.Wrap(err, "read configuration head")
	}
	head, err := config.DecodeHead(pair.Value)
	return Tables{Head: head, headVersion: pair.Version}, err
}

// Apply applies an edit to the tables t. It returns the revision that the edit
// created, a *NotAcceptedError or an *UnknownError.
func Apply(ctx context.Context, store *kvstore.Client, t Tables, e config.Edit) (uint64, error) {
	if change, ok := t.Head.FindChange(e.ID); ok {
		// An earlier attempt with the same change ID was accepted.
		return change.Revision, nil
	}
	plan, err := config.PlanEdit(t.Head, t.Document, e)
	if err != nil {
		return 0, &NotAcceptedError{err}
	}
	return commit(ctx, store, t, e, plan)
}

// Restore overwrites older tables in the store with the document in force. It
// returns the restored revision or the same errors as Apply.
func Restore(ctx context.Context, store *kvstore.Client, t Tables, inForce *config.Document, e config.Edit) (uint64, error) {
	plan, err := config.PlanRestore(t.Head, inForce, e)
	if err != nil {
		return 0, &NotAcceptedError{err}
	}
	e.Base = t.Head.Revision
	return commit(ctx, store, t, e, plan)
}

// commit writes the shards and then the head that references them. Afterwards it
// deletes the shards that an accepted edit replaced or those that a refused edit
// wrote. The shards of an edit with an unknown outcome stay, and so do those of an
// edit that failed before it tried to swap the head.
func commit(ctx context.Context, store *kvstore.Client, t Tables, e config.Edit, plan config.Plan) (uint64, error) {
	value, err := plan.Head.Encode()
	if err != nil {
		return 0, &NotAcceptedError{err}
	}
	writtenAt := time.Now().Round(0)
	for digest, shard := range plan.Shards {
		if err := writeShard(ctx, store, digest, shard); err != nil {
			return 0, &NotAcceptedError{err}
		}
	}
	err = swapHead(ctx, store, t, e, value, writtenAt)
	var notAccepted *NotAcceptedError
	switch {
	case err == nil:
		deleteShards(ctx, store, plan.ObsoleteShards)
		return plan.Head.Revision, nil
	case errors.As(err, &notAccepted):
		var digests []string
		for digest := range plan.Shards {
			digests = append(digests, digest)
		}
		deleteShards(ctx, store, digests)
	}
	return 0, err
}

// writeShard stores a shard. The digest is unique to the edit, so a conflict
// means that an earlier attempt of this edit stored the shard. It is then
// written again with a new version, so that the garbage collection of orphaned
// shards does not delete it.
func writeShard(ctx context.Context, store *kvstore.Client, digest string, value []byte) error {
	var err error
	version := int64(0)
	for range maxAttempts {
		_, err = store.CompareAndSwap(ctx, config.ShardPrefix+digest, value, version, 0)
		if err == nil {
			return nil
		}
		if errors.Is(err, kvstore.ErrConflict) {
			version = currentVersion(ctx, store, config.ShardPrefix+digest)
		}
		if !waitBeforeRetry(ctx) {
			break
		}
	}
	return eris.Wrapf(err, "write shard %s", digest)
}

// currentVersion returns the version of a key, or 0 if the key does not exist or
// could not be read.
func currentVersion(ctx context.Context, store *kvstore.Client, key string) int64 {
	pair, err := store.Get(ctx, key)
	if err != nil {
		return 0
	}
	return pair.Version
}

// swapHead retries the compare-and-swap of the head until its outcome is known,
// the attempts run out or maxShardAge has passed. A retry cannot take effect
// twice, because each attempt expects the same version.
func swapHead(ctx context.Context, store *kvstore.Client, t Tables, e config.Edit, value []byte, writtenAt time.Time) error {
	// mayHaveSwapped is true once an attempt failed that may have taken effect.
	mayHaveSwapped := false
	var cause error
	for range maxAttempts {
		// The monotonic clock stops while the machine is suspended, so the age
		// is taken from the wall clock.
		if age := time.Now().Round(0).Sub(writtenAt); age > maxShardAge {
			cause = eris.Errorf("%s have passed since the shards were written; accepted: up to %s", age, maxShardAge)
			break
		}
		_, cause = store.CompareAndSwap(ctx, config.HeadKey, value, t.headVersion, 0)
		if cause == nil {
			return nil
		}
		mayHaveSwapped = mayHaveSwapped || !errors.Is(cause, kvstore.ErrUnavailable) && !errors.Is(cause, kvstore.ErrConflict)
		done, err := resolveSwap(ctx, store, e)
		if done {
			return err
		}
		if !waitBeforeRetry(ctx) {
			break
		}
	}
	if mayHaveSwapped {
		return &UnknownError{ChangeID: e.ID, Cause: cause}
	}
	return &NotAcceptedError{cause}
}

// resolveSwap reads the head after a failed swap to determine its outcome. It
// returns false if the swap has to be retried or the head could not be read, and
// otherwise true with nil for an accepted edit or the error to report.
func resolveSwap(ctx context.Context, store *kvstore.Client, e config.Edit) (done bool, err error) {
	current, err := readHead(ctx, store)
	if err != nil {
		return false, nil
	}
	outcome, conflict := current.Head.Resolve(e)
	switch outcome {
	case config.OutcomeAccepted:
		return true, nil
	case config.OutcomeNotAccepted:
		return true, &NotAcceptedError{conflict}
	case config.OutcomeUnknown:
		return true, &UnknownError{ChangeID: e.ID, Cause: eris.Errorf("the store has revision %d", current.Head.Revision)}
	}
	return false, nil
}

// deleteShards deletes shards that no head references. It ignores errors, since
// an orphaned shard has no effect.
func deleteShards(ctx context.Context, store *kvstore.Client, digests []string) {
	for _, digest := range digests {
		if pair, err := store.Get(ctx, config.ShardPrefix+digest); err == nil {
			_ = store.CompareAndDelete(ctx, pair.Key, pair.Version)
		}
	}
}

// waitBeforeRetry waits for retryDelay and returns false if ctx ended first.
func waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

// ReadHead reads the head without the shards that it references.
func ReadHead(ctx context.Context, store *kvstore.Client) (config.Head, error) {
	t, err := readHead(ctx, store)
	return t.Head, err
}
