package kvstore_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/adapters/kvstore"
	fake "siskinstand.example/fakes/kvstore"
	"siskinstand.example/fakes/server"
)

type fixture struct {
	fake    *fake.Store
	adapter *kvstore.Client
}

func startStore(t *testing.T) *fixture { return startStoreWithTimeout(t, 3*time.Second) }

func startStoreWithTimeout(t *testing.T, callTimeout time.Duration) *fixture {
	t.Helper()
	var s *server.Server
	f := &fixture{}
	f.fake = fake.New(fake.Config{OnRestart: func(d time.Duration) { s.StopFor(d) }})
	s, err := server.StartLoopback(f.fake.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	limits := kvstore.DefaultLimits()
	limits.CallTimeout = callTimeout
	limits.WatchTimeout = 200 * time.Millisecond
	f.adapter = kvstore.NewClient(s.Address(), limits)
	return f
}

func (f *fixture) setSwitches(t *testing.T, s fake.Switches) {
	t.Helper()
	if err := f.fake.SetSwitches(s); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) compareAndSwap(t *testing.T, key, value string, version int64) int64 {
	t.Helper()
	next, err := f.adapter.CompareAndSwap(context.Background(), key, []byte(value), version, 0)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func wantError(t *testing.T, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("got %v, want %v", err, target)
	}
}

// Guards against lost updates, against a version that is reused after a key was
// deleted and created again, and against a wrong limit of the value size.
func TestCompareAndSwap(t *testing.T) {
	ctx, f := context.Background(), startStore(t)
	first := f.compareAndSwap(t, "k", "a", 0)
	_, err := f.adapter.CompareAndSwap(ctx, "k", []byte("b"), 0, 0)
	wantError(t, err, kvstore.ErrConflict)
	wantError(t, f.adapter.CompareAndDelete(ctx, "k", first+1), kvstore.ErrConflict)
	if err := f.adapter.CompareAndDelete(ctx, "k", first); err != nil {
		t.Fatal(err)
	}
	_, err = f.adapter.Get(ctx, "k")
	wantError(t, err, kvstore.ErrNotFound)
	if second := f.compareAndSwap(t, "k", "c", 0); second <= first {
		t.Fatalf("version %d after %d, want a higher one", second, first)
	}
	_, err = f.adapter.CompareAndSwap(ctx, "big", make([]byte, kvstore.MaxValueBytes+1), 0, 0)
	wantError(t, err, kvstore.ErrValueTooLarge)
	largest := bytes.Repeat([]byte{7}, kvstore.MaxValueBytes)
	if _, err := f.adapter.CompareAndSwap(ctx, "big", largest, 0, 0); err != nil {
		t.Fatal(err)
	}
	if pair, err := f.adapter.Get(ctx, "big"); err != nil || !bytes.Equal(pair.Value, largest) {
		t.Fatalf("got %d bytes, %v; want the 1 MiB written", len(pair.Value), err)
	}
}

// Guards against a list of several pages that misses keys, is out of order or has
// keys outside the prefix.
func TestListReadsAllPagesOfThePrefix(t *testing.T) {
	f := startStore(t)
	for i := range 40 {
		f.compareAndSwap(t, fmt.Sprintf("p/%02d", i), "v", 0)
	}
	f.compareAndSwap(t, "p0", "foreign", 0)
	list, err := f.adapter.List(context.Background(), "p/")
	if err != nil || len(list) != 40 || list[0].Key != "p/00" || list[39].Key != "p/39" {
		t.Fatalf("got %d keys, %v; want p/00 to p/39", len(list), err)
	}
	if all, err := f.adapter.List(context.Background(), ""); err != nil || len(all) != 41 {
		t.Fatalf("got %d keys, %v; want 41", len(all), err)
	}
}

// Guards against a lost response that is reported as a failed write, although the
// write took effect.
func TestLostResponseIsUnknownAndWriteTakesEffect(t *testing.T) {
	ctx, f := context.Background(), startStore(t)
	f.setSwitches(t, fake.Switches{LoseAnswers: 1, LosePrefix: "k"})
	f.compareAndSwap(t, "other", "v", 0)
	_, err := f.adapter.CompareAndSwap(ctx, "k", []byte("a"), 0, 0)
	wantError(t, err, kvstore.ErrOutcomeUnknown)
	if pair, err := f.adapter.Get(ctx, "k"); err != nil || string(pair.Value) != "a" {
		t.Fatalf("got %+v, %v; want the value a", pair, err)
	}
	if n := f.fake.Counters().LostAnswers; n != 1 {
		t.Fatalf("%d responses lost, want 1", n)
	}
}

// Guards against an error that reports a write as not executed when it may have
// been, or as possibly executed when the store rejected or never received it.
func TestErrorsTellWhetherAWriteMayHaveHappened(t *testing.T) {
	cases := map[string]struct {
		switches fake.Switches
		write    error
	}{
		"outage":      {fake.Switches{Outage: true}, kvstore.ErrOutcomeUnknown},
		"unavailable": {fake.Switches{Unavailable: true}, kvstore.ErrOutcomeUnknown},
		"slow":        {fake.Switches{Delay: server.Duration(time.Minute)}, kvstore.ErrOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, f := context.Background(), startStoreWithTimeout(t, 500*time.Millisecond)
			f.setSwitches(t, c.switches)
			_, err := f.adapter.CompareAndSwap(ctx, "k", []byte("a"), 0, 0)
			wantError(t, err, c.write)
			_, err = f.adapter.Get(ctx, "k")
			wantError(t, err, kvstore.ErrUnavailable)
			_, err = f.adapter.Watch(ctx, "k", 0)
			wantError(t, err, kvstore.ErrUnavailable)
		})
	}
	t.Run("rate limit", func(t *testing.T) {
		ctx, f := context.Background(), startStore(t)
		f.setSwitches(t, fake.Switches{WritesPerSecond: 1})
		version := f.compareAndSwap(t, "k", "a", 0)
		_, err := f.adapter.CompareAndSwap(ctx, "k", []byte("b"), version, 0)
		wantError(t, err, kvstore.ErrUnavailable)
	})
	t.Run("refused", func(t *testing.T) {
		ctx, f := context.Background(), startStore(t)
		f.fake.Restart(0, time.Hour)
		_, err := f.adapter.CompareAndSwap(ctx, "k", []byte("a"), 0, 0)
		wantError(t, err, kvstore.ErrUnavailable)
	})
}

