package suspect

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func newPartTracker(host string) *PartTracker { return NewPartTracker(DefaultPartConfig(host)) }

func checkPartStatus(t *testing.T, tracker *PartTracker, now time.Time, p Part, want Status) {
	t.Helper()
	if got := tracker.Status(now, p); got != want {
		t.Errorf("status of part %d = %s, want %s", p, got, want)
	}
}

func TestBlame(t *testing.T) {
	const popular, first, second, deadly Part = 1, 2, 3, 9
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	t.Run("fresh part", func(t *testing.T) {
		// Guards against replicas that die one after another because of a part that comes with requests of
		// any kind.
		tracker := newPartTracker("a")
		tracker.RecordAnswer(start, start, []Part{popular, first})
		tracker.RecordAnswer(start, start, []Part{second})
		tracker.RecordCrash(ms(100), 1, [][]Part{{popular, deadly}, {popular, first}, {second}})
		checkPartStatus(t, tracker, ms(100), deadly, StatusIsolate)
		tracker.RecordCrash(ms(600), 2, [][]Part{{second, deadly}, {popular, first}})
		checkPartStatus(t, tracker, ms(600), deadly, StatusRefuse)
		for _, p := range []Part{popular, first, second} {
			if v := tracker.Judge(ms(600), []Part{p}, 3); v.Status == StatusRefuse {
				t.Errorf("part %d, of finished requests, is refused", p)
			}
		}
	})
	t.Run("a rack fails", func(t *testing.T) {
		// Guards against the refusal of a part that is in use on all replicas that fail at one instant.
		tracker := newPartTracker("a")
		tracker.RecordAnswer(start, start, []Part{popular})
		for crash := range CrashID(20) {
			tracker.RecordCrash(ms(100+int(crash)), crash, [][]Part{{popular}, {popular, first}})
		}
		checkPartStatus(t, tracker, ms(200), popular, StatusIsolate)
		checkPartStatus(t, tracker, ms(200), first, StatusIsolate)
		tracker.RecordAnswer(ms(300), ms(300), []Part{popular, first})
		checkPartStatus(t, tracker, ms(300), popular, StatusClear)
		checkPartStatus(t, tracker, ms(300), first, StatusClear)
	})
	t.Run("popular part crashes replicas", func(t *testing.T) {
		tracker := newPartTracker("a")
		tracker.RecordAnswer(start, start, []Part{popular})
		for i, want := range []Status{StatusClear, StatusIsolate, StatusIsolate, StatusRefuse} {
			tracker.RecordCrash(ms(400*(i+1)), CrashID(i), [][]Part{{popular}})
			checkPartStatus(t, tracker, ms(400*(i+1)), popular, want)
		}
	})
	t.Run("many crashes at one instant", func(t *testing.T) {
		// Guards against a part that is never refused because the crashes of its first instant fill the entry.
		tracker := newPartTracker("a")
		for crash := range CrashID(2 * maxPartCrashes) {
			tracker.RecordCrash(ms(0), crash, [][]Part{{deadly}})
		}
		checkPartStatus(t, tracker, ms(0), deadly, StatusIsolate)
		tracker.RecordCrash(ms(200), 2*maxPartCrashes, [][]Part{{deadly}})
		checkPartStatus(t, tracker, ms(200), deadly, StatusRefuse)
	})
	t.Run("crash explained by another part", func(t *testing.T) {
		// Guards against the isolation of a part because of a crash whose cause is known, and against a second
		// part that crashes replicas and gets away with that.
		tracker := newPartTracker("a")
		tracker.RecordCrash(ms(0), 1, [][]Part{{deadly}, {first}})
		checkPartStatus(t, tracker, ms(0), first, StatusIsolate)
		tracker.RecordCrash(ms(200), 2, [][]Part{{deadly}})
		checkPartStatus(t, tracker, ms(200), first, StatusClear)
		tracker.RecordCrash(ms(400), 3, [][]Part{{first}})
		checkPartStatus(t, tracker, ms(400), first, StatusRefuse)
	})
	t.Run("two parts at once", func(t *testing.T) {
		// Guards against one of two such parts that is missed, whether they come with one kind of request
		// or with two.
		tracker := newPartTracker("a")
		tracker.RecordAnswer(start, start, []Part{popular})
		tracker.RecordCrash(ms(0), 1, [][]Part{{popular, 8}, {popular, deadly}})
		tracker.RecordCrash(ms(500), 2, [][]Part{{popular, 8}})
		checkPartStatus(t, tracker, ms(500), 8, StatusRefuse)
		tracker.RecordCrash(ms(900), 3, [][]Part{{popular, 8}, {deadly}})
		checkPartStatus(t, tracker, ms(900), deadly, StatusIsolate) // part 8 explains both crashes
		tracker.RecordCrash(ms(1300), 4, [][]Part{{deadly}})
		checkPartStatus(t, tracker, ms(1300), deadly, StatusRefuse)
		checkPartStatus(t, tracker, ms(1300), 8, StatusRefuse)
		checkPartStatus(t, tracker, ms(900), popular, StatusClear)
	})
	t.Run("part always together with another", func(t *testing.T) {
		// Guards against the refusal of a new part that has crashed nothing by itself: a request with it
		// alone is tried before another one with both.
		tracker := newPartTracker("a")
		tracker.RecordCrash(ms(0), 1, [][]Part{{first, deadly}})
		both, alone := tracker.Judge(ms(0), []Part{first, deadly}, 1), tracker.Judge(ms(0), []Part{first}, 1)
		if both.Wait <= alone.Wait {
			t.Errorf("both parts wait %s, one alone %s", both.Wait, alone.Wait)
		}
		tracker.RecordAnswer(ms(500), ms(500), []Part{first})
		tracker.RecordCrash(ms(900), 2, [][]Part{{first, deadly}})
		checkPartStatus(t, tracker, ms(900), first, StatusClear)
		checkPartStatus(t, tracker, ms(900), deadly, StatusRefuse)
	})
	t.Run("part always together with another, in many crashes at once", func(t *testing.T) {
		// Guards against the refusal of requests with one of two parts that came together in all crashes. A
		// request with both is refused, one with the sound part alone clears it.
		tracker := newPartTracker("a")
		tracker.RecordAnswer(ms(0), ms(0), []Part{popular})
		for i := range 4 {
			tracker.RecordCrash(ms(50*i), CrashID(i), [][]Part{{popular, first, deadly}})
		}
		check := func(at time.Time, want Status, parts ...Part) {
			t.Helper()
			if got := tracker.Judge(at, parts, 1).Status; got != want {
				t.Errorf("status of parts %v = %s, want %s", parts, got, want)
			}
		}
		check(ms(300), StatusRefuse, first, deadly)
		check(ms(300), StatusIsolate, popular, first)
		check(ms(300), StatusIsolate, deadly)
		check(ms(300), StatusClear, popular)
		sound := *tracker.entries[first]
		tracker.RecordAnswer(ms(400), ms(400), []Part{popular, first})
		check(ms(400), StatusClear, popular, first)
		check(ms(400), StatusRefuse, deadly)

		// A trial that crashes settles it, too.
		tracker.entries[first] = &sound
		tracker.knownGood = newRecentSet[Part](10, time.Minute)
		tracker.RecordCrash(ms(500), 20, [][]Part{{deadly}})
		check(ms(500), StatusRefuse, deadly)
		check(ms(500), StatusIsolate, first)
	})
}

