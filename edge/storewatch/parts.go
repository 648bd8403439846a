package storewatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/retry"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

const (
	// maxStoredParts is the number of refused parts in the store from which hosts add no
	// further ones. Hosts that add parts at the same moment can exceed it.
	maxStoredParts = 64
	// maxPendingParts is the maximum number of parts whose entry this host still has to
	// write or remove.
	maxPendingParts = 64
	// removalSpread is the share of the expiry over which watching hosts spread the removal
	// of an expired entry, so that the others learn of the first one's removal in time.
	removalSpread = 1.0 / 60
)

// PartStoreConfig configures a PartStore.
type PartStoreConfig struct {
	Store *platform.Store
	// Kind is ChangeCrashPart, or ChangeCrashRequest for the store of refused requests.
	Kind platform.ChangeKind
	// Expiry is the time after the refusal of a part at which its entry no longer counts.
	Expiry time.Duration
}

// PartStore keeps the refused parts of prompts, or refused requests by their fingerprints, in
// the store. Publish and Withdraw don't wait
// for the store, and failed calls are repeated. It is safe for concurrent use.
type PartStore struct {
	config PartStoreConfig
	mu     sync.Mutex
	// stored holds the entries of the store that this host knows of.
	stored map[uint64]storedPart
	// pending holds the calls to make, oldest first, at most one for each part.
	pending []*partCall
	// cancelled holds, by part, the RefusedAt of entries that were withdrawn while a write of
	// them had no response. The store may still execute it.
	cancelled map[uint64]int64
	// wake has a value if pending may have become non-empty.
	wake chan struct{}
}

type storedPart struct {
	revision int64
	// expiresAt and removeAt are readings of the boot clock, so that steps of the system
	// clock do not make a running host remove an entry.
	expiresAt, removeAt time.Duration
}

type partAction string

const (
	actionPublish  partAction = "publish"
	actionWithdraw partAction = "withdraw"
	actionExpire   partAction = "expire"
)

// partCall is a call to the store that has not succeeded yet.
type partCall struct {
	action partAction
	entry  platform.CrashPart
	// revision is the revision that the key must have, or 0 if it must not exist.
	revision int64
	// tries is the number of calls made, including those with an earlier entry of the part.
	tries int
}

// NewPartStore returns a PartStore. A Watcher runs it and tells it what the store holds.
func NewPartStore(c PartStoreConfig) *PartStore {
	return &PartStore{config: c, stored: map[uint64]storedPart{}, cancelled: map[uint64]int64{}, wake: make(chan struct{}, 1)}
}

// Publish writes the entry of a part that this host has begun to refuse, unless the store
// already has one.
func (p *PartStore) Publish(entry platform.CrashPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.drop(entry.Part)
	delete(p.cancelled, entry.Part)
	known, exists := p.stored[entry.Part]
	// An entry that is being removed is replaced, since the removal may still take effect.
	if exists && bootclock.Now() < known.expiresAt && (old == nil || old.action == actionPublish) {
		return
	}
	if !exists && len(p.stored) >= maxStoredParts {
		klog.InfoS("crash part not stored, the store has too many", "kind", p.config.Kind, "part", formatPart(entry.Part), "stored", len(p.stored))
		return
	}
	call := &partCall{action: actionPublish, entry: entry, revision: known.revision}
	if old != nil && old.action == actionPublish && old.tries > 0 {
		// The store may still execute a call already made, whose entry has this RefusedAt.
		call.entry.RefusedAt, call.tries = old.entry.RefusedAt, old.tries
	}
	p.add(call)
}

// Withdraw removes the entry of a part that this host no longer refuses.
func (p *PartStore) Withdraw(part uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.drop(part)
	known, exists := p.stored[part]
	if old != nil && old.action == actionPublish {
		if old.tries == 0 && !exists {
			return // the entry was not written yet
		}
		if len(p.cancelled) >= maxPendingParts {
			clear(p.cancelled) // an entry that is written late expires nevertheless
		}
		p.cancelled[part] = old.entry.RefusedAt
	}
	p.add(&partCall{action: actionWithdraw, entry: platform.CrashPart{Part: part}, revision: known.revision})
}

// formatPart returns a part as in the header of a request.
func formatPart(part uint64) string { return strconv.FormatUint(part, 16) }

// add appends a call. The caller holds the lock.
func (p *PartStore) add(c *partCall) {
	if len(p.pending) >= maxPendingParts {
		klog.InfoS("crash part neither written nor removed, too many calls are pending", "part", formatPart(c.entry.Part), "action", c.action)
		return
	}
	p.pending = append(p.pending, c)
	select {
	case p.wake <- struct{}{}:
	default: // it already has a value
	}
}

// find returns the pending call for a part, or nil. The caller holds the lock.
func (p *PartStore) find(part uint64) *partCall {
	if i := slices.IndexFunc(p.pending, func(c *partCall) bool { return c.entry.Part == part }); i >= 0 {
		return p.pending[i]
	}
	return nil
}

// drop removes the pending call for a part and returns it, or nil. The caller holds the lock.
func (p *PartStore) drop(part uint64) *partCall {
	c := p.find(part)
	p.pending = slices.DeleteFunc(p.pending, func(o *partCall) bool { return o == c })
	return c
}

// reset forgets the known entries before a full read.
func (p *PartStore) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.stored)
}