// Guards against a watch that misses a write, a deletion or a return to older data
// after a restart, or that returns before anything has changed.
func TestWatch(t *testing.T) {
	ctx, f := context.Background(), startStore(t)
	first := f.compareAndSwap(t, "k", "a", 0)
	f.compareAndSwap(t, "other", "x", 0)
	var written atomic.Int64
	time.AfterFunc(500*time.Millisecond, func() {
		version, _ := f.adapter.CompareAndSwap(ctx, "k", []byte("b"), first, 0)
		written.Store(version)
	})
	pair, err := f.adapter.Watch(ctx, "k", first)
	if err != nil || string(pair.Value) != "b" {
		t.Fatalf("got %+v, %v; want the value b", pair, err)
	}
	time.AfterFunc(100*time.Millisecond, func() { _ = f.adapter.CompareAndDelete(ctx, "k", pair.Version) })
	gone, err := f.adapter.Watch(ctx, "k", pair.Version)
	if err != nil || gone.Version != 0 {
		t.Fatalf("got %+v, %v; want version 0 for the deleted key", gone, err)
	}
	f.fake.Restart(2, 0)
	older, err := f.adapter.Watch(ctx, "k", pair.Version)
	if err != nil || string(older.Value) != "a" || older.Version != first {
		t.Fatalf("got %+v, %v; want the value a at its first version", older, err)
	}
	short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	_, err = f.adapter.Watch(short, "k", first)
	wantError(t, err, context.DeadlineExceeded)
}

// Guards against a lease that does not expire, whose keys remain after it ended,
// or whose ID is not higher than that of an earlier lease.
func TestLeases(t *testing.T) {
	ctx, f := context.Background(), startStore(t)
	one, err := f.adapter.GrantLease(ctx, 900*time.Millisecond)
	if err != nil || one.TimeToLive != time.Second {
		t.Fatalf("got %+v, %v; want a time to live of 1s", one, err)
	}
	two, err := f.adapter.GrantLease(ctx, time.Minute)
	if err != nil || two.ID <= one.ID {
		t.Fatalf("got %+v after %+v, %v; want a higher ID", two, one, err)
	}
	for key, id := range map[string]int64{"one": one.ID, "two": two.ID} {
		if _, err := f.adapter.CompareAndSwap(ctx, key, nil, 0, id); err != nil {
			t.Fatal(err)
		}
	}
	for range 4 {
		time.Sleep(400 * time.Millisecond)
		if _, err := f.adapter.KeepAlive(ctx, one.ID); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1300 * time.Millisecond)
	_, err = f.adapter.KeepAlive(ctx, one.ID)
	wantError(t, err, kvstore.ErrLeaseLost)
	_, err = f.adapter.Get(ctx, "one")
	wantError(t, err, kvstore.ErrNotFound)
	_, err = f.adapter.CompareAndSwap(ctx, "one", nil, 0, one.ID)
	wantError(t, err, kvstore.ErrLeaseLost)
	if err := f.adapter.RevokeLease(ctx, two.ID); err != nil {
		t.Fatal(err)
	}
	_, err = f.adapter.Get(ctx, "two")
	wantError(t, err, kvstore.ErrNotFound)
	wantError(t, f.adapter.RevokeLease(ctx, two.ID), kvstore.ErrLeaseLost)
}
