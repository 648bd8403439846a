package control

import (
	"maps"
	"slices"
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
	l.crashWith(now, id, crash, testPart)
}

// crashWith makes the loop see a crash of a replica by a request with the given parts.
func (l *Loop) crashWith(now time.Duration, id string, crash suspect.CrashID, parts ...suspect.Part) {
	l.recordPartCrash(now, id, crash, []sendEnded{{
		target: Target{ID: id}, result: SendResult{MayHaveCrashed: true, Outcome: health.Broken}, parts: parts,
	}})
}

// entries returns what a store holds after the calls, which keeps the first entry of a part.
func (f *fakePartStore) entries() map[suspect.Part]platform.CrashPart {
	kept := map[suspect.Part]platform.CrashPart{}
	for _, e := range f.published {
		if _, exists := kept[suspect.Part(e.Part)]; !exists && !slices.Contains(f.withdrawn, e.Part) {
			kept[suspect.Part(e.Part)] = e
		}
	}
	return kept
}

// readStore makes the loop read the entries of the store.
func (l *Loop) readStore(now time.Duration, f *fakePartStore) {
	var list []platform.Change
	for _, e := range f.entries() {
		list = append(list, platform.Change{Kind: platform.ChangeCrashPart, CrashPart: e})
	}
	l.handle(now, storeUpdate{list: list})
}

func checkStored(t *testing.T, f *fakePartStore, want ...suspect.Part) {
	t.Helper()
	if diff := cmp.Diff(want, slices.Sorted(maps.Keys(f.entries()))); diff != "" {
		t.Errorf("stored parts (-want +got):\n%s", diff)
	}
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

// Guards against a refused part that is never stored, because another one, which had further
// crashes, explained its crashes until an answer, here or at another host, cleared it.
func TestPublishedAfterClearance(t *testing.T) {
	const sound suspect.Part = 0xcd
	tests := map[string]struct {
		clearSound func(l *Loop, now time.Duration)
		withdrawn  []uint64
	}{
		"answered here": {func(l *Loop, now time.Duration) {
			l.recordPartAnswer(now, "i-1", partSend{parts: []suspect.Part{sound}, sentAt: now})
		}, []uint64{uint64(sound)}},
		// The other host withdraws the entry.
		"answered at another host": {func(l *Loop, now time.Duration) {
			l.mergePartReports(now, "edge-2", []suspect.PartReport{{Part: sound, Crashes: []suspect.CrashID{1, 2, 3}, Cleared: true}})
		}, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l, f := partLoop(t)
			const now = time.Minute
			l.crashWith(now, "i-1", 1, sound)
			l.crashWith(now+time.Second, "i-2", 2, sound, testPart)
			l.readStore(now+time.Second, f)
			l.crashWith(now+2*time.Second, "i-1", 3, sound, testPart)
			checkStored(t, f, sound)
			checkStoreCalls(t, f, 1, 0)
			tc.clearSound(l, now+3*time.Second)
			l.checkRefused(t, now+3*time.Second, true)
			checkStoreCalls(t, f, 2, len(tc.withdrawn))
			if diff := cmp.Diff(tc.withdrawn, f.withdrawn); diff != "" {
				t.Errorf("withdrawn parts (-want +got):\n%s", diff)
			}
			if last := f.published[len(f.published)-1].Part; last != uint64(testPart) {
				t.Errorf("last published part %x, want %x", last, testPart)
			}
		})
	}
}

// Guards against two parts that came together in all crashes of which a host that starts
// later knows none, or only the sound one: it would run requests with the other one, or
// refuse those with the sound one until the entry expires.
func TestPublishedAmbiguousParts(t *testing.T) {
	const sound suspect.Part = 0xcd
	for name, last := range map[string]time.Duration{
		"120 ms": 120 * time.Millisecond, "1 s": time.Second, "later crash": 2 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			l, f := partLoop(t)
			for i := range 3 {
				at := time.Minute + time.Duration(i)*min(last, time.Second)/2
				l.crashWith(at, []string{"i-1", "i-2"}[i%2], suspect.CrashID(i+1), sound, testPart)
			}
			if last > time.Second {
				l.readStore(time.Minute+time.Second, f)
				l.crashWith(time.Minute+last, "i-2", 4, sound, testPart)
			}
			checkStored(t, f, testPart, sound)

			started, store := partLoop(t)
			now := 2 * time.Minute
			started.readStore(now, f)
			started.checkTreatment(t, now, suspect.StatusIsolate, sound)
			started.checkTreatment(t, now, suspect.StatusRefuse, sound, testPart)
			now += time.Second
			started.recordPartAnswer(now, "i-1", partSend{parts: []suspect.Part{sound}, sentAt: now})
			started.checkTreatment(t, now, suspect.StatusClear, sound)
			started.checkTreatment(t, now, suspect.StatusRefuse, testPart)
			checkStoreCalls(t, store, 0, 1)
		})
	}
}

// Guards against the entry of an ambiguous part that stays because an answer cleared the part
// before this host had read the entry.
func TestWithdrawnAmbiguousPart(t *testing.T) {
	const sound suspect.Part = 0xcd
	l, f := partLoop(t)
	now := time.Minute
	l.crashWith(now, "i-1", 1, sound, testPart)
	l.crashWith(now+time.Second, "i-2", 2, sound, testPart)
	checkStored(t, f, testPart, sound)
	l.recordPartAnswer(now+2*time.Second, "i-1", partSend{parts: []suspect.Part{sound}, sentAt: now + 2*time.Second})
	checkStored(t, f, testPart)
}

func (l *Loop) checkTreatment(t *testing.T, now time.Duration, want suspect.Status, parts ...suspect.Part) {
	t.Helper()
	if got := l.parts.Judge(partTime(now), parts, 1).Status; got != want {
		t.Errorf("treatment of parts %v = %s, want %s", parts, got, want)
	}
}
