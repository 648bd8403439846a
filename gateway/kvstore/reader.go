package kvstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
)

// DefaultLeaseTTL is the default time to live of a lease. Together with the
// heartbeat timeout it bounds the time for which an availability zone has no
// configuration reader (see package gossip).
const DefaultLeaseTTL = 5 * time.Second

// retryInterval is the time between attempts after a failed call to the store.
const retryInterval = 500 * time.Millisecond

// watchTimeout limits one watch call, so that a broken connection is detected, and
// one sweep of orphaned shards.
const watchTimeout = 30 * time.Second

// ReaderLeaseKey returns the store key of the lease of a zone's configuration
// reader.
func ReaderLeaseKey(zone string) string { return "lease/config_reader/" + zone }

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Store     Store
	Zone      string
	ProcessID string
	// LeaseTTL is the time to live of the lease; DefaultLeaseTTL if zero.
	LeaseTTL     time.Duration
	ActiveConfig *config.Active
	Alarms       *Alarms
	// OnReaderRole is called with true when the process becomes the zone's
	// configuration reader, and with false when it no longer is or when an
	// attempt to acquire the lease has failed. It may be nil.
	OnReaderRole func(isReader bool)
}

// Reader reads the configuration from the store while this process holds the
// reader lease of its availability zone. The store holds the configuration as
// shards and a head that references the shards of the latest revision.
type Reader struct {
	ReaderConfig
	acquireRequests chan struct{}
	// shardCache holds, by digest, the rows of the shards of the last head that
	// fetchShards read completely.
	shardCache map[string][]config.RowEdit
	// head is the head that was last assembled, or empty if assembling a later one
	// failed. previousShards is the shardCache that fetchShards last replaced; it
	// holds the rows of head while the next head is assembled.
	head           config.Head
	previousShards map[string][]config.RowEdit
	orphans        orphanTracker
}

// NewReader returns a reader that does not hold the lease.
func NewReader(c ReaderConfig) *Reader {
	if c.LeaseTTL == 0 {
		c.LeaseTTL = DefaultLeaseTTL
	}
	if c.OnReaderRole == nil {
		c.OnReaderRole = func(bool) {}
	}
	if c.Alarms == nil {
		c.Alarms = &Alarms{}
	}
	return &Reader{
		ReaderConfig: c, acquireRequests: make(chan struct{}, 1), shardCache: map[string][]config.RowEdit{}, orphans: orphanTracker{store: c.Store, lastSweep: time.Now()},
	}
}

// RequestLease requests one attempt to acquire the lease. It does not block.
func (r *Reader) RequestLease() {
	select {
	case r.acquireRequests <- struct{}{}:
	default:
	}
}

// Run makes the attempts requested by RequestLease, and reads the configuration
// while the lease is held.
func (r *Reader) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.acquireRequests:
		}
		lease, err := acquireLease(ctx, r.Store, ReaderLeaseKey(r.Zone), r.ProcessID, r.LeaseTTL)
		if err != nil {
			var heldErr *leaseHeldError
			if !errors.As(err, &heldErr) {
				klog.V(1).InfoS("failed to acquire the configuration reader lease", "zone", r.Zone, "err", err)
			}
			r.OnReaderRole(false)
			continue
		}
		klog.InfoS("configuration reader lease acquired", "zone", r.Zone, "fence", lease.id)
		r.OnReaderRole(true)
		r.holdLease(ctx, lease)
		r.OnReaderRole(false)
	}
}

// holdLease renews the lease and reads the configuration until the lease is lost
// or the context is cancelled.
func (r *Reader) holdLease(ctx context.Context, lease *heldLease) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.watch(ctx)
	}()
	defer func() {
		cancel()
		<-done
		lease.release()
	}()
	next := time.NewTimer(lease.renewInterval())
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
		}
		wait := lease.renewInterval()
		if err := lease.renew(ctx); err != nil {
			r.Alarms.Raise(AlarmStoreDown, "renew reader lease: "+err.Error())
			wait = retryInterval
		} else {
			r.Alarms.Clear(AlarmStoreDown)
		}
		if !lease.usable() {
			return
		}
		next.Reset(wait)
	}
}

// watch watches the head and puts each higher revision in force.
func (r *Reader) watch(ctx context.Context) {
	version := int64(0)
	for ctx.Err() == nil {
		r.sweepOrphans(ctx)
		pair, err := r.nextHead(ctx, version)
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			continue // no edit within watchTimeout
		}
		if err == nil {
			version = pair.Version
			err = r.applyHead(ctx, pair)
			if err != nil {
				// The head is not in force, so it must be read again. A later edit may
				// have deleted one of its shards.
				version = 0
			}
		}
		if err == nil {
			continue
		}
		if ctx.Err() == nil {
			klog.V(1).InfoS("failed to read the configuration", "err", err)
		}
		sleep(ctx, retryInterval)
	}
}

