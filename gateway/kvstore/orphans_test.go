package kvstore

import (
	"testing"
	"testing/synctest"
	"time"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/config"
)

// Guards against shards of crashed editors that fill the store, and against the
// deletion of a shard that a head names, that a head named within the last hour
// or that an editor has written again.
func TestOrphanedShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemStore()
		accept(t, m, "out")
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
		a.TryAcquire()
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
		// The retired shard of this edit stays in the store for the test.
		accept(t, m, "in")
		time.Sleep(orphanInterval)
		assertStored(3, "repeated")
		time.Sleep(orphanGrace + orphanInterval)
		assertStored(1)
		a.assertRevision(t, 2)
	})
}

// Guards against a sweep that trusts a store older than the configuration in
// force, whose head does not name the newest shards.
func TestOrphansOfOlderStore(t *testing.T) {
	m := newMemStore()
	accept(t, m, "out")
	o := orphans{store: m}
	if err := o.sweep(t.Context(), time.Unix(1_000_000, 0), 2); err == nil {
		t.Error("an older store was swept")
	}
}

// Guards against the deletion of a shard that was an orphan, was then named by
// a head and retired by the next one, all within the last hour.
func TestShardOfRecentHeadStays(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	shard := []kvstore.Pair{{Key: config.ShardPrefix + "s", Version: 1}}
	empty, naming := config.EmptyHead(), config.EmptyHead()
	naming.Shards[config.TablePools][0] = "s"
	var o orphans
	o.overdue(start, empty, shard)
	o.named(naming)
	retired := start.Add(orphanGrace)
	if list := o.overdue(retired, empty, shard); len(list) != 0 {
		t.Errorf("%v is deleted although a head just named it", list)
	}
	if list := o.overdue(retired.Add(orphanGrace), empty, shard); len(list) != 1 {
		t.Errorf("%v is deleted an hour later, want the shard", list)
	}
}
