package suspect

import (
	stdcmp "cmp"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

const firstSuspectedPart Part = 100_000

// newFullTracker returns a tracker with as many refused and suspected parts as it holds.
// Groups of parts that are next to each other share their crashes.
func newFullTracker(crashes, groupSize int) (*PartTracker, time.Time) {
	tracker := newPartTracker("a")
	merge := func(first Part, count int, refused bool) {
		for i := range count {
			r := PartReport{Part: first + Part(i), Refused: refused}
			for k := range crashes {
				r.Crashes = append(r.Crashes, CrashID(int(first)+i/groupSize*crashes+k))
			}
			tracker.Merge(start, []PartReport{r})
		}
	}
	merge(1, tracker.config.MaxRefused, true)
	merge(firstSuspectedPart, tracker.config.MaxSuspected, false)
	return tracker, start.Add(time.Minute)
}

// partOperations returns the operations of a control loop, with the number of entries that
// each may look at.
func partOperations(tracker *PartTracker, now time.Time) map[string]struct {
	run   func()
	limit int
} {
	var suspected, refused []Part
	for i := range Part(16) {
		suspected, refused = append(suspected, firstSuspectedPart+i), append(refused, 1+i)
	}
	type operation = struct {
		run   func()
		limit int
	}
	return map[string]operation{
		"counts":              {func() { tracker.Counts(now) }, 4 * tracker.Len()},
		"reports":             {func() { tracker.Reports(now, 16) }, 6 * tracker.Len()},
		"judge, suspected":    {func() { tracker.Judge(now, suspected, 68) }, 64},
		"judge, refused":      {func() { tracker.Judge(now, refused, 68) }, 1_024},
		"crash not explained": {func() { tracker.Explains(now, 1<<60) }, 0},
		"crash explained":     {func() { tracker.Explains(now, 1) }, 1},
	}
}

// Guards against a control loop that stands still because each part is compared with all
// others.
func TestPartCost(t *testing.T) {
	for _, crashes := range []int{2, maxPartCrashes} {
		for _, groupSize := range []int{1, 16} {
			tracker, now := newFullTracker(crashes, groupSize)
			if got, want := tracker.Len(), tracker.config.MaxRefused+tracker.config.MaxSuspected; got != want {
				t.Fatalf("%d entries, want %d", got, want)
			}
			for name, op := range partOperations(tracker, now) {
				tracker.visits = 0
				op.run()
				if tracker.visits > op.limit {
					t.Errorf("%d crashes, groups of %d: %s looked at %d entries, limit %d", crashes, groupSize, name, tracker.visits, op.limit)
				}
			}
		}
	}
}

func BenchmarkParts(b *testing.B) {
	for _, crashes := range []int{2, maxPartCrashes} {
		tracker, now := newFullTracker(crashes, 1)
		for name, op := range partOperations(tracker, now) {
			b.Run(fmt.Sprintf("%s/%d crashes", name, crashes), func(b *testing.B) {
				for b.Loop() {
					op.run()
				}
			})
		}
	}
}

// checkIndex checks the index of the refused parts against their entries.
func (t *PartTracker) checkIndex(tb rapid.TB) {
	tb.Helper()
	want, count := crashIndex{}, 0
	for p, e := range t.entries {
		if e.refused {
			count++
			want.add(p, e.crashes...)
		}
	}
	if diff := cmp.Diff(want, t.refusedBy, cmpopts.SortSlices(stdcmp.Less[Part])); diff != "" || count != t.refusedCount {
		tb.Errorf("%d refused parts counted, want %d; index (-want +got):\n%s", t.refusedCount, count, diff)
	}
}
