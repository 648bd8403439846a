// Package storewatch keeps the control state in sync with the platform's store. It reads
// a full snapshot and then watches for changes. It also maintains this host's own entry
// and the entries of refused prompt parts in the store.
package storewatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/retry"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/edge/relay"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// Sink receives what the watcher reads from the store. Each response of the store proves
// that the configuration known after it was the newest at asOf, a reading of the boot
// clock.
type Sink interface {
	// ApplySnapshot receives the complete list of entries after a full read.
	ApplySnapshot(ctx context.Context, list []platform.Change, asOf time.Duration) error
	// ApplyChanges receives the changes that a watch has returned; list may be empty.
	ApplyChanges(ctx context.Context, list []platform.Change, asOf time.Duration) error
	// RecordStoreFailure is called after each failed full read or watch, unless the store
	// has compacted its history or has more changes than one response can hold.
	RecordStoreFailure(ctx context.Context, err error) error
}

// Config configures a Watcher.
type Config struct {
	Store *platform.Store
	Sink  Sink
	// MaxWatchWait is how long the store waits for changes at most before it responds to a
	// watch.
	MaxWatchWait time.Duration
	// ReadsPerSecond is the rate of read calls that the store accepts from all hosts
	// together; 0 means no limit.
	ReadsPerSecond float64
	// Name, Peer and LeaseTime define this host's own entry in the store.
	Name      string
	Peer      platform.Peer
	LeaseTime time.Duration
	// MaxProofAge is the age that the proof of configuration should not exceed while the
	// store responds; 0 means no limit.
	MaxProofAge time.Duration
	// Following configures how this host learns changes from other hosts.
	Following Following
	// Parts keeps refused prompt parts in the store, Requests refused requests. If one is nil,
	// this host publishes none of them.
	Parts, Requests *PartStore
}

const (
	// initialBackoff and maxBackoff limit the delay after a failed call.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// startupWatchDelay is the shortest delay from a response with changes to the next
	// watch during the startupPeriod after a full read, when hosts discover each other.
	startupWatchDelay = 30 * time.Millisecond
	startupPeriod     = time.Second
	// minWatchDelay is the shortest such delay after the startupPeriod. It batches changes
	// in quick succession into one call, and is well below 2 s, the platform's shortest
	// time limit for applying a change.
	minWatchDelay = 250 * time.Millisecond
	// watchRateShare is the share of the store's read rate that the watches of all hosts
	// may use. Each change completes the watches of all hosts, and other calls need the
	// rest of the rate.
	watchRateShare = 0.25
	// maxPageAttempts is the maximum number of calls for one page while the store is busy.
	// The delays between them grow from 0.05 s to 0.4 s and add up to 0.75 s before jitter.
	maxPageAttempts = 5
	// minWatchWait is the shortest wait of a watch whose response is needed as a proof.
	minWatchWait = 50 * time.Millisecond
	// maxPages is the maximum number of pages in a full read; a page has up to 500 keys.
	maxPages = 200
)

// Watcher reads and watches the store.
type Watcher struct {
	config Config
	// hosts holds the entry hosts registered in the store, by name.
	hosts map[string]platform.Peer
	// readAt is the time of the last full read.
	readAt time.Duration
	// proofAt is the time at which the known configuration is proven to have been the newest.
	proofAt time.Duration
	follower
}

// New returns a watcher; Run starts it.
func New(c Config) *Watcher {
	if c.Parts == nil {
		c.Parts = NewPartStore(PartStoreConfig{Store: c.Store, Kind: platform.ChangeCrashPart, Expiry: suspect.DefaultPartConfig(c.Name).Expiry})
	}
	if c.Requests == nil {
		c.Requests = NewPartStore(PartStoreConfig{Store: c.Store, Kind: platform.ChangeCrashRequest, Expiry: suspect.DefaultConfig().Expiry})
	}
	return &Watcher{config: c, hosts: map[string]platform.Peer{}, follower: newFollower(c)}
}

// Run watches the store and maintains this host's entry and those of refused parts and requests
// until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { w.watchLoop(ctx); return nil })
	g.Go(func() error { w.maintainEntry(ctx); return nil })
	g.Go(func() error { w.config.Parts.run(ctx); return nil })
	g.Go(func() error { w.config.Requests.run(ctx); return nil })
	return g.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// watchLoop reads everything and then watches for changes, with retries.
