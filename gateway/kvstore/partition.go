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

// loadTimeout limits reading a whole chain. One day at 10 calls per second leaves
// about 600 chunks of 64 KiB in a partition, which take longer to read than
// commitTimeout allows.
const loadTimeout = 2 * time.Minute

// expireInterval is the minimum time between deletions of expired chunks.
const expireInterval = 10 * time.Minute

type appendResult struct {
	record claim.Record
	err    error
}

// appendRequest is an entry to append, whose caller waits for the result.
type appendRequest struct {
	// ctx is the caller's context; once it is done, nobody waits for the result.
	ctx    context.Context
	entry  claim.Entry
	result chan appendResult
}

// partition appends to one chain of chunks of the claim log. Only the goroutine
// of run uses log.
type partition struct {
	number int
	store  Store
	queue  chan *appendRequest
	log    *claim.Log
	// loaded is set once the whole chain has been read. upToDate is set while the
	// local copy is known to end where the chain in the store ends.
	loaded     bool
	upToDate   bool
	lastExpiry time.Time
}

func (p *partition) run(ctx context.Context) {
	for {
		var batch []*appendRequest
		select {
		case <-ctx.Done():
			return
		case request := <-p.queue:
			batch = append(batch, request)
		}
		began := time.Now()
		sleep(ctx, batchDelay)
		for len(batch) < maxBatch && len(p.queue) > 0 {
			batch = append(batch, <-p.queue)
		}
		if err := p.ensureLoaded(ctx); err != nil {
			p.failBatch(batch, err)
		} else {
			p.commit(ctx, batch)
		}
		if ctx.Err() == nil {
			p.deleteExpired(ctx)
			sleep(ctx, writeInterval-time.Since(began))
		}
	}
}

// ensureLoaded reads the chain if it is not loaded. Its timeout is longer than
// that of a commit, because a chain that takes longer to read would otherwise
// never be loaded.
func (p *partition) ensureLoaded(ctx context.Context) error {
	if p.loaded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return p.loadChain(ctx)
}

// commit completes every request of a batch. It writes the entries that change the
// state of their keys. The other requests are completed from the local copy, once
// a write or a read has shown that it is up to date. If the outcome of a write is
// unknown, it reads the newer part of the chain, where each entry is recognised
// by its claim ID.
func (p *partition) commit(ctx context.Context, batch []*appendRequest) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	p.upToDate = false
	for {
		write, writeNeeded, err := p.planBatch(&batch)
		if len(batch) == 0 {
			return
		}
		switch {
		case err != nil:
		case writeNeeded:
			err = p.write(ctx, write)
		default:
			err = p.catchUp(ctx)
		}
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			p.failBatch(batch, err)
			return
		}
	}
}

func (p *partition) failBatch(batch []*appendRequest, err error) {
	for _, request := range batch {
		request.result <- appendResult{err: eris.Wrap(err, "claim log")}
	}
}

// planBatch completes the requests that an up-to-date local copy can answer and
// the claims whose callers have given up. It leaves the others in the batch and
// plans a write of those that need one. The boolean reports whether there is any.
func (p *partition) planBatch(batch *[]*appendRequest) (claim.ChunkWrite, bool, error) {
	if !p.loaded {
		return claim.ChunkWrite{}, false, nil
	}
	var entries []claim.Entry
	var pending []*appendRequest
	for _, request := range *batch {
		if request.entry.Op == claim.OpClaim && request.ctx.Err() != nil {
			// The caller has already been refused; its claim would block the key
			// until it expires, by default for a day.
			request.result <- appendResult{err: request.ctx.Err()}
			continue
		}
		record, needsAppend, err := p.log.Decide(time.Now(), request.entry)
		switch {
		case needsAppend:
			entries = append(entries, request.entry)
		case p.upToDate:
			request.result <- appendResult{record: record, err: err}
			continue
		}
		pending = append(pending, request)
	}
	*batch = pending
	return p.log.PlanWrite(entries)
}

// write performs one compare-and-swap. After a conflict or an unknown outcome, it
// reads the newer part of the chain.
func (p *partition) write(ctx context.Context, w claim.ChunkWrite) error {
	p.upToDate = false
	version, err := p.store.CompareAndSwap(ctx, w.Key, w.Value, w.Version, 0)
	switch {
	case err == nil:
		p.upToDate = true
		return p.invalidateOnError(p.log.Commit(w, version))
	case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrOutcomeUnknown):
		return p.catchUp(ctx)
	}
	return err
}

// invalidateOnError marks the local copy as not loaded if err is not nil, so that the
// next batch reads the whole chain. It returns err.
func (p *partition) invalidateOnError(err error) error {
	if err != nil {
		klog.ErrorS(err, "claim partition will be reloaded from the store", "partition", p.number)
		p.loaded, p.upToDate = false, false
	}
	return err
}

// catchUp reads the chain in the store up to its end.
func (p *partition) catchUp(ctx context.Context) error {
	if !p.loaded {
		return p.loadChain(ctx)
	}
	for {
		number, version := p.log.Tail()
		pair, err := p.store.Get(ctx, claim.ChunkKey(p.number, number))
		if errors.Is(err, kvstore.ErrNotFound) && version == 0 || err == nil && pair.Version == version {
			p.upToDate = true
			return nil
		}
		if errors.Is(err, kvstore.ErrNotFound) {
			return p.invalidateOnError(eris.Wrap(err, "the last chunk is gone"))
		}
		if err != nil {
			return err
		}
		if err := p.applyChunk(pair, number); err != nil {
			return p.invalidateOnError(err)
		}
	}
}

func (p *partition) applyChunk(pair kvstore.Pair, number int) error {
	chunk, err := claim.DecodeChunk(pair.Value, p.number, number)
	if err != nil {
		return err
	}
	return p.log.Load(chunk, pair.Version)
}

// loadChain discards the local copy and reads all chunks of the chain.
func (p *partition) loadChain(ctx context.Context) error {
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
		if err := p.applyChunk(pair, number); err != nil {
			return err
		}
	}
	p.loaded = true
	return p.catchUp(ctx)
}

// deleteExpired deletes the sealed chunks in which all entries have expired, except
// the newest chunk, at most once per expireInterval.
func (p *partition) deleteExpired(ctx context.Context) {
	if !p.upToDate || time.Since(p.lastExpiry) < expireInterval {
		return
	}
	p.lastExpiry = time.Now()
	for _, chunk := range p.log.Expire(time.Now()) {
		if err := p.store.CompareAndDelete(ctx, chunk.Key, chunk.Version); err != nil {
			// The next process that loads the chain deletes the chunk.
			klog.V(1).InfoS("failed to delete expired claims", "key", chunk.Key, "err", err)
		}
	}
}
