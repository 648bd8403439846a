package kvstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/invariant"
)

// Timing of the appends.
const (
	// batchWait is how long the first claim of a batch waits for others.
	batchWait = 50 * time.Millisecond
	// writeInterval bounds the writes of 16 partitions to 160 a second.
	writeInterval = 100 * time.Millisecond
	// commitTimeout bounds one batch including its repeated writes.
	commitTimeout = 2 * time.Second
	// maxBatch bounds the claims of one batch, and maxWaiting those that wait.
	maxBatch   = 512
	maxWaiting = 4096
)

// ClaimLogConfig names the process and its store.
type ClaimLogConfig struct {
	Store     Store
	ProcessID string
	// Expiry is claim.DefaultExpiry if zero.
	Expiry     time.Duration
	Invariants *invariant.Registry
}

// ClaimLog appends claims to the store. It implements claim.Book.
type ClaimLog struct {
	config     ClaimLogConfig
	partitions [claim.PartitionCount]*partition
	// stopped is closed when Run has ended and nothing more is answered.
	stopped chan struct{}
}

var _ claim.Registry = (*ClaimLog)(nil)

// NewClaimLog returns a book; Run has to be called for it to answer.
func NewClaimLog(c ClaimLogConfig) *ClaimLog {
	if c.Expiry == 0 {
		c.Expiry = claim.DefaultExpiry
	}
	b := &ClaimLog{config: c, stopped: make(chan struct{})}
	for i := range b.partitions {
		b.partitions[i] = &partition{
			number: i, store: c.Store, waiting: make(chan *operation, maxWaiting),
			log: claim.NewLog(i, c.Expiry, c.Invariants),
		}
	}
	return b
}

// Run appends until the context ends. It is called once.
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

// Claim claims a key for this process.
func (b *ClaimLog) Claim(ctx context.Context, key claim.Key, claimID string, bodyHash uint64) (claim.Record, error) {
	return b.ClaimFor(ctx, b.config.ProcessID, key, claimID, bodyHash)
}

// ClaimFor claims a key for another process that prefers this one as appender.
func (b *ClaimLog) ClaimFor(ctx context.Context, holder string, key claim.Key, claimID string, bodyHash uint64) (claim.Record, error) {
	return b.append(ctx, claim.Entry{Op: claim.OpClaim, Key: key[:], ClaimID: claimID, Holder: holder, BodyHash: bodyHash})
}

// Release gives up a claim whose call certainly did not run.
func (b *ClaimLog) Release(ctx context.Context, key claim.Key, claimID string) error {
	_, err := b.append(ctx, claim.Entry{Op: claim.OpRelease, Key: key[:], ClaimID: claimID})
	return err
}

// Complete records the answer. A body over claim.MaxResultBytes is left out.
func (b *ClaimLog) Complete(ctx context.Context, key claim.Key, claimID string, result claim.Result) error {
	if len(result.Body) > claim.MaxResultBytes {
		result.Body, result.Truncated = nil, true
	}
	_, err := b.append(ctx, claim.Entry{Op: claim.OpResult, Key: key[:], ClaimID: claimID, Result: &result})
	return err
}

func (b *ClaimLog) append(ctx context.Context, e claim.Entry) (claim.Record, error) {
	e.UnixMS = time.Now().UnixMilli()
	if err := e.Validate(); err != nil {
		return claim.Record{}, err
	}
	o := &operation{ctx: ctx, entry: e, done: make(chan answer, 1)}
	select {
	case b.partitions[claim.PartitionOf(claim.Key(e.Key))].waiting <- o:
	default:
		return claim.Record{}, eris.New("too many claims wait for the store")
	}
	select {
	case a := <-o.done:
		return a.record, a.err
	case <-ctx.Done():
		return claim.Record{}, eris.Wrap(ctx.Err(), "claim not answered, it may take effect")
	case <-b.stopped:
	}
	select {
	case a := <-o.done:
		return a.record, a.err
	default:
		return claim.Record{}, eris.New("the claim log has stopped, the claim may take effect")
	}
}
