package kvstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"siskinstand.example/adapters/kvstore"
	"siskinstand.example/coord/claim"
	"siskinstand.example/coord/invariant"
)

// slowStore delays every compare-and-swap, so that writes of different appenders
// overlap.
type slowStore struct {
	*memStore
	delay func() time.Duration
}

func (s slowStore) CompareAndSwap(ctx context.Context, key string, value []byte, version, leaseID int64) (int64, error) {
	time.Sleep(s.delay())
	v, err := s.memStore.CompareAndSwap(ctx, key, value, version, leaseID)
	time.Sleep(s.delay())
	return v, err
}

type appender struct {
	*ClaimLog
	stop func()
}

func startClaimLog(store Store, id string, invariants *invariant.Registry) *appender {
	l := NewClaimLog(ClaimLogConfig{Store: store, ProcessID: id, Invariants: invariants})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = l.Run(ctx) })
	return &appender{ClaimLog: l, stop: func() { cancel(); group.Wait() }}
}

// claimSimulation runs concurrent callers against several appenders on one store.
type claimSimulation struct {
	mu         sync.Mutex
	random     *rand.Rand
	store      *memStore
	invariants *invariant.Registry
	appenders  []*appender
	started    int
	// runs counts the executions of each key. A released call did not run.
	runs           map[int]int
	claimed        int
	failed         int
	alreadyClaimed int
}

func (sim *claimSimulation) intN(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(n)
}

func (sim *claimSimulation) startAppender() *appender {
	sim.started++
	store := slowStore{sim.store, func() time.Duration { return time.Duration(sim.intN(40)) * time.Millisecond }}
	return startClaimLog(store, fmt.Sprintf("p%d", sim.started), sim.invariants)
}

func (sim *claimSimulation) randomAppender() *appender {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.appenders[sim.random.IntN(len(sim.appenders))]
}

// call performs one request for a key. After an error it retries once, at an
// appender that it again picks at random, with the same claim ID, as a gateway
// does.
func (sim *claimSimulation) call(n, key int) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	id, k := fmt.Sprintf("c%d", n), claim.NewKey("a", "r", fmt.Sprint(key))
	claimLog := sim.randomAppender()
	record, err := claimLog.Claim(ctx, k, id, 0)
	if err != nil {
		claimLog = sim.randomAppender()
		retryCtx, cancelRetry := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancelRetry()
		record, err = claimLog.Claim(retryCtx, k, id, 0)
	}
	if err == nil && record.State == claim.StateClaimed && sim.intN(4) == 0 {
		sim.increment(&sim.claimed)
		_ = sim.randomAppender().Release(context.Background(), k, id)
		return
	}
	switch {
	case err != nil:
		sim.increment(&sim.failed)
	case record.State == claim.StateClaimed:
		sim.increment(&sim.claimed)
		sim.mu.Lock()
		sim.runs[key]++
		sim.mu.Unlock()
		_ = sim.randomAppender().Complete(ctx, k, id, claim.Result{HTTPStatus: 200, Body: []byte(id)})
	default:
		sim.increment(&sim.alreadyClaimed)
	}
}

func (sim *claimSimulation) increment(counter *int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	*counter++
}

// injectFault causes a store outage or replaces an appender.
func (sim *claimSimulation) injectFault() {
	if sim.intN(2) == 0 {
		sim.store.setDown(true)
		time.Sleep(time.Duration(sim.intN(4000)) * time.Millisecond)
		sim.store.setDown(false)
		return
	}
	i := sim.intN(len(sim.appenders))
	replacement := sim.startAppender()
	sim.mu.Lock()
	previous := sim.appenders[i]
	sim.appenders[i] = replacement
	sim.mu.Unlock()
	previous.stop()
}

// Guards against a call that runs twice when responses are lost, the store is down,
// appenders stop or callers fall back to another appender.
func TestClaimLogAtMostOnce(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			sim := &claimSimulation{random: rand.New(rand.NewPCG(seed, 0)), store: newMemStore(), invariants: invariant.NewRegistry(nil), runs: map[int]int{}}
			sim.store.loseResponse = func() (bool, bool) { return sim.intN(5) == 0, sim.intN(2) == 0 }
			for range 3 {
				sim.appenders = append(sim.appenders, sim.startAppender())
			}
			var callers sync.WaitGroup
			for n := range 600 {
				callers.Go(func() { sim.call(n, sim.intN(150)) })
				time.Sleep(time.Duration(sim.intN(40)) * time.Millisecond)
				if n%60 == 59 {
					sim.injectFault()
				}
			}
			callers.Wait()
			for _, a := range sim.appenders {
				a.stop()
			}
			for key, runs := range sim.runs {
				if runs > 1 {
					t.Errorf("seed %d: key %d ran %d times, want at most once", seed, key, runs)
				}
			}
			if sim.invariants.Total() != 0 || sim.claimed < 50 || sim.alreadyClaimed < 50 {
				t.Errorf("seed %d: %d violations, want 0; %d claimed and %d already claimed, want at least 50 each; %d failed", seed, sim.invariants.Total(), sim.claimed, sim.alreadyClaimed, sim.failed)
			}
		})
	}
}