// Guards against the refusal of sound requests with several parts that came together with
// the one to blame.
func TestSeveralPartsWithAnother(t *testing.T) {
	const first, second, other, deadly Part = 1, 2, 5, 9
	at := func(d time.Duration) time.Time { return start.Add(d) }
	tracker := newPartTracker("a")
	check := func(after time.Duration, want Status, parts ...Part) {
		t.Helper()
		if got := tracker.Judge(at(after), parts, 1).Status; got != want {
			t.Errorf("status of parts %v after %s = %s, want %s", parts, after, got, want)
		}
	}
	for i := range 4 {
		tracker.RecordCrash(at(time.Duration(50*i)*time.Millisecond), CrashID(i), [][]Part{{first, second, deadly}})
	}
	tracker.RecordAnswer(at(200*time.Millisecond), at(200*time.Millisecond), []Part{other})
	for _, after := range []time.Duration{300 * time.Millisecond, 5 * time.Second, 50 * time.Minute} {
		check(after, StatusIsolate, first, second)
		check(after, StatusIsolate, first)
		check(after, StatusRefuse, first, second, deadly)
		check(after, StatusRefuse, other, first, second, deadly)
	}
	if wait := tracker.Judge(at(5*time.Second), []Part{first, second}, 1).Wait; wait > 0 {
		t.Errorf("a trial of two parts waits %s", wait)
	}

	tracker.RecordCrash(at(time.Minute), 50, [][]Part{{other, deadly}})
	for _, after := range []time.Duration{61 * time.Second, 2 * time.Minute, 50 * time.Minute} {
		check(after, StatusIsolate, first, second)
		check(after, StatusIsolate, second)
		check(after, StatusRefuse, other, deadly)
		check(after, StatusRefuse, first, deadly)
	}
	if got := tracker.Judge(at(2*time.Minute), []Part{first, second, deadly}, 1); got.Status != StatusRefuse || got.Part != deadly {
		t.Errorf("a request with all parts: %s because of part %d, want refuse because of part %d", got.Status, got.Part, deadly)
	}
	tracker.RecordAnswer(at(2*time.Minute), at(2*time.Minute), []Part{first, second})
	check(2*time.Minute, StatusClear, first, second)
	check(2*time.Minute, StatusRefuse, deadly)
}