// sweepOrphans deletes orphaned shards when a sweep is due. It runs between two
// watches of up to 30 s, so a sweep can start that much late.
func (r *Reader) sweepOrphans(ctx context.Context) {
	now := time.Now()
	if !r.orphans.sweepDue(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if err := r.orphans.sweep(ctx, now, r.ActiveConfig.Current().Revision); err != nil {
		klog.InfoS("failed to delete orphaned shards", "err", err)
	}
}

// nextHead waits until the version of the head differs from the given one. With
// version 0 it returns the current head at once if there is one.
func (r *Reader) nextHead(ctx context.Context, version int64) (kvstore.Pair, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if version == 0 {
		// A watch does not report that there is no head.
		pair, err := r.Store.Get(ctx, config.HeadKey)
		if err == nil {
			return pair, nil
		}
		if !errors.Is(err, kvstore.ErrNotFound) {
			return kvstore.Pair{}, err
		}
		r.updateStoreOlderAlarm(0, r.ActiveConfig.Current().Revision)
	}
	return r.Store.Watch(ctx, config.HeadKey, version)
}

// applyHead puts the head's revision in force if it is higher than the current
// one. If this build cannot read the head or its shards, it raises an alarm and
// the configuration in force stays.
func (r *Reader) applyHead(ctx context.Context, pair kvstore.Pair) error {
	current := r.ActiveConfig.Current().Revision
	if pair.Version == 0 {
		r.updateStoreOlderAlarm(0, current)
		return nil
	}
	head, err := config.DecodeHead(pair.Value)
	if err != nil {
		r.Alarms.Raise(AlarmConfigUnreadable, err.Error())
		return nil
	}
	r.orphans.markReferenced(head)
	r.updateStoreOlderAlarm(head.Revision, current)
	if head.Revision <= current {
		return nil
	}
	if err := r.fetchShards(ctx, head); errors.Is(err, errUnreadable) {
		r.Alarms.Raise(AlarmConfigUnreadable, err.Error())
		return nil
	} else if err != nil {
		return err
	}
	next, err := config.AssembleIncremental(r.ActiveConfig.Document(), r.head, head, r.shardRows)
	r.head = config.Head{}
	if err != nil {
		r.Alarms.Raise(AlarmConfigUnreadable, err.Error())
		return nil
	}
	r.head = head
	r.Alarms.Clear(AlarmConfigUnreadable)
	if r.ActiveConfig.ActivateIfNewer(next) {
		klog.InfoS("configuration in force", "config_revision", head.Revision)
	}
	return nil
}

// shardRows returns the cached rows of a shard of the head being applied or of the
// one before it.
func (r *Reader) shardRows(ref config.ShardRef) ([]config.RowEdit, error) {
	if rows, ok := r.shardCache[ref.Digest]; ok {
		return rows, nil
	}
	if rows, ok := r.previousShards[ref.Digest]; ok {
		return rows, nil
	}
	return nil, eris.Errorf("shard %s was not read", ref.Digest)
}

// updateStoreOlderAlarm raises or clears AlarmStoreOlder.
func (r *Reader) updateStoreOlderAlarm(store, current uint64) {
	if store < current {
		r.Alarms.Raise(AlarmStoreOlder, fmt.Sprintf("the store has revision %d, revision %d is in force", store, current))
		return
	}
	r.Alarms.Clear(AlarmStoreOlder)
}

// errUnreadable marks data that this build cannot decode, so that retrying does
// not help.
var errUnreadable = errors.New("not readable by this build")

// fetchShards replaces the cache by exactly the shards of the head, and reads only
// those that are not cached. After an error the cache stays.
func (r *Reader) fetchShards(ctx context.Context, head config.Head) error {
	next := map[string][]config.RowEdit{}
	for _, ref := range head.ShardRefs() {
		rows, ok := r.shardCache[ref.Digest]
		if !ok {
			pair, err := r.Store.Get(ctx, config.ShardPrefix+ref.Digest)
			if err != nil {
				return eris.Wrapf(err, "read shard %s", ref.Digest)
			}
			if rows, err = config.DecodeShard(pair.Value, ref); err != nil {
				return fmt.Errorf("%w: %w", errUnreadable, err)
			}
		}
		next[ref.Digest] = rows
	}
	r.previousShards, r.shardCache = r.shardCache, next
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
