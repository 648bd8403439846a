package kvstore

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/claim"
)

// loadTimeout bounds reading a whole chain. A day of 10 calls a second leaves
// some 600 chunks of 64 KiB in a partition, which do not fit commitTimeout.
const loadTimeout = 2 * time.Minute

// expireInterval is the time between searches for chunks to delete.
const expireInterval = 10 * time.Minute

type answer struct {
	record claim.Record
	err    error
}

// operation is one entry that a caller waits for.
type operation struct {
	// ctx is the caller's; it ends when nobody waits for the answer.
	ctx   context.Context
	entry claim.Entry
	done  chan answer
}

// partition appends to one chain of the claim log. Only its goroutine uses log.
type partition struct {
	number  int
	store   Store
	waiting chan *operation
	log     *claim.Log
	// loaded is false until the whole chain was read; fresh is true while the
	// copy is known to end where the store's chain ends.
	loaded  bool
	fresh   bool
	expired time.Time
}

func (p *partition) run(ctx context.Context) {
	for {
		var batch []*operation
		select {
		case <-ctx.Done():
			return
		case o := <-p.waiting:
			batch = append(batch, o)
		}
		began := time.Now()
		pause(ctx, batchWait)
		for len(batch) < maxBatch && len(p.waiting) > 0 {
			batch = append(batch, <-p.waiting)
		}
		if err := p.recover(ctx); err != nil {
			p.fail(batch, err)
		} else {
			p.commit(ctx, batch)
		}
		if ctx.Err() == nil {
			p.expire(ctx)
			pause(ctx, writeInterval-time.Since(began))
		}
	}
}

// recover reads the chain if it is not loaded. It has more time than a commit,
// since a chain that takes longer would otherwise never be read.
func (p *partition) recover(ctx context.Context) error {
	if p.loaded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return p.load(ctx)
}

// commit answers every operation: from the copy if the copy is fresh and the
// state is known, otherwise after a write. A lost answer is resolved by reading
// the chain again, since each entry carries its claim's identifier.
func (p *partition) commit(ctx context.Context, batch []*operation) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	p.fresh = false
	for {
		write, needed, err := p.decide(&batch)
		if len(batch) == 0 {
			return
		}
		switch {
		case err != nil:
		case needed:
			err = p.write(ctx, write)
		default:
			err = p.refresh(ctx)
		}
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			p.fail(batch, err)
			return
		}
	}
}

func (p *partition) fail(batch []*operation, err error) {
	for _, o := range batch {
		o.done <- answer{err: eris.Wrap(err, "claim log")}
	}
}

// decide answers what is known and plans the write of the rest.
func (p *partition) decide(batch *[]*operation) (claim.ChunkWrite, bool, error) {
	if !p.loaded {
		return claim.ChunkWrite{}, false, nil
	}
	var entries []claim.Entry
	var rest []*operation
	for _, o := range *batch {
		if o.entry.Op == claim.OpClaim && o.ctx.Err() != nil {
			// The caller was refused; its claim would block the key for a day.
			o.done <- answer{err: o.ctx.Err()}
			continue
		}
		record, appendIt, err := p.log.Decide(time.Now(), o.entry)
		switch {
		case appendIt:
			entries = append(entries, o.entry)
		case p.fresh:
			o.done <- answer{record: record, err: err}
			continue
		}
		rest = append(rest, o)
	}
	*batch = rest
	return p.log.PlanWrite(entries)
}

// write makes one compare-and-swap. After a conflict or a lost answer the next
// round reads the chain.
func (p *partition) write(ctx context.Context, w claim.ChunkWrite) error {
	p.fresh = false
	version, err := p.store.CompareAndSwap(ctx, w.Key, w.Value, w.Version, 0)
	switch {
	case err == nil:
		p.fresh = true
		return p.reset(p.log.Commit(w, version))
	case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrOutcomeUnknown):
		return p.refresh(ctx)
	}
	return err
}

// reset makes the next commit read the whole chain after an error.
func (p *partition) reset(err error) error {
	if err != nil {
		klog.ErrorS(err, "claim partition is read again", "partition", p.number)
		p.loaded, p.fresh = false, false
	}
	return err
}

// refresh brings the copy to the end of the store's chain.
func (p *partition) refresh(ctx context.Context) error {
	if !p.loaded {
		return p.load(ctx)
	}
	for {
		number, version := p.log.Tail()
		pair, err := p.store.Get(ctx, claim.ChunkKey(p.number, number))
		if errors.Is(err, kvstore.ErrNotFound) && version == 0 || err == nil && pair.Version == version {
			p.fresh = true
			return nil
		}
		if errors.Is(err, kvstore.ErrNotFound) {
			return p.reset(eris.Wrap(err, "the last chunk is gone"))
		}
		if err != nil {
			return err
		}
		if err := p.take(pair, number); err != nil {
			return p.reset(err)
		}
	}
}

func (p *partition) take(pair kvstore.Pair, number int) error {
	chunk, err := claim.DecodeChunk(pair.Value, p.number, number)
	if err != nil {
		return err
	}
	return p.log.Load(chunk, pair.Version)
}

// load reads every chunk of the chain.
func (p *partition) load(ctx context.Context) error {
	pairs, err := p.store.List(ctx, claim.PartitionPrefix(p.number))
	if err != nil {
		return err
	}
	p.log.Reset()
	for _, pair := range pairs {
		_, number, err := claim.ParseChunkKey(pair.Key)
		if err != nil {
			return err
		}
		if err := p.take(pair, number); err != nil {
			return err
		}
	}
	p.loaded = true
	return p.refresh(ctx)
}

// expire deletes chunks whose claims have all expired.
func (p *partition) expire(ctx context.Context) {
	if !p.fresh || time.Since(p.expired) < expireInterval {
		return
	}
	p.expired = time.Now()
	for _, r := range p.log.Expire(time.Now()) {
		if err := p.store.CompareAndDelete(ctx, r.Key, r.Version); err != nil {
			// Left for the next process that reads the chain.
			klog.V(1).InfoS("expired claims not deleted", "key", r.Key, "err", err)
		}
	}
}