// Guards against a host that has just started, to which no part is known good: its
// refusal of a popular part must not spread.
func TestRefusalByNewHost(t *testing.T) {
	const popular, deadly Part = 1, 9
	old, started := newPartTracker("old"), newPartTracker("started")
	old.RecordAnswer(start, start, []Part{popular})
	for i := range 2 {
		started.RecordCrash(start.Add(time.Duration(i)*time.Second), CrashID(i), [][]Part{{popular, deadly}})
	}
	now := start.Add(time.Second)
	if got := started.Judge(now, []Part{popular, deadly}, 2).Status; got != StatusRefuse {
		t.Errorf("status of both parts at the host that has started = %s, want refuse", got)
	}
	old.Merge(now, started.Reports(now, 8))
	checkPartStatus(t, old, now, popular, StatusClear)
	checkPartStatus(t, old, now, deadly, StatusRefuse)
	old.RecordAnswer(now, now, []Part{popular})
	started.Merge(now, old.Reports(now, 8))
	checkPartStatus(t, started, now, popular, StatusClear)
	checkPartStatus(t, started, now, deadly, StatusRefuse)

	// A host learns all refusals from one full report, and from a store.
	for name, reports := range map[string][]PartReport{"report": old.Reports(now, 8), "store": old.Refused(now)} {
		learner := newPartTracker(name)
		learner.Merge(now, reports)
		checkPartStatus(t, learner, now, deadly, StatusRefuse)
	}
}

// Guards against a clearance that neither spreads nor lasts, because it holds fewer crashes
// than count for the part.
func TestClearanceOfManyCrashes(t *testing.T) {
	const part Part = 7
	for crashes := 1; crashes <= maxPartCrashes; crashes++ {
		a, b := newPartTracker("a"), newPartTracker("b")
		for i := range crashes {
			a.RecordCrash(start.Add(time.Duration(10*i)*time.Millisecond), CrashID(i), [][]Part{{part}})
		}
		now := start.Add(time.Second)
		b.Merge(now, a.Reports(now, 16))
		a.RecordAnswer(now, now, []Part{part})
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			fromA, fromB := a.Reports(now, 16), b.Reports(now, 16)
			a.Merge(now, fromB)
			b.Merge(now, fromA)
			for name, tracker := range map[string]*PartTracker{"a": a, "b": b} {
				if got := tracker.Status(now, part); got != StatusClear {
					t.Fatalf("status at host %s after the clearance of %d crashes = %s, want clear", name, crashes, got)
				}
			}
		}
	}
}

// Guards against memory that grows with the number of parts, and against a caller that
// displaces a refused part by sending others.
func TestPartBounds(t *testing.T) {
	c := DefaultPartConfig("a")
	c.MaxSuspected, c.MaxRefused, c.MaxKnownGood = 10, 5, 20
	tracker := NewPartTracker(c)
	now := start
	tracker.RecordCrash(now, 1, [][]Part{{1}})
	now = now.Add(time.Second)
	tracker.RecordCrash(now, 2, [][]Part{{1}})
	for i := range 1_000 {
		now = now.Add(time.Second)
		p := Part(1_000 + i)
		tracker.RecordCrash(now, CrashID(1_000+i), [][]Part{{p}})
		tracker.RecordAnswer(now, now, []Part{p + 10_000})
		tracker.Merge(now, []PartReport{{Part: p + 20_000, Crashes: []CrashID{1}}})
	}
	checkPartStatus(t, tracker, now, 1, StatusRefuse)
	if tracker.Len() > 11 || tracker.knownGood.order.Len() > 20 || len(tracker.knownGood.elements) > 20 {
		t.Errorf("%d entries, %d known good parts", tracker.Len(), tracker.knownGood.order.Len())
	}
	for i := range Part(100) {
		now = now.Add(time.Second)
		tracker.Merge(now, []PartReport{{Part: 50_000 + i, Crashes: []CrashID{1, 2}, Refused: true}})
	}
	if got := len(tracker.Refused(now)); got != 5 {
		t.Errorf("%d refused parts, want 5", got)
	}
	if got := tracker.Status(now.Add(time.Hour), 50_099); got != StatusClear {
		t.Errorf("status after an hour = %s, want clear", got)
	}
}