// Guards against one write per claim instead of per batch, and against more than
// 10 writes per second and partition, on average over the partitions.
func TestClaimLogBatchesWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemStore()
		claimLog := startClaimLog(m, "p", nil)
		var callers sync.WaitGroup
		for i := range 2_000 {
			callers.Go(func() {
				r, err := claimLog.Claim(t.Context(), claim.NewKey("a", "r", fmt.Sprint(i)), fmt.Sprint(i), 0)
				if err != nil || r.State != claim.StateClaimed {
					t.Errorf("Claim = %s, %v, want claimed", r.State, err)
				}
			})
			time.Sleep(time.Millisecond)
		}
		callers.Wait()
		t.Logf("2,000 claims in 2 s: %d writes", m.swaps)
		if m.swaps > 2*claim.PartitionCount*10+2*claim.PartitionCount {
			t.Errorf("%d writes in 2 s, want at most 10 per second in each partition", m.swaps)
		}
		claimLog.stop()
	})
}

// Guards against a claim refused during an outage that blocks its key, and
// against a second request, to a new process, that does not get the recorded
// result.
func TestClaimLogRecoversFromOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, key := newMemStore(), claim.NewKey("a", "r", "k")
		first := startClaimLog(m, "p1", nil)
		m.setDown(true)
		if _, err := first.Claim(t.Context(), key, "c1", 7); !errors.Is(err, kvstore.ErrUnavailable) {
			t.Errorf("Claim in an outage: error %v, want ErrUnavailable", err)
		}
		m.setDown(false)
		if r, err := first.Claim(t.Context(), key, "c2", 7); err != nil || r.State != claim.StateClaimed {
			t.Fatalf("Claim after the outage = %s, %v, want claimed", r.State, err)
		}
		if err := first.Complete(t.Context(), key, "c2", claim.Result{HTTPStatus: 201, Body: make([]byte, claim.MaxResultBytes+1)}); err != nil {
			t.Fatal(err)
		}
		first.stop()
		second := startClaimLog(m, "p2", nil)
		r, err := second.Claim(t.Context(), key, "c3", 7)
		if err != nil || r.State != claim.StateDone || r.Holder != "p1" || r.BodyHash != 7 || r.Result.HTTPStatus != 201 || !r.Result.Truncated {
			t.Errorf("Claim by a new process = %+v, %v, want the truncated result with status 201 recorded by p1", r, err)
		}
		second.stop()
	})
}

// slowListStore delays List, like a store with a long chain.
type slowListStore struct {
	*memStore
	delay time.Duration
}

func (s slowListStore) List(ctx context.Context, prefix string) ([]kvstore.Pair, error) {
	select {
	case <-time.After(s.delay):
		return s.memStore.List(ctx, prefix)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against a partition that is never loaded because reading its chain takes
// longer than commitTimeout, and against a claim that takes effect after its
// caller has given up.
func TestClaimLogLoadsLongChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimLog := startClaimLog(slowListStore{newMemStore(), 3 * commitTimeout}, "p1", invariant.NewRegistry(nil))
		defer claimLog.stop()
		key := claim.NewKey("account", "route", "key")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := claimLog.Claim(ctx, key, "first", 1); err == nil {
			t.Fatal("the claim succeeded before the chain was loaded")
		}
		time.Sleep(4 * commitTimeout)
		record, err := claimLog.Claim(t.Context(), key, "second", 1)
		if err != nil || record.State != claim.StateClaimed {
			t.Errorf("Claim after the chain was loaded = %+v, %v, want claimed", record, err)
		}
	})
}

// Guards against a caller without a deadline that waits forever for a stopped
// claim log. TestClaimLogAtMostOnce detects such a caller only by chance.
func TestStoppedClaimLogReturnsError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimLog := startClaimLog(newMemStore(), "p1", invariant.NewRegistry(nil))
		synctest.Wait()
		claimLog.stop()
		if err := claimLog.Release(context.Background(), claim.NewKey("a", "r", "k"), "c1"); err == nil {
			t.Error("Release on a stopped claim log succeeded, want an error")
		}
	})
}
