package storewatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	fake "siskinstand.example/fakes/platform"
	"siskinstand.example/platform"
)

const (
	partPrefix = "siskin/part/"
	txnPath    = "/siskinstand/kv-txn"
)

func partKey(part uint64) string { return fmt.Sprintf("%s%016x", partPrefix, part) }

func refusedPart(part uint64) platform.CrashPart {
	return platform.CrashPart{Part: part, Crashes: []uint64{part + 1, part + 2}, RefusedAt: time.Now().UnixMilli()}
}

// putPart writes an entry as a host would that refused the part some time ago.
func putPart(s *fake.Store, part uint64, age time.Duration) int64 {
	return s.Put(partKey(part), map[string]any{"crashes": []string{"0000000000000001"}, "refused_at_ms": time.Now().Add(-age).UnixMilli()})
}

// runParts runs the PartStore of a watcher that does not watch.
func runParts(t *testing.T, w *Watcher) *PartStore {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.config.Parts.run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return w.config.Parts
}

func (p *PartStore) pendingCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}

func checkDone(t *testing.T, p *PartStore) {
	t.Helper()
	if !waitUntil(3*time.Second, func() bool { return p.pendingCalls() == 0 }) {
		t.Fatalf("%d calls still pending after 3s", p.pendingCalls())
	}
}

func checkKeys(t *testing.T, s *fake.Store, want int) {
	t.Helper()
	if keys := s.Keys(partPrefix); len(keys) != want {
		t.Errorf("entries in the store: %v, want %d", keys, want)
	}
}

func checkCalls(t *testing.T, s *fake.Store, limit int) {
	t.Helper()
	if n := s.Calls(txnPath); n > limit {
		t.Errorf("%d transactions, want at most %d", n, limit)
	}
}

func (h *zoneHost) refuses(part uint64) bool {
	h.sink.mu.Lock()
	defer h.sink.mu.Unlock()
	return h.sink.parts[part]
}

func (z *zoneHosts) checkAll(t *testing.T, part uint64, want bool) {
	t.Helper()
	for i, h := range z.hosts {
		if !waitUntil(time.Second, func() bool { return h.refuses(part) == want }) {
			t.Errorf("host %d: part refused = %t after 1s, want %t", i, !want, want)
		}
	}
}

func TestPartsInZone(t *testing.T) {
	// Guards against hosts that do not learn of a refused part or of its end: watching hosts,
	// followers, and hosts that start later or after all others have ended.
	z := startZone(t, 4)
	time.Sleep(startupPeriod + 500*time.Millisecond)
	before := z.store.Calls(txnPath)
	z.hosts[2].config.Parts.Publish(refusedPart(7))
	z.hosts[3].config.Parts.Publish(refusedPart(7))
	z.checkAll(t, 7, true)
	z.hosts[0].config.Parts.Publish(refusedPart(7))
	// Two hosts wrote at the same time; the third one already knew of the entry.
	checkCalls(t, z.store, before+2)
	checkKeys(t, z.store, 1)
	for _, h := range z.hosts {
		h.stop()
	}
	z.hosts = []*zoneHost{z.start(t, 4), z.start(t, 5), z.start(t, 6)}
	z.checkAll(t, 7, true)
	time.Sleep(startupPeriod + 500*time.Millisecond)
	before = z.store.Calls(txnPath)
	z.hosts[2].config.Parts.Withdraw(7)
	z.checkAll(t, 7, false)
	checkCalls(t, z.store, before+1)
	checkKeys(t, z.store, 0)
}