// observe records a change of the store, and drops a pending call that it makes unnecessary.
func (p *PartStore) observe(c platform.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	part := c.CrashPart.Part
	call := p.find(part)
	isPublished := call != nil && call.action == actionPublish
	if c.Deleted {
		delete(p.stored, part)
		if !isPublished {
			p.drop(part)
		}
		return
	}
	now, left := bootclock.Now(), p.timeLeft(c.CrashPart)
	spread := time.Duration(removalSpread * rand.Float64() * float64(p.config.Expiry))
	p.stored[part] = storedPart{revision: c.Revision, expiresAt: now + left, removeAt: now + left + spread}
	if isPublished && left > 0 {
		p.drop(part)
	}
	if refusedAt, ok := p.cancelled[part]; ok && refusedAt == c.CrashPart.RefusedAt && call == nil {
		p.add(&partCall{action: actionWithdraw, entry: platform.CrashPart{Part: part}, revision: c.Revision})
	}
}

// timeLeft returns the time until an entry expires. An entry from a host whose system clock
// is ahead counts as new.
func (p *PartStore) timeLeft(entry platform.CrashPart) time.Duration {
	age := time.Since(time.UnixMilli(entry.RefusedAt))
	return p.config.Expiry - min(max(age, 0), p.config.Expiry)
}

// removeExpired removes the entries that have expired. Only hosts that watch the store call
// it.
func (p *PartStore) removeExpired(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for part, known := range p.stored {
		// If too many calls are pending, the next call of removeExpired tries again.
		if now >= known.removeAt && p.find(part) == nil && len(p.pending) < maxPendingParts {
			p.add(&partCall{action: actionExpire, entry: platform.CrashPart{Part: part}, revision: known.revision})
		}
	}
}

// run makes the pending calls until the context ends.
func (p *PartStore) run(ctx context.Context) {
	pause := initialBackoff
	for ctx.Err() == nil {
		c, ok := p.next()
		if !ok {
			select {
			case <-ctx.Done():
			case <-p.wake:
			}
			continue
		}
		if err := p.execute(ctx, c); err != nil {
			sleep(ctx, retry.Jitter(pause, rand.Uint64()))
			pause = min(2*pause, maxBackoff)
			continue
		}
		pause = initialBackoff
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.pending); n > 0 {
		klog.InfoS("crash parts not written or removed at the end of the process", "calls", n)
	}
}

// next returns a copy of the oldest pending call.
func (p *PartStore) next() (partCall, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.pending) > 0 {
		c := p.pending[0]
		if c.action == actionPublish && p.timeLeft(c.entry) == 0 {
			klog.InfoS("crash part not stored, it has expired", "part", formatPart(c.entry.Part), "tries", c.tries)
			p.pending = p.pending[1:]
			continue
		}
		c.tries++
		return *c, true
	}
	return partCall{}, false
}

// execute makes a call. It returns an error if the call has to be repeated later.
func (p *PartStore) execute(ctx context.Context, c partCall) error {
	var err error
	if c.action == actionPublish {
		err = p.config.Store.WriteCrashPart(ctx, p.config.Kind, c.entry, c.revision)
	} else {
		err = p.config.Store.RemoveCrashPart(ctx, p.config.Kind, c.entry.Part, c.revision)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var status *platform.StatusError
	switch {
	case err == nil:
		klog.V(1).InfoS("crash part stored or removed", "kind", p.config.Kind, "part", formatPart(c.entry.Part), "action", c.action, "tries", c.tries)
		p.finish(c)
	case errors.As(err, &status) && status.Conflict():
		if p.resolveConflict(c, status) {
			return err
		}
	case errors.As(err, &status) && isPermanent(status):
		klog.ErrorS(err, "crash part refused by the store", "kind", p.config.Kind, "part", formatPart(c.entry.Part), "action", c.action)
		p.finish(c)
	default:
		klog.V(1).InfoS("crash part not yet stored or removed", "err", err, "kind", p.config.Kind, "part", formatPart(c.entry.Part), "action", c.action, "tries", c.tries)
		return err
	}
	return nil
}

// isPermanent reports whether the same call would fail again.
func isPermanent(e *platform.StatusError) bool {
	return e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError && !e.Busy()
}

// finish drops a call that was made, unless another one has replaced it.
func (p *PartStore) finish(c partCall) {
	if o := p.find(c.entry.Part); o != nil && o.action == c.action {
		p.drop(c.entry.Part)
	}
	if known, ok := p.stored[c.entry.Part]; ok && c.action != actionPublish && known.revision == c.revision {
		delete(p.stored, c.entry.Part)
	}
}

// resolveConflict handles a call whose key did not have the expected revision, and reports
// whether to repeat it with the revision that the key has. A valid entry of another host
// makes a write unnecessary; one that has expired or can't be read is replaced. A withdrawal
// that expected no entry removes the one that exists; other removals leave an entry that has
// changed.
func (p *PartStore) resolveConflict(c partCall, status *platform.StatusError) bool {
	revision, isValid := p.currentEntry(c.entry.Part, status)
	isNeeded := c.action == actionPublish && !isValid || c.action == actionWithdraw && c.revision == 0
	if isNeeded && revision != c.revision {
		if o := p.find(c.entry.Part); o != nil && o.action == c.action {
			o.revision = revision
		}
		return true
	}
	klog.V(1).InfoS("entry of crash part written or removed by another host", "kind", p.config.Kind, "part", formatPart(c.entry.Part), "action", c.action, "store_revision", revision)
	p.finish(c)
	return false
}

// currentEntry returns the revision of the part's entry, or 0 if it does not exist, and
// whether it is valid and has not expired.
func (p *PartStore) currentEntry(part uint64, status *platform.StatusError) (int64, bool) {
	for _, i := range status.Current {
		change, err := platform.DecodeItem(i)
		if change.Kind != p.config.Kind || change.Deleted || i.Revision == 0 {
			continue
		}
		return i.Revision, err == nil && change.CrashPart.Part == part && p.timeLeft(change.CrashPart) > 0
	}
	return 0, false
}
