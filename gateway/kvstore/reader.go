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

// DefaultLeaseTTL is the time to live of the reader lease. With the timeout of
// the heartbeat it bounds the time without a reader (see package spread).
const DefaultLeaseTTL = 5 * time.Second

// retryInterval is the time between attempts while the store does not answer.
const retryInterval = 500 * time.Millisecond

// watchTimeout ends a watch, so that a broken connection is noticed.
const watchTimeout = 30 * time.Second

// ReaderLeaseKey returns the lease key of a zone's configuration reader.
func ReaderLeaseKey(zone string) string { return "lease/config_reader/" + zone }

// ReaderConfig names the process and its parts.
type ReaderConfig struct {
	Store     Store
	Zone      string
	ProcessID string
	// LeaseTTL is DefaultLeaseTTL if zero.
	LeaseTTL time.Duration
	InForce  *config.Active
	Alarms   *Alarms
	// OnReaderRole is called when the process becomes the zone's reader, when it
	// ceases to be, and when an attempt has failed. It may be nil.
	OnReaderRole func(reading bool)
}

// Reader reads the configuration from the store while it holds the lease of
// its zone.
type Reader struct {
	ReaderConfig
	attempts chan struct{}
	// shards caches the rows of the last head by digest.
	shards map[string][]config.RowEdit
	// head is the last one put in force from the store, if the rows of its
	// shards are still known: previous holds those that shards has not.
	head     config.Head
	previous map[string][]config.RowEdit
	orphans  orphans
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
		ReaderConfig: c, attempts: make(chan struct{}, 1), shards: map[string][]config.RowEdit{}, orphans: orphans{store: c.Store, swept: time.Now()},
	}
}

// TryAcquire asks for one attempt to get the lease. It does not block.
func (r *Reader) TryAcquire() {
	select {
	case r.attempts <- struct{}{}:
	default:
	}
}

// Run makes the attempts asked for by Try and reads while the lease is held.
func (r *Reader) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.attempts:
		}
		held, err := acquireLease(ctx, r.Store, ReaderLeaseKey(r.Zone), r.ProcessID, r.LeaseTTL)
		if err != nil {
			var elsewhere *heldElsewhereError
			if !errors.As(err, &elsewhere) {
				klog.V(1).InfoS("no reader lease", "zone", r.Zone, "err", err)
			}
			r.OnReaderRole(false)
			continue
		}
		klog.InfoS("configuration reader of the zone", "zone", r.Zone, "fence", held.id)
		r.OnReaderRole(true)
		r.hold(ctx, held)
		r.OnReaderRole(false)
	}
}

// hold reads until the lease is lost or the context ends.
func (r *Reader) hold(ctx context.Context, held *heldLease) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.watch(ctx)
	}()
	defer func() {
		cancel()
		<-done
		held.release()
	}()
	next := time.NewTimer(held.interval())
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
		}
		wait := held.interval()
		if err := held.renew(ctx); err != nil {
			r.Alarms.Raise(AlarmStoreDown, "renew reader lease: "+err.Error())
			wait = retryInterval
		} else {
			r.Alarms.Clear(AlarmStoreDown)
		}
		if !held.usable() {
			return
		}
		next.Reset(wait)
	}
}

// watch follows the head and puts each higher revision in force.
func (r *Reader) watch(ctx context.Context) {
	version := int64(0)
	for ctx.Err() == nil {
		r.sweepOrphans(ctx)
		pair, err := r.next(ctx, version)
		if err == nil {
			version = pair.Version
			err = r.load(ctx, pair)
		}
		if err == nil || errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			continue
		}
		if errors.Is(err, kvstore.ErrNotFound) {
			// A later edit retired a shard of this head; read the head again.
			version = 0
		}
		if ctx.Err() == nil {
			klog.V(1).InfoS("configuration not read", "err", err)
		}
		pause(ctx, retryInterval)
	}
}

// sweepOrphans runs between two watches, so within 30 s of its time.
func (r *Reader) sweepOrphans(ctx context.Context) {
	now := time.Now()
	if !r.orphans.due(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if err := r.orphans.sweep(ctx, now, r.InForce.Current().Revision); err != nil {
		klog.InfoS("orphaned shards not swept", "err", err)
	}
}

func (r *Reader) next(ctx context.Context, version int64) (kvstore.Pair, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if version == 0 {
		// A watch does not tell that there is no head.
		pair, err := r.Store.Get(ctx, config.HeadKey)
		if err == nil {
			return pair, nil
		}
		if !errors.Is(err, kvstore.ErrNotFound) {
			return kvstore.Pair{}, err
		}
		r.checkAge(0, r.InForce.Current().Revision)
	}
	return r.Store.Watch(ctx, config.HeadKey, version)
}

// load puts the head's revision in force if it is higher. A head that this
// build cannot read raises an alarm and replaces nothing.
func (r *Reader) load(ctx context.Context, pair kvstore.Pair) error {
	current := r.InForce.Current().Revision
	if pair.Version == 0 {
		r.checkAge(0, current)
		return nil
	}
	head, err := config.DecodeHead(pair.Value)
	if err != nil {
		r.Alarms.Raise(AlarmConfigUnreadable, err.Error())
		return nil
	}
	r.orphans.named(head)
	r.checkAge(head.Revision, current)
	if head.Revision <= current {
		return nil
	}
	if err := r.fetch(ctx, head); errors.Is(err, errUnreadable) {
		r.Alarms.Raise(AlarmConfigUnreadable, err.Error())
		return nil
	} else if err != nil {
		return err
	}
	next, err := config.AssembleIncremental(r.InForce.Document(), r.head, head, r.rows)
	r.head = config.Head{}
	if err != nil {
		r.Alarms.Raise(AlarmConfigUnreadable, err.Error())
		return nil
	}
	r.head = head
	r.Alarms.Clear(AlarmConfigUnreadable)
	if r.InForce.Advance(next) {
		klog.InfoS("configuration in force", "config_revision", head.Revision)
	}
	return nil
}

// rows returns the rows of a shard of this head or of the one before.
func (r *Reader) rows(ref config.ShardRef) ([]config.RowEdit, error) {
	if rows, ok := r.shards[ref.Digest]; ok {
		return rows, nil
	}
	if rows, ok := r.previous[ref.Digest]; ok {
		return rows, nil
	}
	return nil, eris.Errorf("shard %s was not read", ref.Digest)
}

func (r *Reader) checkAge(store, current uint64) {
	if store < current {
		r.Alarms.Raise(AlarmStoreOlder, fmt.Sprintf("the store has revision %d, revision %d is in force", store, current))
		return
	}
	r.Alarms.Clear(AlarmStoreOlder)
}

// errUnreadable marks what no later attempt can read.
var errUnreadable = errors.New("not readable by this build")

// fetch fills the cache with exactly the shards of the head.
func (r *Reader) fetch(ctx context.Context, head config.Head) error {
	next := map[string][]config.RowEdit{}
	for _, ref := range head.Refs() {
		rows, ok := r.shards[ref.Digest]
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
	r.previous, r.shards = r.shards, next
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
