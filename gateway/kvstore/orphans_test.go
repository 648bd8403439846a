package kvstore

import (
	"testing"
	"testing/synctest"
	"time"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
)

// Guards against shards of crashed editors that accumulate in the store, and
// against the deletion of a shard that a head references, that a head referenced
// within the last hour or that an editor has rewritten.
func TestOrphanedShardsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemStore()
		writeEdit(t, m, "out")
		put := func(name string) {
			pair, _ := m.Get(t.Context(), config.ShardPrefix+name)
			if _, err := m.CompareAndSwap(t.Context(), config.ShardPrefix+name, []byte("x"), pair.Version, 0); err != nil {
				t.Fatal(err)
			}
		}
		put("crashed")
		put("repeated")
		a := startReader(t, m, "a")
		defer a.stop()
		a.RequestLease()
		a.assertRevision(t, 1)
		assertStored := func(want int, present ...string) {
			t.Helper()
			synctest.Wait()
			pairs, err := m.List(t.Context(), config.ShardPrefix)
			if err != nil || len(pairs) != want {
				t.Errorf("%d shards, %v, want %d", len(pairs), err, want)
			}
			for _, name := range present {
				if _, err := m.Get(t.Context(), config.ShardPrefix+name); err != nil {
					t.Errorf("shard %s was deleted", name)
				}
			}
		}
		time.Sleep(70 * time.Minute)
		put("repeated")
		// writeEdit does not delete the shard that this edit replaces.
		writeEdit(t, m, "in")
		time.Sleep(orphanSweepInterval)
		assertStored(3, "repeated")
		time.Sleep(orphanGracePeriod + orphanSweepInterval)
		assertStored(1)
		a.assertRevision(t, 2)
	})
}

// Guards against a sweep of a store that is older than the configuration in
// force, whose head does not reference the newest shards.
func TestOlderStoreIsNotSwept(t *testing.T) {
	m := newMemStore()
	writeEdit(t, m, "out")
	o := orphanTracker{store: m}
	if err := o.sweep(t.Context(), time.Unix(1_000_000, 0), 2); err == nil {
		t.Error("sweep of a store older than the configuration in force succeeded")
	}
}

// Guards against the deletion of a shard that was first seen as an orphan an hour
// ago, but since then was referenced by one head and replaced by the next.
func TestRecentlyReferencedShardIsKept(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	shard := []kvstore.Pair{{Key: config.ShardPrefix + "s", Version: 1}}
	empty, referencing := config.EmptyHead(), config.EmptyHead()
	referencing.Shards[config.TablePools][0] = "s"
	var o orphanTracker
	o.trackOrphans(start, empty, shard)
	o.markReferenced(referencing)
	replaced := start.Add(orphanGracePeriod)
	if list := o.trackOrphans(replaced, empty, shard); len(list) != 0 {
		t.Errorf("%v expired although a head has just referenced it", list)
	}
	if list := o.trackOrphans(replaced.Add(orphanGracePeriod), empty, shard); len(list) != 1 {
		t.Errorf("%v expired an hour later, want the shard", list)
	}
}
