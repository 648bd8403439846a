package control

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/coord/health"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/platform"
)

// fakePartStore records the calls of a loop.
type fakePartStore struct {
	published []platform.CrashPart
	withdrawn []uint64
}

func (f *fakePartStore) Publish(p platform.CrashPart) { f.published = append(f.published, p) }
func (f *fakePartStore) Withdraw(part uint64)         { f.withdrawn = append(f.withdrawn, part) }

const testPart = suspect.Part(0xab)

func partLoop(t *testing.T) (*Loop, *fakePartStore) {
	t.Helper()
	l := testLoop(t, replica("i-1", "llm", "z1"), replica("i-2", "llm", "z1"))
	f := &fakePartStore{}
	l.config.PartStore = f
	return l, f
}

// crashOf makes the loop see a crash of a replica by a request with the test part.
func (l *Loop) crashOf(now time.Duration, id string, crash suspect.CrashID) {
	l.recordPartCrash(now, id, crash, []sendEnded{{
		target: Target{ID: id}, result: SendResult{MayHaveCrashed: true, Outcome: health.Broken}, parts: []suspect.Part{testPart},
	}})
}

func entryOf(age time.Duration) platform.Change {
	return platform.Change{Kind: platform.ChangeCrashPart, CrashPart: platform.CrashPart{
		Part: uint64(testPart), Crashes: []uint64{1, 2}, RefusedAt: time.Now().Add(-age).UnixMilli(),
	}}
}

func removalOfEntry() platform.Change {
	return platform.Change{Kind: platform.ChangeCrashPart, Deleted: true, CrashPart: platform.CrashPart{Part: uint64(testPart)}}
}

func (l *Loop) checkRefused(t *testing.T, now time.Duration, want bool) {
	t.Helper()
	if got := l.parts.Status(partTime(now), testPart) == suspect.StatusRefuse; got != want {
		t.Errorf("part refused = %t, want %t", got, want)
	}
}

func checkStoreCalls(t *testing.T, f *fakePartStore, published, withdrawn int) {
	t.Helper()
	if len(f.published) != published || len(f.withdrawn) != withdrawn {
		t.Errorf("published %+v, withdrawn %v, want %d and %d", f.published, f.withdrawn, published, withdrawn)
	}
}

func TestPublishedParts(t *testing.T) {
	t.Run("two crashes seen here", func(t *testing.T) {
		// Guards against a refusal that is lost when all hosts end at once.
		l, f := partLoop(t)
		l.crashOf(time.Minute, "i-1", 1)
		checkStoreCalls(t, f, 0, 0)
		l.crashOf(time.Minute+time.Second, "i-2", 2)
		l.checkRefused(t, time.Minute+time.Second, true)
		checkStoreCalls(t, f, 1, 0)
		if diff := cmp.Diff([]uint64{1, 2}, f.published[0].Crashes); diff != "" {
			t.Errorf("crashes (-want +got):\n%s", diff)
		}
		if age := time.Since(time.UnixMilli(f.published[0].RefusedAt)); age < 0 || age > 10*time.Second {
			t.Errorf("refused %v ago, want now", age)
		}
	})
	reports := map[string]struct {
		report    suspect.PartReport
		ownCrash  bool
		published int
	}{
		// Guards against a refusal that no host publishes because the hosts have seen one
		// crash each.
		"second crash seen by another host": {suspect.PartReport{Crashes: []suspect.CrashID{2}}, true, 1},
		// Guards against a write by every host for each refused part.
		"both crashes seen by others": {suspect.PartReport{Crashes: []suspect.CrashID{2, 3}, Refused: true}, false, 0},
		"refused by another host":     {suspect.PartReport{Crashes: []suspect.CrashID{1, 2}, Refused: true}, true, 0},
	}
	for name, tc := range reports {
		t.Run(name, func(t *testing.T) {
			l, f := partLoop(t)
			if tc.ownCrash {
				l.crashOf(time.Minute, "i-1", 1)
			}
			tc.report.Part = testPart
			l.mergePartReports(time.Minute+time.Second, "edge-2", []suspect.PartReport{tc.report})
			l.checkRefused(t, time.Minute+time.Second, true)
			checkStoreCalls(t, f, tc.published, 0)
		})
	}
}