func TestPublishThroughOutage(t *testing.T) {
	// Guards against a refused part that is lost with a failed call, and against two entries
	// or an endless repetition after a lost answer.
	for _, fault := range []fake.Fault{fake.FaultUnavailable, fake.FaultTooManyRequests, fake.FaultReset, fake.FaultHang, fake.FaultLostAnswer} {
		t.Run(string(fault), func(t *testing.T) {
			w, store, _ := newTestWatcher(t, Config{})
			p := runParts(t, w)
			store.SetFault(fault)
			p.Publish(refusedPart(1))
			p.Publish(refusedPart(2))
			p.Withdraw(2)
			if !waitUntil(3*time.Second, func() bool { return store.Calls(txnPath) > 1 }) {
				t.Fatal("the call was not repeated")
			}
			if p.pendingCalls() == 0 {
				t.Error("no call is pending although all failed")
			}
			store.SetFault(fake.FaultNone)
			checkDone(t, p)
			checkKeys(t, store, 1)
		})
	}
}

func TestWithdraw(t *testing.T) {
	t.Run("entry not known yet", func(t *testing.T) {
		// Guards against an entry that stays because this host has not seen it.
		w, store, _ := newTestWatcher(t, Config{})
		putPart(store, 1, 0)
		p := runParts(t, w)
		p.Withdraw(1)
		checkDone(t, p)
		checkKeys(t, store, 0)
	})
	t.Run("newer entry", func(t *testing.T) {
		// Guards against a late withdrawal that removes a refusal made after it.
		w, store, _ := newTestWatcher(t, Config{})
		p := w.config.Parts
		p.observe(platform.Change{CrashPart: refusedPart(1), Revision: putPart(store, 1, 0)})
		p.Withdraw(1)
		putPart(store, 1, 0)
		runParts(t, w)
		checkDone(t, p)
		checkKeys(t, store, 1)
		checkCalls(t, store, 1)
	})
	t.Run("refused again", func(t *testing.T) {
		// Guards against a withdrawal in flight that removes the entry of a new refusal.
		w, store, _ := newTestWatcher(t, Config{})
		p := w.config.Parts
		p.observe(platform.Change{CrashPart: refusedPart(1), Revision: putPart(store, 1, 0)})
		p.Withdraw(1)
		c, _ := p.next()
		p.Publish(refusedPart(1))
		if err := p.execute(t.Context(), c); err != nil {
			t.Fatal(err)
		}
		runParts(t, w)
		checkDone(t, p)
		checkKeys(t, store, 1)
	})
	for name, publishAgain := range map[string]bool{"written late": false, "published twice and written late": true} {
		t.Run(name, func(t *testing.T) {
			// Guards against a write without a response that the store executes after the part
			// has been withdrawn.
			w, store, _ := newTestWatcher(t, Config{})
			p := w.config.Parts
			store.SetFault(fake.FaultReset)
			p.Publish(refusedPart(1))
			c, _ := p.next()
			if err := p.execute(t.Context(), c); err == nil {
				t.Fatal("the write had a response")
			}
			if publishAgain {
				again := refusedPart(1)
				again.RefusedAt++
				p.Publish(again)
			}
			p.Withdraw(1)
			store.SetFault(fake.FaultNone)
			runParts(t, w)
			checkDone(t, p)
			if err := w.config.Store.WriteCrashPart(t.Context(), platform.ChangeCrashPart, c.entry, 0); err != nil {
				t.Fatal(err)
			}
			if _, err := w.readAll(t.Context()); err != nil {
				t.Fatal(err)
			}
			checkDone(t, p)
			checkKeys(t, store, 0)
		})
	}
	t.Run("not written yet", func(t *testing.T) {
		// Guards against calls that are not needed.
		w, store, _ := newTestWatcher(t, Config{})
		p := w.config.Parts
		p.Publish(refusedPart(1))
		p.Withdraw(1)
		runParts(t, w)
		checkDone(t, p)
		checkCalls(t, store, 0)
	})
}