// Guards against refused parts that a report never has room for.
func TestReportsInTurn(t *testing.T) {
	tracker, other := newPartTracker("a"), newPartTracker("b")
	for i := range Part(50) {
		tracker.Merge(start, []PartReport{{Part: 1 + i, Crashes: []CrashID{1, 2}, Refused: true, Age: time.Duration(i) * time.Second}})
	}
	for range 20 {
		reports := tracker.Reports(start, 8)
		if len(reports) != 8 {
			t.Fatalf("%d reports, want 8", len(reports))
		}
		other.Merge(start, reports)
	}
	if diff := cmp.Diff(tracker.Refused(start), other.Refused(start)); diff != "" {
		t.Errorf("refused parts (-want +got):\n%s", diff)
	}
}

// Guards against hosts that disagree for up to an hour, because one keeps strikes or cleared
// crashes that the others no longer accept.
func TestOldReportsForgotten(t *testing.T) {
	const part Part = 2
	at := func(d time.Duration) time.Time { return start.Add(d) }
	tests := map[string]struct {
		prepare func(a, b *PartTracker)
		want    Status
	}{
		"clearance": {func(a, b *PartTracker) {
			a.RecordCrash(at(0), 1, [][]Part{{part}})
			a.RecordAnswer(at(time.Second), at(time.Second), []Part{part})
			a.RecordCrash(at(10*time.Second), 2, [][]Part{{part}})
			b.RecordCrash(at(20*time.Second), 1, [][]Part{{part}})
		}, StatusRefuse},
		"strike": {func(a, b *PartTracker) {
			a.RecordCrash(at(0), 1, [][]Part{{part}})
			b.RecordCrash(at(time.Second), 2, [][]Part{{part}})
			b.RecordAnswer(at(10*time.Second), at(10*time.Second), []Part{part})
			a.Merge(at(11*time.Second), b.Reports(at(11*time.Second), 16))
		}, StatusClear},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newPartTracker("a"), newPartTracker("b")
			tc.prepare(a, b)
			now := at(time.Hour + 5*time.Second)
			for range 3 {
				fromA, fromB := a.Reports(now, 16), b.Reports(now, 16)
				a.Merge(now, fromB)
				b.Merge(now, fromA)
			}
			checkPartStatus(t, a, now, part, tc.want)
			checkPartStatus(t, b, now, part, tc.want)
		})
	}
}

// Guards against trackers that disagree after they have exchanged all reports, against a
// tracker that changes when its own reports are merged, and against a clearance that a late
// report undoes.
func TestPartMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		a, b := newPartTracker("a"), newPartTracker("b")
		drawTracker := func(t *rapid.T) *PartTracker {
			return rapid.SampledFrom([]*PartTracker{a, b}).Draw(t, "tracker")
		}
		part := func(t *rapid.T) Part { return Part(rapid.IntRange(1, 3).Draw(t, "part")) }
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				drawTracker(t).RecordCrash(now, CrashID(rapid.IntRange(1, 3).Draw(t, "crash")), [][]Part{{part(t)}})
			},
			"finish": func(t *rapid.T) { drawTracker(t).RecordAnswer(now, now, []Part{part(t)}) },
			"merge":  func(*rapid.T) { a.Merge(now, b.Reports(now, 10)) },
			"wait":   func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				now = now.Add(time.Second)
				a.checkIndex(t)
				b.checkIndex(t)
			},
		})
		now = now.Add(time.Minute) // no part is known good any more
		for range 3 {
			ra, rb := a.Reports(now, 10), b.Reports(now, 10)
			a.Merge(now, rb)
			b.Merge(now, ra)
		}
		for p := range Part(4) {
			if a.Status(now, p) != b.Status(now, p) {
				t.Fatalf("part %d is %s in tracker a and %s in b:\n%s", p, a.Status(now, p), b.Status(now, p), cmp.Diff(a.Reports(now, 10), b.Reports(now, 10)))
			}
		}
		if changed := a.Merge(now, a.Reports(now, 10)); changed != 0 {
			t.Fatalf("merging own reports changed %d entries", changed)
		}
	})
}
