package control

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/suspect"
	"siskinstand.example/platform"
)

const testFingerprint = suspect.Fingerprint(0xf1)

// requestLoop returns a loop that knows the host edge-2, and what it stores.
func requestLoop(t *testing.T) (*Loop, *fakePartStore) {
	t.Helper()
	l := testLoop(t, replica("i-1", "app", "z1"), replica("i-2", "app", "z1"))
	f := &fakePartStore{}
	l.config.RequestStore = f
	l.handle(0, storeUpdate{list: []platform.Change{{Kind: platform.ChangePeer, Name: "edge-2", Peer: platform.Peer{Address: "x", Incarnation: 1}}}})
	return l, f
}

// crashRequest makes the loop see the crash of a replica that ran the test request.
func (l *Loop) crashRequest(now time.Duration, id string) {
	l.brokenSends[id] = []sendEnded{{target: Target{ID: id}, fingerprint: testFingerprint}}
	l.resolveBrokenSends(now, id, errors.New("no response"))
}

func (l *Loop) receiveStrikes(now time.Duration, crashes ...suspect.CrashID) {
	l.handle(now, peerReport{name: "edge-2", incarnation: 1, suspects: []suspect.Report{{Fingerprint: testFingerprint, Crashes: crashes, Strikes: uint32(len(crashes))}}})
}

func requestEntry(age time.Duration) platform.Change {
	return platform.Change{Kind: platform.ChangeCrashRequest, CrashPart: platform.CrashPart{
		Part: uint64(testFingerprint), Crashes: []uint64{1, 2}, RefusedAt: time.Now().Add(-age).UnixMilli(),
	}}
}

func (l *Loop) checkSuspect(t *testing.T, now time.Duration, want bool) {
	t.Helper()
	if got := l.isCrashSuspect(now, testFingerprint); got != want {
		t.Errorf("request refused = %t, want %t", got, want)
	}
}

func TestPublishedRequests(t *testing.T) {
	t.Run("two crashes seen here", func(t *testing.T) {
		// Guards against a refusal that is lost when all hosts restart.
		l, f := requestLoop(t)
		l.crashRequest(time.Second, "i-1")
		checkStoreCalls(t, f, 0, 0)
		l.crashRequest(2*time.Second, "i-2")
		l.crashRequest(3*time.Second, "i-2")
		checkStoreCalls(t, f, 1, 0)
		if diff := cmp.Diff(uint64(testFingerprint), f.published[0].Part); diff != "" || len(f.published[0].Crashes) != suspect.RefuseStrikes {
			t.Errorf("published %+v (-want +got):\n%s", f.published[0], diff)
		}
	})
	t.Run("one crash seen here, one by another host", func(t *testing.T) {
		l, f := requestLoop(t)
		l.crashRequest(time.Second, "i-1")
		l.receiveStrikes(2*time.Second, 77)
		checkStoreCalls(t, f, 1, 0)
	})
	t.Run("crashes seen by other hosts", func(t *testing.T) {
		// Guards against writes of all hosts for one request.
		l, f := requestLoop(t)
		l.receiveStrikes(time.Second, 77, 78)
		l.checkSuspect(t, time.Second, true)
		checkStoreCalls(t, f, 0, 0)
	})
	t.Run("already stored", func(t *testing.T) {
		l, f := requestLoop(t)
		l.handle(time.Second, storeUpdate{list: []platform.Change{requestEntry(0)}})
		l.crashRequest(time.Second, "i-1")
		l.crashRequest(2*time.Second, "i-2")
		checkStoreCalls(t, f, 0, 0)
	})
	t.Run("explained by a refused part", func(t *testing.T) {
		// Guards against entries for all requests with a refused part.
		l, f := requestLoop(t)
		for _, id := range []string{"i-1", "i-2"} {
			crash := sendEnded{target: Target{ID: id}}.crashID()
			l.crashOf(time.Second, id, crash)
			l.crashOf(2*time.Second, id, crash)
		}
		l.handle(2*time.Second, storeUpdate{list: []platform.Change{{Kind: platform.ChangeCrashPart, CrashPart: platform.CrashPart{
			Part: uint64(testPart), RefusedAt: time.Now().UnixMilli(),
			Crashes: []uint64{uint64(sendEnded{target: Target{ID: "i-1"}}.crashID()), uint64(sendEnded{target: Target{ID: "i-2"}}.crashID())},
		}}}})
		l.crashRequest(3*time.Second, "i-1")
		l.crashRequest(3*time.Second, "i-2")
		checkStoreCalls(t, f, 0, 0)
	})
}

func TestStoredRequests(t *testing.T) {
	t.Run("read after a restart", func(t *testing.T) {
		// Guards against a request that crashes replicas at a host that has just started.
		l, _ := requestLoop(t)
		l.handle(time.Second, storeUpdate{full: true, list: []platform.Change{requestEntry(time.Minute)}})
		l.checkSuspect(t, time.Second, true)
	})
	t.Run("expired", func(t *testing.T) {
		l, _ := requestLoop(t)
		l.handle(time.Second, storeUpdate{list: []platform.Change{requestEntry(2 * time.Hour)}})
		l.checkSuspect(t, time.Second, false)
	})
	t.Run("removed", func(t *testing.T) {
		// Guards against a request that runs again because one host has removed an entry.
		l, _ := requestLoop(t)
		removal := requestEntry(0)
		removal.Deleted = true
		l.handle(time.Second, storeUpdate{list: []platform.Change{requestEntry(0), removal}})
		l.checkSuspect(t, time.Second, true)
	})
}