func TestPublishByAnotherHost(t *testing.T) {
	// Guards against calls that are not needed, and against an expired entry that hides a new
	// refusal.
	for age, want := range map[time.Duration]int{0: 0, time.Minute: 0, 2 * time.Hour: 1} {
		p := NewPartStore(PartStoreConfig{Kind: platform.ChangeCrashPart, Expiry: time.Hour})
		p.Publish(refusedPart(1))
		old := refusedPart(1)
		old.RefusedAt -= age.Milliseconds()
		p.observe(platform.Change{CrashPart: old, Revision: 1})
		if n := p.pendingCalls(); n != want {
			t.Errorf("%d calls pending after an entry of age %v was read, want %d", n, age, want)
		}
		p.Publish(refusedPart(1))
		if n := p.pendingCalls(); n != want {
			t.Errorf("%d calls pending if the part is refused after that, want %d", n, want)
		}
	}
}

func TestPublishReplaces(t *testing.T) {
	// Guards against an old entry, or one of another writer, that hides a new refusal.
	for name, value := range map[string]any{
		"expired":    map[string]any{"crashes": []string{"0000000000000001"}, "refused_at_ms": 1},
		"unreadable": []byte("\xff"),
	} {
		t.Run(name, func(t *testing.T) {
			w, store, _ := newTestWatcher(t, Config{})
			revision := store.Put(partKey(1), value)
			p := runParts(t, w)
			p.Publish(refusedPart(1))
			checkDone(t, p)
			page, err := w.config.Store.Range(t.Context(), partPrefix, "")
			if err != nil || len(page.Items) != 1 || page.Items[0].Revision <= revision {
				t.Errorf("entries %+v, %v, want one written after revision %d", page.Items, err, revision)
			}
			checkCalls(t, store, 2)
		})
	}
}

func TestPartBounds(t *testing.T) {
	// Guards against callers who fill the memory of hosts or the store with parts.
	w, store, _ := newTestWatcher(t, Config{})
	p := w.config.Parts
	for part := range uint64(3 * maxPendingParts) {
		p.Publish(refusedPart(part))
	}
	if n := p.pendingCalls(); n != maxPendingParts {
		t.Errorf("%d calls pending, want %d", n, maxPendingParts)
	}
	runParts(t, w)
	checkDone(t, p)
	if _, err := w.readAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	p.Publish(refusedPart(1 << 40))
	checkDone(t, p)
	checkKeys(t, store, maxStoredParts)
}

func TestExpiredPart(t *testing.T) {
	t.Run("removed by watching hosts", func(t *testing.T) {
		// Guards against entries that stay forever, and against a removal by every host.
		z := newZone(t)
		z.partExpiry = 10 * time.Second // removals spread over 170 ms
		putPart(z.store, 1, z.partExpiry)
		putPart(z.store, 2, z.partExpiry-2*time.Second)
		putPart(z.store, 3, 0)
		z.store.Put(partPrefix+"x", "of another writer")
		for i := range 4 {
			z.hosts = append(z.hosts, z.start(t, i))
		}
		if !waitUntil(4*time.Second, func() bool { return len(z.store.Keys(partPrefix)) == 2 }) {
			t.Errorf("entries %v, want only part 3 and that of another writer", z.store.Keys(partPrefix))
		}
		// Each host writes its own entry; during the startupPeriod all hosts watch.
		checkCalls(t, z.store, 4+4+2)
	})
	t.Run("clock set forward", func(t *testing.T) {
		// Guards against a step of the system clock that makes a running host remove entries:
		// the expiry of a known entry depends only on the boot clock.
		p := NewPartStore(PartStoreConfig{Kind: platform.ChangeCrashPart, Expiry: time.Hour})
		p.observe(platform.Change{CrashPart: refusedPart(1), Revision: 1})
		known := p.stored[1]
		if left := known.removeAt - known.expiresAt; left < 0 || left > time.Minute {
			t.Errorf("removal %v after the expiry, want 0 to 1m", left)
		}
		p.removeExpired(known.expiresAt - time.Second)
		if n := p.pendingCalls(); n != 0 {
			t.Errorf("%d removals before the expiry", n)
		}
		p.removeExpired(known.removeAt)
		if n := p.pendingCalls(); n != 1 {
			t.Errorf("%d removals after the expiry, want 1", n)
		}
	})
}
