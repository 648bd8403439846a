package kvstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/invariant"
)

// Batching and flow control of appends.
const (
	// batchDelay is the time for which a batch collects claims after its first one.
	batchDelay = 50 * time.Millisecond
	// writeInterval limits each partition to 10 writes per second, which is 160
	// per second for 16 partitions.
	writeInterval = 100 * time.Millisecond
	// commitTimeout limits the commit of one batch, including repeated writes.
	commitTimeout = 2 * time.Second
	// maxBatch is the maximum number of claims in one batch, and maxQueued the
	// maximum number waiting in a partition's queue.
	maxBatch  = 512
	maxQueued = 4096
)

// ClaimLogConfig configures a ClaimLog.
type ClaimLogConfig struct {
	Store     Store
	ProcessID string
	// Expiry is the retention time of a claim; claim.DefaultExpiry if zero.
	Expiry     time.Duration
	Invariants *invariant.Registry
}

// ClaimLog appends claims to the store, in batches per partition. It implements
// claim.Book.
type ClaimLog struct {
	config     ClaimLogConfig
	partitions [claim.Partitions]*partition
	// stopped is closed when Run has returned; no request is answered after that.
	stopped chan struct{}
}

var _ claim.Book = (*ClaimLog)(nil)

// NewClaimLog returns a claim log. Requests are answered only while Run is
// running.
func NewClaimLog(c ClaimLogConfig) *ClaimLog {
	if c.Expiry == 0 {
		c.Expiry = claim.DefaultExpiry
	}
	b := &ClaimLog{config: c, stopped: make(chan struct{})}
	for i := range b.partitions {
		b.partitions[i] = &partition{
			number: i, store: c.Store, queue: make(chan *appendRequest, maxQueued),
			log: claim.NewLog(i, c.Expiry, c.Invariants),
		}
	}
	return b
}

// Run processes appends until the context is cancelled. It must be called only
// once.
func (b *ClaimLog) Run(ctx context.Context) error {
	defer close(b.stopped)
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range b.partitions {
		group.Go(func() error {
			p.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Claim claims an idempotency key for this process.
func (b *ClaimLog) Claim(ctx context.Context, key claim.Key, claimID string, bodyHash uint64) (claim.Record, error) {
	return b.ClaimFor(ctx, b.config.ProcessID, key, claimID, bodyHash)
}

// ClaimFor claims an idempotency key on behalf of another process, which
// forwarded the claim because this one is the partition's preferred appender.
func (b *ClaimLog) ClaimFor(ctx context.Context, holder string, key claim.Key, claimID string, bodyHash uint64) (claim.Record, error) {
	return b.append(ctx, claim.Entry{Op: claim.OpClaim, Key: key[:], ClaimID: claimID, Holder: holder, BodyHash: bodyHash})
}

// Release withdraws a claim whose call is known not to have run.
func (b *ClaimLog) Release(ctx context.Context, key claim.Key, claimID string) error {
	_, err := b.append(ctx, claim.Entry{Op: claim.OpRelease, Key: key[:], ClaimID: claimID})
	return err
}

// Complete records the result of a claimed call. A body larger than
// claim.MaxResultBytes is omitted and the result marked as truncated.
func (b *ClaimLog) Complete(ctx context.Context, key claim.Key, claimID string, result claim.Result) error {
	if len(result.Body) > claim.MaxResultBytes {
		result.Body, result.Truncated = nil, true
	}
	_, err := b.append(ctx, claim.Entry{Op: claim.OpResult, Key: key[:], ClaimID: claimID, Result: &result})
	return err
}

func (b *ClaimLog) append(ctx context.Context, e claim.Entry) (claim.Record, error) {
	e.UnixMS = time.Now().UnixMilli()
	if err := e.Check(); err != nil {
		return claim.Record{}, err
	}
	o := &appendRequest{ctx: ctx, entry: e, result: make(chan appendResult, 1)}
	select {
	case b.partitions[claim.Partition(claim.Key(e.Key))].queue <- o:
	default:
		return claim.Record{}, eris.New("too many claims wait for the store")
	}
	select {
	case a := <-o.result:
		return a.record, a.err
	case <-ctx.Done():
		return claim.Record{}, eris.Wrap(ctx.Err(), "claim not answered, it may take effect")
	case <-b.stopped:
	}
	select {
	case a := <-o.result:
		return a.record, a.err
	default:
		return claim.Record{}, eris.New("the claim log has stopped, the claim may take effect")
	}
}
