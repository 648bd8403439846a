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
	// batchDelay is the time for which a batch collects requests after its first one.
	batchDelay = 50 * time.Millisecond
	// writeInterval limits each partition to 10 batches per second, which is 160
	// per second for 16 partitions. A batch takes one write unless a write is
	// retried, a chunk is full or the batch has several entries of one key.
	writeInterval = 100 * time.Millisecond
	// commitTimeout limits the commit of one batch, including retried writes.
	commitTimeout = 2 * time.Second
	// maxBatch is the maximum number of requests in one batch, and maxQueued the
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
// claim.Registry.
type ClaimLog struct {
	config     ClaimLogConfig
	partitions [claim.PartitionCount]*partition
	// stopped is closed when Run has returned; no request is answered after that.
	stopped chan struct{}
}

var _ claim.Registry = (*ClaimLog)(nil)

// NewClaimLog returns a claim log. Requests are answered only while Run is
// running.
func NewClaimLog(c ClaimLogConfig) *ClaimLog {
	if c.Expiry == 0 {
		c.Expiry = claim.DefaultExpiry
	}
	l := &ClaimLog{config: c, stopped: make(chan struct{})}
	for i := range l.partitions {
		l.partitions[i] = &partition{
			number: i, store: c.Store, queue: make(chan *appendRequest, maxQueued),
			log: claim.NewLog(i, c.Expiry, c.Invariants),
		}
	}
	return l
}

// Run processes appends until the context is cancelled. It must be called only
// once.
func (l *ClaimLog) Run(ctx context.Context) error {
	defer close(l.stopped)
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range l.partitions {
		group.Go(func() error {
			p.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Claim claims an idempotency key for this process.
func (l *ClaimLog) Claim(ctx context.Context, key claim.Key, claimID string, bodyHash uint64) (claim.Record, error) {
	return l.ClaimFor(ctx, l.config.ProcessID, key, claimID, bodyHash)
}

// ClaimFor claims an idempotency key on behalf of another process, which
// forwarded the claim because this one is the partition's preferred appender.
func (l *ClaimLog) ClaimFor(ctx context.Context, holder string, key claim.Key, claimID string, bodyHash uint64) (claim.Record, error) {
	return l.append(ctx, claim.Entry{Op: claim.OpClaim, Key: key[:], ClaimID: claimID, Holder: holder, BodyHash: bodyHash})
}

// Release withdraws a claim whose call is known not to have run.
func (l *ClaimLog) Release(ctx context.Context, key claim.Key, claimID string) error {
	_, err := l.append(ctx, claim.Entry{Op: claim.OpRelease, Key: key[:], ClaimID: claimID})
	return err
}

// Complete records the result of a claimed call. A body larger than
// claim.MaxResultBytes is omitted and the result marked as truncated.
func (l *ClaimLog) Complete(ctx context.Context, key claim.Key, claimID string, result claim.Result) error {
	if len(result.Body) > claim.MaxResultBytes {
		result.Body, result.Truncated = nil, true
	}
	_, err := l.append(ctx, claim.Entry{Op: claim.OpResult, Key: key[:], ClaimID: claimID, Result: &result})
	return err
}

func (l *ClaimLog) append(ctx context.Context, e claim.Entry) (claim.Record, error) {
	e.UnixMS = time.Now().UnixMilli()
	if err := e.Validate(); err != nil {
		return claim.Record{}, err
	}
	request := &appendRequest{ctx: ctx, entry: e, result: make(chan appendResult, 1)}
	select {
	case l.partitions[claim.PartitionOf(claim.Key(e.Key))].queue <- request:
	default:
		return claim.Record{}, eris.New("too many claims wait for the store")
	}
	select {
	case r := <-request.result:
		return r.record, r.err
	case <-ctx.Done():
		return claim.Record{}, eris.Wrap(ctx.Err(), "claim not answered, it may take effect")
	case <-l.stopped:
	}
	select {
	case r := <-request.result:
		return r.record, r.err
	default:
		return claim.Record{}, eris.New("the claim log has stopped, the claim may take effect")
	}
}
