package capacity

import (
	"context"
	"fmt"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
)

// configWriter edits the configuration in the store as siskinctl does.
// It caches the head, because nothing else edits the configuration.
type configWriter struct {
	store     *kvstore.Client
	head      config.Head
	document  *config.Document
	version   int64
	accounts  int
	editCount int
}

func newConfigWriter(ctx context.Context, s *kvstore.Client, seed uint64, accounts int) (*configWriter, error) {
	w := &configWriter{store: s, head: config.EmptyHead(), document: config.EmptyDocument(), accounts: accounts}
	e, err := initialEdit(accountTables(seed, accounts))
	if err != nil {
		return nil, err
	}
	return w, w.apply(ctx, e)
}

// changeWeight changes the weight of one client account and returns the new
// revision.
func (w *configWriter) changeWeight(ctx context.Context) (uint64, error) {
	w.editCount++
	err := w.apply(ctx, weightEdit(w.document, w.editCount, w.accounts))
	return w.head.Revision, err
}

func (w *configWriter) apply(ctx context.Context, e config.Edit) error {
	plan, err := config.PlanEdit(w.head, w.document, e)
	if err != nil {
		return err
	}
	for digest, value := range plan.Shards {
		if _, err := w.store.CompareAndSwap(ctx, config.ShardPrefix+digest, value, 0, 0); err != nil {
			return fmt.Errorf("write configuration shard: %w", err)
		}
	}
	value, err := plan.Head.Encode()
	if err != nil {
		return err
	}
	if w.version, err = w.store.CompareAndSwap(ctx, config.HeadKey, value, w.version, 0); err != nil {
		return fmt.Errorf("write configuration head: %w", err)
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
			return fmt.Errorf("delete obsolete configuration shard: %w", err)
		}
	}
	return nil
}
