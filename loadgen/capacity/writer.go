package capacity

import (
	"context"
	"fmt"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
)

// writer makes edits as the operators' command does. It keeps the head, as it
// is the only editor.
type writer struct {
	store    *kvstore.Client
	head     config.Head
	document *config.Document
	version  int64
	accounts int
	edits    int
}

func newWriter(ctx context.Context, s *kvstore.Client, seed uint64, accounts int) (*writer, error) {
	w := &writer{store: s, head: config.EmptyHead(), document: config.EmptyDocument(), accounts: accounts}
	e, err := firstEdit(accountTables(seed, accounts))
	if err != nil {
		return nil, err
	}
	return w, w.apply(ctx, e)
}

// change edits one account and returns the new revision.
func (w *writer) change(ctx context.Context) (uint64, error) {
	w.edits++
	err := w.apply(ctx, weightEdit(w.document, w.edits, w.accounts))
	return w.head.Revision, err
}

func (w *writer) apply(ctx context.Context, e config.Edit) error {
	plan, err := config.PlanEdit(w.head, w.document, e)
	if err != nil {
		return err
	}
	for digest, value := range plan.Shards {
		if _, err := w.store.CompareAndSwap(ctx, config.ShardPrefix+digest, value, 0, 0); err != nil {
			return fmt.Errorf("write shard: %w", err)
		}
	}
	value, err := plan.Head.Encode()
	if err != nil {
		return err
	}
	if w.version, err = w.store.CompareAndSwap(ctx, config.HeadKey, value, w.version, 0); err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	next, err := w.document.Apply(config.Change{Revision: plan.Head.Revision, Base: w.head.Revision, ID: e.ID, Rows: e.Rows})
	if err != nil {
		return err
	}
	w.head, w.document = plan.Head, next
	for _, digest := range plan.ObsoleteShards {
		pair, err := w.store.Get(ctx, config.ShardPrefix+digest)
		if err == nil {
			err = w.store.CompareAndDelete(ctx, pair.Key, pair.Version)
		}
		if err != nil {
			return fmt.Errorf("delete shard: %w", err)
		}
	}
	return nil
}
