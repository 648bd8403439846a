package kvstore

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
)

const (
	// orphanSweepInterval keeps the load on the store low: a sweep lists all
	// shards, and the reader of each availability zone does its own.
	orphanSweepInterval = 30 * time.Minute
	// orphanGracePeriod is the time for which a shard must be unreferenced by any
	// head before it is deleted. It exceeds the duration of an edit: an editor
	// gives up 10 min after it began to write shards.
	orphanGracePeriod = time.Hour
)

// orphanShard is a shard that the head does not reference, with its version and
// the time at which it was first seen unreferenced.
type orphanShard struct {
	version   int64
	firstSeen time.Time
}

// orphanTracker finds and deletes shards that no head references: new shards of
// editors that did not swap the head, and replaced shards of editors that crashed
// after the swap. It is not safe for concurrent use.
type orphanTracker struct {
	store      Store
	candidates map[string]orphanShard
	lastSweep  time.Time
}

// markReferenced removes the shards of a head from the candidates, so that their
// grace period starts again when a later head no longer references them.
func (o *orphanTracker) markReferenced(h config.Head) {
	for _, ref := range h.ShardRefs() {
		delete(o.candidates, ref.Digest)
	}
}

func (o *orphanTracker) sweepDue(now time.Time) bool {
	return now.Sub(o.lastSweep) >= orphanSweepInterval
}

// sweep deletes shards that have been orphans for the grace period. It reads the
// head after listing the shards, so that the shards of a head swapped in between
// count as referenced. Deletion compares versions, so that a shard that an
// editor has rewritten in the meantime is kept. A store whose revision is below
// minRevision is not swept, because its head may lack the newest shards.
func (o *orphanTracker) sweep(ctx context.Context, now time.Time, minRevision uint64) error {
	o.lastSweep = now
	pairs, err := o.store.List(ctx, config.ShardPrefix)
	if err != nil {
		return eris.Wrap(err, "list shards")
	}
	pair, err := o.store.Get(ctx, config.HeadKey)
	if err != nil {
		return eris.Wrap(err, "read head")
	}
	head, err := config.DecodeHead(pair.Value)
	if err != nil {
		return err
	}
	if head.Revision < minRevision {
		return eris.Errorf("the store has revision %d, revision %d is in force", head.Revision, minRevision)
	}
	for _, p := range o.trackOrphans(now, head, pairs) {
		if err := o.store.CompareAndDelete(ctx, p.Key, p.Version); err != nil {
			return eris.Wrapf(err, "delete %s", p.Key)
		}
		klog.InfoS("deleted orphaned shard", "key", p.Key)
	}
	return nil
}

// trackOrphans updates the candidates from a listing of all shards and returns
// the orphans whose grace period has passed.
func (o *orphanTracker) trackOrphans(now time.Time, head config.Head, pairs []kvstore.Pair) []kvstore.Pair {
	o.markReferenced(head)
	referenced := map[string]bool{}
	for _, ref := range head.ShardRefs() {
		referenced[ref.Digest] = true
	}
	next := map[string]orphanShard{}
	var expired []kvstore.Pair
	for _, p := range pairs {
		digest := strings.TrimPrefix(p.Key, config.ShardPrefix)
		if referenced[digest] {
			continue
		}
		candidate, ok := o.candidates[digest]
		if !ok || candidate.version != p.Version {
			candidate = orphanShard{version: p.Version, firstSeen: now}
		}
		next[digest] = candidate
		if now.Sub(candidate.firstSeen) >= orphanGracePeriod {
			expired = append(expired, p)
		}
	}
	o.candidates = next
	return expired
}
