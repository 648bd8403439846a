// Package editor reads the tables from the key-value store and makes edits
// whose outcome is known wherever the store answers.
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

// Attempts and pauses while an answer of the store is missing.
const (
	maxAttempts = 8
	retryPause  = 200 * time.Millisecond
	// swapLimit is far below the hour after which gateways delete shards that
	// no head names.
	swapLimit = 10 * time.Minute
)

// NotAcceptedError says that an edit was certainly not accepted.
type NotAcceptedError struct{ Cause error }

// Error names the cause.
func (e *NotAcceptedError) Error() string { return "not accepted: " + e.Cause.Error() }

// Unwrap returns the cause, such as a *config.ConflictError.
func (e *NotAcceptedError) Unwrap() error { return e.Cause }

// UnknownError says that an edit may have been accepted.
type UnknownError struct {
	ChangeID string
	Cause    error
}

// Error tells how to find out.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown whether change %s was accepted (%v); look for it with: siskinctl history", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Tables is the newest configuration in the store.
type Tables struct {
	Head     config.Head
	Document *config.Document
	version  int64
}

// Read reads the newest configuration; an empty store has revision 0.
func Read(ctx context.Context, store *kvstore.Client) (Tables, error) {
	for attempt := 1; ; attempt++ {
		t, err := readOnce(ctx, store)
		// An edit made meanwhile may have deleted a shard of the head read.
		if !errors.Is(err, kvstore.ErrNotFound) || attempt == maxAttempts {
			return t, err
		}
	}
}

func readOnce(ctx context.Context, store *kvstore.Client) (Tables, error) {
	t, err := readHead(ctx, store)
	if err != nil || t.version == 0 {
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
	return Tables{Head: head, version: pair.Version}, err
}

// Apply makes an edit of the tables that were read. It returns the revision
// that the edit made, a *NotAcceptedError or an *UnknownError.
func Apply(ctx context.Context, store *kvstore.Client, t Tables, e config.Edit) (uint64, error) {
	if made, ok := t.Head.Change(e.ID); ok {
		// An earlier attempt whose outcome was unknown had been accepted.
		return made.Revision, nil
	}
	plan, err := config.PlanEdit(t.Head, t.Document, e)
	if err != nil {
		return 0, &NotAcceptedError{err}
	}
	return commit(ctx, store, t, e, plan)
}

// Restore writes the document that is in force over older tables in the store.
// It returns the revision in force, or the errors of Apply.
func Restore(ctx context.Context, store *kvstore.Client, t Tables, inForce *config.Document, e config.Edit) (uint64, error) {
	plan, err := config.PlanRestore(t.Head, inForce, e)
	if err != nil {
		return 0, &NotAcceptedError{err}
	}
	e.Base = t.Head.Revision
	return commit(ctx, store, t, e, plan)
}

// commit writes the shards, then the head that names them.
func commit(ctx context.Context, store *kvstore.Client, t Tables, e config.Edit, plan config.Plan) (uint64, error) {
	value, err := plan.Head.Encode()
	if err != nil {
		return 0, &NotAcceptedError{err}
	}
	written := time.Now().Round(0)
	for digest, shard := range plan.Shards {
		if err := writeShard(ctx, store, digest, shard); err != nil {
			return 0, &NotAcceptedError{err}
		}
	}
	err = swapHead(ctx, store, t, e, value, written)
	var refused *NotAcceptedError
	switch {
	case err == nil:
		remove(ctx, store, plan.ObsoleteShards)
		return plan.Head.Revision, nil
	case errors.As(err, &refused):
		var written []string
		for digest := range plan.Shards {
			written = append(written, digest)
		}
		remove(ctx, store, written)
	}
	return 0, err
}

// writeShard stores a shard. A conflict means that an earlier attempt of this
// edit stored it, because the digest is unique to the edit. It is written again
// at a new version, so that the sweep of orphaned shards does not delete it.
func writeShard(ctx context.Context, store *kvstore.Client, digest string, value []byte) error {
	var err error
	version := int64(0)
	for range maxAttempts {
		_, err = store.CompareAndSwap(ctx, config.ShardPrefix+digest, value, version, 0)
		if err == nil {
			return nil
		}
		if errors.Is(err, kvstore.ErrConflict) {
			version = versionOf(ctx, store, config.ShardPrefix+digest)
		}
		if !pause(ctx) {
			break
		}
	}
	return eris.Wrapf(err, "write shard %s", digest)
}

// versionOf returns 0 for a key that does not exist or could not be read.
func versionOf(ctx context.Context, store *kvstore.Client, key string) int64 {
	pair, err := store.Get(ctx, key)
	if err != nil {
		return 0
	}
	return pair.Version
}

// swapHead repeats the swap until its outcome is known. A repeated swap cannot
// take effect twice, because it names the version that it replaces.
func swapHead(ctx context.Context, store *kvstore.Client, t Tables, e config.Edit, value []byte, written time.Time) error {
	// uncertain is true once a swap was sent that may still have taken effect.
	uncertain := false
	var cause error
	for range maxAttempts {
		// A computer that slept stops the monotonic clock, so the wall clock
		// counts.
		if age := time.Now().Round(0).Sub(written); age > swapLimit {
			cause = eris.Errorf("%s have passed since the shards were written; accepted: up to %s", age, swapLimit)
			break
		}
		_, cause = store.CompareAndSwap(ctx, config.HeadKey, value, t.version, 0)
		if cause == nil {
			return nil
		}
		uncertain = uncertain || !errors.Is(cause, kvstore.ErrUnavailable) && !errors.Is(cause, kvstore.ErrConflict)
		done, err := resolve(ctx, store, e)
		if done {
			return err
		}
		if !pause(ctx) {
			break
		}
	}
	if uncertain {
		return &UnknownError{ChangeID: e.ID, Cause: cause}
	}
	return &NotAcceptedError{cause}
}

// resolve reads the head after a failed swap; done is false if the swap has to
// be made again or the head could not be read.
func resolve(ctx context.Context, store *kvstore.Client, e config.Edit) (done bool, err error) {
	now, err := readHead(ctx, store)
	if err != nil {
		return false, nil
	}
	outcome, conflict := now.Head.Resolve(e)
	switch outcome {
	case config.OutcomeAccepted:
		return true, nil
	case config.OutcomeNotAccepted:
		return true, &NotAcceptedError{conflict}
	case config.OutcomeUnknown:
		return true, &UnknownError{ChangeID: e.ID, Cause: eris.Errorf("the store has revision %d", now.Head.Revision)}
	}
	return false, nil
}

// remove deletes shards that no head refers to. What it cannot delete stays
// without effect.
func remove(ctx context.Context, store *kvstore.Client, digests []string) {
	for _, digest := range digests {
		if pair, err := store.Get(ctx, config.ShardPrefix+digest); err == nil {
			_ = store.CompareAndDelete(ctx, pair.Key, pair.Version)
		}
	}
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}

// ReadHead reads the head without its rows.
func ReadHead(ctx context.Context, store *kvstore.Client) (config.Head, error) {
	t, err := readHead(ctx, store)
	return t.Head, err
}