func TestWithdrawnParts(t *testing.T) {
	// Guards against an entry that outlives the refusal, and against calls for each request
	// that finishes.
	l, f := partLoop(t)
	now := time.Minute
	l.recordPartAnswer(now, "i-1", partSend{parts: []suspect.Part{testPart}, sentAt: now})
	l.handle(now, storeUpdate{list: []platform.Change{entryOf(0)}})
	for range 3 {
		l.recordPartAnswer(now, "i-1", partSend{parts: []suspect.Part{testPart}, sentAt: now})
	}
	l.checkRefused(t, now, false)
	checkStoreCalls(t, f, 0, 1)
	l.crashOf(now, "i-1", 3)
	l.recordPartAnswer(now, "i-1", partSend{parts: []suspect.Part{testPart}, sentAt: now})
	l.handle(now, storeUpdate{list: []platform.Change{removalOfEntry()}})
	before := len(f.withdrawn)
	l.crashOf(now, "i-1", 4)
	l.recordPartAnswer(now, "i-1", partSend{parts: []suspect.Part{testPart}, sentAt: now})
	checkStoreCalls(t, f, 0, before)
}

func TestStoredParts(t *testing.T) {
	const now = 2 * time.Hour
	t.Run("entry and its removal", func(t *testing.T) {
		// Guards against hosts that do not learn of a refusal or its end from the store.
		l, f := partLoop(t)
		l.handle(now, storeUpdate{list: []platform.Change{entryOf(time.Minute)}})
		l.checkRefused(t, now, true)
		l.handle(now, storeUpdate{list: []platform.Change{removalOfEntry()}})
		l.checkRefused(t, now, false)
		checkStoreCalls(t, f, 0, 0)
	})
	t.Run("missing from a full list", func(t *testing.T) {
		// Guards against a withdrawal that is missed because the store compacted its history.
		l, _ := partLoop(t)
		l.handle(now, storeUpdate{full: true, list: []platform.Change{entryOf(0)}})
		l.checkRefused(t, now, true)
		l.handle(now, storeUpdate{full: true, list: []platform.Change{entryOf(0)}})
		l.checkRefused(t, now, true)
		l.handle(now, storeUpdate{full: true})
		l.checkRefused(t, now, false)
	})
	t.Run("clock of the writer ahead", func(t *testing.T) {
		l, _ := partLoop(t)
		l.handle(now, storeUpdate{list: []platform.Change{entryOf(-time.Hour)}})
		l.checkRefused(t, now, true)
	})
	t.Run("expired", func(t *testing.T) {
		// Guards against refusals that last forever.
		l, _ := partLoop(t)
		l.handle(now, storeUpdate{list: []platform.Change{entryOf(time.Hour)}})
		l.checkRefused(t, now, false)
	})
	t.Run("removal of an expired entry", func(t *testing.T) {
		// Guards against a new refusal that ends with the removal of the old entry.
		l, _ := partLoop(t)
		l.handle(now, storeUpdate{list: []platform.Change{entryOf(0)}})
		later := now + time.Hour
		l.crashOf(later, "i-1", 1)
		l.crashOf(later+time.Second, "i-2", 2)
		l.handle(later+time.Second, storeUpdate{list: []platform.Change{removalOfEntry()}})
		l.checkRefused(t, later+time.Second, true)
	})
}

// Guards against a refused part that is never stored, because it was one of two that came
// together in all crashes until an answer, here or at another host, cleared the other one.
func TestPublishedAfterClearance(t *testing.T) {
	const sound suspect.Part = 0xcd
	tests := map[string]func(l *Loop, now time.Duration){
		"answered here": func(l *Loop, now time.Duration) {
			l.recordPartAnswer(now, "i-1", partSend{parts: []suspect.Part{sound}, sentAt: now})
		},
		"answered at another host": func(l *Loop, now time.Duration) {
			l.mergePartReports(now, "edge-2", []suspect.PartReport{{Part: sound, Crashes: []suspect.CrashID{1, 2}, Cleared: true}})
		},
	}
	for name, clearSound := range tests {
		t.Run(name, func(t *testing.T) {
			l, f := partLoop(t)
			for i, id := range []string{"i-1", "i-2"} {
				l.recordPartCrash(time.Minute+time.Duration(i)*time.Second, id, suspect.CrashID(i+1), []sendEnded{{
					target: Target{ID: id}, result: SendResult{MayHaveCrashed: true, Outcome: health.Broken}, parts: []suspect.Part{sound, testPart},
				}})
			}
			checkStoreCalls(t, f, 0, 0)
			clearSound(l, time.Minute+2*time.Second)
			l.checkRefused(t, time.Minute+2*time.Second, true)
			checkStoreCalls(t, f, 1, 0)
			if len(f.published) == 1 && f.published[0].Part != uint64(testPart) {
				t.Errorf("published part %x, want %x", f.published[0].Part, testPart)
			}
		})
	}
}