func (w *Watcher) watchLoop(ctx context.Context) {
	pause := initialBackoff
	var revision int64
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = w.readAll(ctx)
		} else if host, ok := w.hostToFollow(bootclock.Now()); ok {
			revision = w.follow(ctx, host, revision)
			continue
		} else {
			revision, err = w.watch(ctx, revision)
		}
		if err == nil {
			pause = initialBackoff
			continue
		}
		w.log.RecordFailure(bootclock.Now())
		var status *platform.StatusError
		if errors.As(err, &status) && status.Compacted() {
			klog.InfoS("store has compacted its history, reading everything again", "after_revision", revision)
			revision = 0
			continue
		}
		if revision > 0 && errors.Is(err, platform.ErrResponseTooLong) {
			// A full read has pages, and only the latest value of each key.
			klog.InfoS("store has too many changes to read at once, reading everything again", "after_revision", revision, "err", err)
			revision = 0
			continue
		}
		if ctx.Err() != nil || w.config.Sink.RecordStoreFailure(ctx, err) != nil {
			return
		}
		sleep(ctx, pause)
		pause = min(2*pause, maxBackoff)
	}
}

// readAll reads all keys and returns the revision to watch from.
func (w *Watcher) readAll(ctx context.Context) (int64, error) {
	sent := bootclock.Now()
	clear(w.hosts)
	w.config.Parts.reset()
	w.config.Requests.reset()
	var list []platform.Change
	var items []platform.Item
	var firstRevision int64
	after := ""
	for range maxPages {
		page, err := w.readPage(ctx, after)
		if err != nil {
			return 0, err
		}
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		items = append(items, page.Items...)
		list = append(list, w.decode(page.Items)...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	if firstRevision == 0 {
		return 0, eris.New("range response of the store has no revision")
	}
	w.readAt, w.proofAt = bootclock.Now(), max(w.proofAt, sent)
	w.log.Reset(relay.Update{Items: items, Revision: firstRevision, ProofAt: sent})
	w.log.SetWatching(true)
	return firstRevision, w.config.Sink.ApplySnapshot(ctx, list, sent)
}

// readPage reads one page, and retries it while the store is busy. When all hosts start
// at the same time, they can exceed the store's rate limit; retrying single pages avoids
// reading the previous ones again.
func (w *Watcher) readPage(ctx context.Context, after string) (platform.Page, error) {
	pause := initialBackoff
	for try := 1; ; try++ {
		page, err := w.config.Store.Range(ctx, platform.WatchPrefix, after)
		var status *platform.StatusError
		if err == nil || !errors.As(err, &status) || !status.Busy() || try == maxPageAttempts || ctx.Err() != nil {
			return page, err
		}
		klog.V(1).InfoS("store is busy, page read again", "after", after, "tries", try, "err", err)
		sleep(ctx, retry.Jitter(pause, rand.Uint64()))
		pause = min(2*pause, maxBackoff)
	}
}

// watchDelay returns the delay from a response with changes to the next watch.
func (w *Watcher) watchDelay(now time.Duration) time.Duration {
	minDelay := minWatchDelay
	if now-w.readAt < startupPeriod {
		minDelay = startupWatchDelay
	}
	if w.config.ReadsPerSecond <= 0 {
		return minDelay
	}
	return max(minDelay, time.Duration(float64(w.watcherCount())/(watchRateShare*w.config.ReadsPerSecond)*float64(time.Second)))
}

// watchWait returns how long the store may wait for changes, so that its response comes
// before the proof of configuration is older than MaxProofAge. The proof may already be old,
// because a response with changes proves only the time of its call.
func (w *Watcher) watchWait(now time.Duration) time.Duration {
	limit, maxAge := w.config.MaxWatchWait, w.config.MaxProofAge
	if w.isFollowed() {
		limit, maxAge = min(limit, w.config.Following.proofInterval()), w.config.Following.proofInterval()
	}
	if maxAge <= 0 {
		return limit
	}
	return min(limit, max(minWatchWait, maxAge-(now-w.proofAt)))
}

// watch waits for changes after a revision and returns the revision to continue from.
func (w *Watcher) watch(ctx context.Context, after int64) (int64, error) {
	sent := bootclock.Now()
	w.config.Parts.removeExpired(sent)
	w.config.Requests.removeExpired(sent)
	wait := w.watchWait(sent)
	page, err := w.config.Store.Watch(ctx, platform.WatchPrefix, after, wait)
	if err != nil {
		return after, err
	}
	// The store sends an empty response after the full wait, which proves that nothing had
	// changed up to then. Any other response may be as old as the call.
	asOf := sent
	if len(page.Items) == 0 && bootclock.Now()-sent >= wait {
		asOf = sent + wait
	}
	w.proofAt = max(w.proofAt, asOf)
	w.log.Append(relay.Update{Items: page.Items, Revision: page.Revision, ProofAt: asOf})
	w.log.SetWatching(true)
	if err := w.config.Sink.ApplyChanges(ctx, w.decode(page.Items), asOf); err != nil {
		return after, err
	}
	if len(page.Items) > 0 {
		sleep(ctx, w.watchDelay(bootclock.Now()))
	}
	return max(after, page.Revision), nil
}

// decode decodes items. Invalid items are logged and ignored, except that an invalid
// replica entry counts as deleted.
func (w *Watcher) decode(items []platform.Item) []platform.Change {
	list := make([]platform.Change, 0, len(items))
	for _, i := range items {
		c, err := platform.DecodeItem(i)
		if err != nil {
			klog.ErrorS(err, "entry of the store ignored", "key", i.Key, "store_revision", i.Revision)
			if c.Kind != platform.ChangeReplica {
				continue
			}
			c.Deleted = true
		}
		w.updateHosts(c)
		switch c.Kind {
		case platform.ChangeCrashPart:
			w.config.Parts.observe(c)
		case platform.ChangeCrashRequest:
			w.config.Requests.observe(c)
		}
		list = append(list, c)
	}
	return list
}

// ownEntry is the state of this host's entry in the store.
type ownEntry struct {
	// lease is the ID of the entry's lease, or 0 if there is none.
	lease int64
	// isWritten is set once the store has accepted the entry under the lease.
	isWritten bool
}

// maintainEntry registers this host in the store, renews the lease of its entry, and revokes
// the lease when the context ends.
func (w *Watcher) maintainEntry(ctx context.Context) {
	var entry ownEntry
	for ctx.Err() == nil {
		err := w.refreshEntry(ctx, &entry)
		var status *platform.StatusError
		switch {
		case errors.As(err, &status) && status.NotFound():
			entry = ownEntry{}
			sleep(ctx, initialBackoff)
			continue
		case err != nil:
			klog.V(1).InfoS("own entry not written or renewed", "err", err, "lease", entry.lease, "written", entry.isWritten)
			sleep(ctx, maxBackoff)
			continue
		}
		sleep(ctx, w.config.LeaseTime/3)
	}
	w.revokeLease(ctx, entry.lease)
}

// refreshEntry renews the lease of a written entry. It grants a lease and writes the entry
// if that has not succeeded yet.
func (w *Watcher) refreshEntry(ctx context.Context, e *ownEntry) error {
	if e.isWritten {
		return w.config.Store.RenewLease(ctx, e.lease)
	}
	if e.lease == 0 {
		lease, err := w.config.Store.GrantLease(ctx, w.config.LeaseTime)
		if err != nil {
			return err
		}
		e.lease = lease
	}
	if err := w.config.Store.Register(ctx, w.config.Name, w.config.Peer, e.lease); err != nil {
		return err
	}
	e.isWritten = true
	return nil
}

// leaseRevokeTimeout is the timeout for revoking the lease during shutdown.
const leaseRevokeTimeout = 300 * time.Millisecond

// revokeLease revokes the lease of this host's entry, so that the other hosts stop
// sharing limits with this host.
func (w *Watcher) revokeLease(ctx context.Context, lease int64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseRevokeTimeout)
	defer cancel()
	if err := w.config.Store.RevokeLease(ctx, lease); err != nil {
		klog.V(1).InfoS("own entry not removed, it will expire with its lease", "err", err, "lease", lease)
	}
}
