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

// slowStore delays every call, so that appenders overlap.
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

func startBook(store Store, id string, invariants *invariant.Registry) *appender {
	b := NewClaimLog(ClaimLogConfig{Store: store, ProcessID: id, Invariants: invariants})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = b.Run(ctx) })
	return &appender{ClaimLog: b, stop: func() { cancel(); group.Wait() }}
}

// world runs callers against appenders on one store.
type world struct {
	mu         sync.Mutex
	random     *rand.Rand
	store      *memStore
	invariants *invariant.Registry
	appenders  []*appender
	starts     int
	// runs counts the runs of each key; a released call did not run.
	runs     map[int]int
	claimed  int
	refused  int
	repeated int
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) start() *appender {
	w.starts++
	store := slowStore{w.store, func() time.Duration { return time.Duration(w.intN(40)) * time.Millisecond }}
	return startBook(store, fmt.Sprintf("p%d", w.starts), w.invariants)
}

func (w *world) pick() *appender {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appenders[w.random.IntN(len(w.appenders))]
}

// call is one request for a key. After an error the caller asks a second
// appender with the same identifier, as a gateway does.
func (w *world) call(n, key int) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	id, k := fmt.Sprintf("c%d", n), claim.NewKey("a", "r", fmt.Sprint(key))
	book := w.pick()
	record, err := book.Claim(ctx, k, id, 0)
	if err != nil {
		book = w.pick()
		retryCtx, cancelRetry := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancelRetry()
		record, err = book.Claim(retryCtx, k, id, 0)
	}
	if err == nil && record.State == claim.StateClaimed && w.intN(4) == 0 {
		w.note(&w.claimed)
		_ = w.pick().Release(context.Background(), k, id)
		return
	}
	switch {
	case err != nil:
		w.note(&w.refused)
	case record.State == claim.StateClaimed:
		w.note(&w.claimed)
		w.mu.Lock()
		w.runs[key]++
		w.mu.Unlock()
		_ = w.pick().Complete(ctx, k, id, claim.Result{HTTPStatus: 200, Body: []byte(id)})
	default:
		w.note(&w.repeated)
	}
}

func (w *world) note(counter *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*counter++
}

// disturb makes an outage or replaces an appender.
func (w *world) disturb() {
	if w.intN(2) == 0 {
		w.store.setDown(true)
		time.Sleep(time.Duration(w.intN(4000)) * time.Millisecond)
		w.store.setDown(false)
		return
	}
	i := w.intN(len(w.appenders))
	fresh := w.start()
	w.mu.Lock()
	old := w.appenders[i]
	w.appenders[i] = fresh
	w.mu.Unlock()
	old.stop()
}

// Guards against a call that runs twice with lost answers, outages, crashes of
// appenders and callers that fall back to another appender.
func TestBookAtMostOnce(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			w := &world{random: rand.New(rand.NewPCG(seed, 0)), store: newMemStore(), invariants: invariant.NewRegistry(nil), runs: map[int]int{}}
			w.store.lose = func() (bool, bool) { return w.intN(5) == 0, w.intN(2) == 0 }
			for range 3 {
				w.appenders = append(w.appenders, w.start())
			}
			var callers sync.WaitGroup
			for n := range 600 {
				callers.Go(func() { w.call(n, w.intN(150)) })
				time.Sleep(time.Duration(w.intN(40)) * time.Millisecond)
				if n%60 == 59 {
					w.disturb()
				}
			}
			callers.Wait()
			for _, a := range w.appenders {
				a.stop()
			}
			for key, runs := range w.runs {
				if runs > 1 {
					t.Errorf("seed %d: key %d ran %d times", seed, key, runs)
				}
			}
			if w.invariants.Total() != 0 || w.claimed < 50 || w.repeated < 50 {
				t.Errorf("seed %d: %d violations, %d claimed, %d repeated, %d refused", seed, w.invariants.Total(), w.claimed, w.repeated, w.refused)
			}
		})
	}
}

// Guards against a batch that makes a write for each claim, and against more
// than 10 writes a second in a partition.
func TestBookBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemStore()
		book := startBook(m, "p", nil)
		var callers sync.WaitGroup
		for i := range 2_000 {
			callers.Go(func() {
				r, err := book.Claim(t.Context(), claim.NewKey("a", "r", fmt.Sprint(i)), fmt.Sprint(i), 0)
				if err != nil || r.State != claim.StateClaimed {
					t.Errorf("Claim = %s, %v", r.State, err)
				}
			})
			time.Sleep(time.Millisecond)
		}
		callers.Wait()
		t.Logf("2,000 claims in 2 s: %d writes", m.swaps)
		if m.swaps > 2*claim.PartitionCount*10+2*claim.PartitionCount {
			t.Errorf("%d writes in 2 s", m.swaps)
		}
		book.stop()
	})
}

// Guards against a refused claim that blocks its caller, and a second request
// that does not get the recorded answer, also from a new process.
func TestBookAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, key := newMemStore(), claim.NewKey("a", "r", "k")
		first := startBook(m, "p1", nil)
		m.setDown(true)
		if _, err := first.Claim(t.Context(), key, "c1", 7); !errors.Is(err, kvstore.ErrUnavailable) {
			t.Errorf("Claim in an outage: error %v", err)
		}
		m.setDown(false)
		if r, err := first.Claim(t.Context(), key, "c2", 7); err != nil || r.State != claim.StateClaimed {
			t.Fatalf("Claim = %s, %v", r.State, err)
		}
		if err := first.Complete(t.Context(), key, "c2", claim.Result{HTTPStatus: 201, Body: make([]byte, claim.MaxResultBytes+1)}); err != nil {
			t.Fatal(err)
		}
		first.stop()
		second := startBook(m, "p2", nil)
		r, err := second.Claim(t.Context(), key, "c3", 7)
		if err != nil || r.State != claim.StateDone || r.Holder != "p1" || r.BodyHash != 7 || r.Result.HTTPStatus != 201 || !r.Result.Truncated {
			t.Errorf("Claim = %+v, %v", r, err)
		}
		second.stop()
	})
}

// slowList is a store with a long chain.
type slowList struct {
	*memStore
	delay time.Duration
}

func (s slowList) List(ctx context.Context, prefix string) ([]kvstore.Pair, error) {
	select {
	case <-time.After(s.delay):
		return s.memStore.List(ctx, prefix)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against a partition whose chain takes longer to read than one commit,
// which was never read, and against a claim made after its caller had given up.
func TestBookRecoversLongChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBook(slowList{newMemStore(), 3 * commitTimeout}, "p1", invariant.NewRegistry(nil))
		defer b.stop()
		key := claim.NewKey("account", "route", "key")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := b.Claim(ctx, key, "first", 1); err == nil {
			t.Fatal("claimed before the chain was read")
		}
		time.Sleep(4 * commitTimeout)
		record, err := b.Claim(t.Context(), key, "second", 1)
		if err != nil || record.State != claim.StateClaimed {
			t.Errorf("got %+v, %v", record, err)
		}
	})
}

// Guards against a caller without a deadline that waits for ever on a book that
// has stopped; TestBookAtMostOnce met this at random.
func TestBookStoppedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startBook(newMemStore(), "p1", invariant.NewRegistry(nil))
		synctest.Wait()
		b.stop()
		if err := b.Release(context.Background(), claim.NewKey("a", "r", "k"), "c1"); err == nil {
			t.Error("a stopped book released a claim")
		}
	})
}
