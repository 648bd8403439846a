package burnrate

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

type fakeClock struct{ now time.Time }

func newFakeClock() *fakeClock               { return &fakeClock{time.Unix(1_700_000_000, 0)} }
func (c *fakeClock) get() time.Time          { return c.now }
func (c *fakeClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func mergedLines(t interface{ Fatal(...any) }, accounts []string, recorders ...*Recorder) map[lineKey]Line {
	report := NewReport()
	for _, r := range recorders {
		list, err := r.Series(accounts)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range list {
			if err := report.Add(s); err != nil {
				t.Fatal(err)
			}
		}
	}
	byKey := map[lineKey]Line{}
	for _, l := range report.Lines() {
		byKey[lineKey{l.Key, l.Objective}] = l
	}
	return byKey
}

// Guards against a merged report of several processes that differs, in the counts
// of any window or in the histogram, from that of one process with all events.
func TestMergeEqualsOneProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newFakeClock()
		config := Config{Now: c.get}
		combined, parts := New(config), []*Recorder{New(config), New(config), New(config)}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			c.advance(time.Duration(rapid.IntRange(0, 1800).Draw(t, "pause")) * time.Second)
			k := Key{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), "s", "1k"}
			d := time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			for _, r := range []*Recorder{combined, rapid.SampledFrom(parts).Draw(t, "process")} {
				r.RecordFirstToken(k, d)
				r.RecordTokenGap(k, d/10, 7)
				r.RecordAnswer(k, d, d < time.Second)
			}
		}
		want, got := mergedLines(t, []string{"a", "b"}, combined), mergedLines(t, []string{"a", "b"}, parts...)
		for key, w := range want {
			g := got[key]
			if !w.Latency.Equals(g.Latency) {
				t.Fatalf("%v: histograms differ, %d events merged, %d in one process", key, g.Latency.TotalCount(), w.Latency.TotalCount())
			}
			for _, window := range Windows() {
				if w.Counts[window] != g.Counts[window] {
					t.Fatalf("%v: %v merged, %v in one process", key, g.Counts[window], w.Counts[window])
				}
			}
		}
		if len(want) != len(got) {
			t.Fatalf("%d lines merged, %d in one process", len(got), len(want))
		}
	})
}

// Guards against a window that drops events too early or keeps them too long.
func TestWindows(t *testing.T) {
	for _, w := range Windows() {
		for offset := range 7 {
			c := newFakeClock()
			c.advance(time.Duration(offset) * 5 * time.Minute)
			r, k := New(Config{Now: c.get}), Key{"a", "s", ""}
			r.RecordAnswer(k, time.Second, false)
			c.advance(time.Duration(w) - time.Second)
			if got := mergedLines(t, []string{"a"}, r)[lineKey{k, Answered}].Counts[w]; got != (Count{0, 1}) {
				t.Errorf("window %s: %v just before its end, want {0 1}", time.Duration(w), got)
			}
			// The oldest slot is dropped late by up to its length.
			c.advance(coarseSlotLength + 2*time.Second)
			if got := mergedLines(t, []string{"a"}, r)[lineKey{k, Answered}].Counts[w]; got.Total != 0 {
				t.Errorf("window %s: %v after its end, want no events", time.Duration(w), got)
			}
		}
	}
}

// Guards against alerts on a short burst or after recovery, and against missing
// alerts.
func TestAlert(t *testing.T) {
	for name, tc := range map[string]struct {
		counts map[Window]Count
		want   string
	}{
		"all bad":     {map[Window]Count{FiveMinutes: {0, 9}, HalfHour: {0, 9}, Hour: {0, 9}, SixHours: {0, 9}}, "fast"},
		"short burst": {map[Window]Count{FiveMinutes: {0, 9}, HalfHour: {0, 9}, Hour: {9, 10}, SixHours: {90, 100}}, ""},
		"recovered":   {map[Window]Count{FiveMinutes: {9, 9}, HalfHour: {9, 9}, Hour: {0, 9}, SixHours: {0, 9}}, ""},
		"slow":        {map[Window]Count{FiveMinutes: {6, 10}, HalfHour: {6, 10}, Hour: {6, 10}, SixHours: {6, 10}}, "slow"},
		"no events":   {nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got := (Line{Objective: FirstToken, Counts: tc.counts}).Alert(); got != tc.want {
				t.Errorf("Alert = %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against memory usage that grows with the number of accounts, against
// accounts beyond the maximum number of series that are not counted, and against
// idle series that are kept. It records 15,000 accounts and then four times the
// maximum number of series.
func TestMemory(t *testing.T) {
	c := newFakeClock()
	r := New(Config{Now: c.get})
	record := func(accounts int) uint64 {
		for i := range accounts {
			k := Key{fmt.Sprintf("customer-%d", i), "llm", []string{"1k", "4k"}[i%2]}
			r.RecordFirstToken(k, time.Second)
			r.RecordTokenGap(k, 40*time.Millisecond, 10)
			r.RecordAnswer(k, time.Second, true)
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc >> 20
	}
	heap15000Accounts := record(15_000)
	heapMaxSeries := record(4 * DefaultMaxSeries)
	t.Logf("heap: %d MB with 15,000 accounts, %d MB with %d", heap15000Accounts, heapMaxSeries, 4*DefaultMaxSeries)
	if heap15000Accounts > 32 || heapMaxSeries > 80 || len(r.series) > DefaultMaxSeries+maxTotals {
		t.Errorf("heap %d MB and %d MB, %d series; want at most 32 MB, 80 MB and 40256 series", heap15000Accounts, heapMaxSeries, len(r.series))
	}
	other := mergedLines(t, []string{OtherAccounts}, r)[lineKey{Key{OtherAccounts, "llm", "1k"}, Answered}]
	if other.Counts[Hour].Total == 0 || len(r.WorstAccounts(10)) != 10 {
		t.Errorf("accounts beyond the maximum number of series are not counted: %v", other.Counts)
	}
	c.advance(idleTimeout + time.Hour)
	r.RecordAnswer(Key{"new", "llm", "1k"}, time.Second, true)
	if len(r.series) > 2 {
		t.Errorf("%d series left after the idle timeout, want at most 2", len(r.series))
	}
}

func FuzzAdd(f *testing.F) {
	h := newHistogram()
	_ = h.RecordValue(400)
	data, err := encodeHistogram(h)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data, int64(1), int64(2))
	f.Fuzz(func(t *testing.T, data []byte, good, total int64) {
		r := NewReport()
		if err := r.Add(Series{Objective: FirstToken, Window: Hour, Count: Count{good, total}, Histogram: data}); err != nil {
			return
		}
		if b := r.Lines()[0].BurnRate(Hour); !(b >= 0 && b <= 20.001) {
			t.Fatalf("burn rate %g with %d good of %d events, want 0 to 20", b, good, total)
		}
	})
}
