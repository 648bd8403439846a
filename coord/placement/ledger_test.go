package placement

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const maxReportAge = 2 * time.Second

func newJob(primary string, helpers ...string) Job {
	j := Job{Plan: Plan{Primary: primary, TimeToFirstEvent: 500 * time.Millisecond, MaxGap: largeMaxGap}, PartPrefill: 400 * time.Millisecond, Tokens: 1000}
	for _, h := range helpers {
		j.Plan.Helpers = append(j.Plan.Helpers, Helper{ID: h})
	}
	return j
}

func checkQueuedPrefill(t *testing.T, l *Ledger, now time.Duration, id string, want time.Duration) {
	t.Helper()
	if got := l.Loads(now)[ShortID(id)].QueuedPrefill; got != want {
		t.Errorf("queued prefill at %s after %v: %v, want %v", id, now, got, want)
	}
}

func TestLedger(t *testing.T) {
	t.Run("one job", func(t *testing.T) {
		// Guards against prefill that never drains and helpers that are never
		// released.
		l := NewLedger(maxReportAge)
		n := l.AddJob(newJob("a", "b"))
		checkQueuedPrefill(t, l, 100*time.Millisecond, "b", 300*time.Millisecond)
		l.MarkPrefillDone(n)
		checkQueuedPrefill(t, l, 450*time.Millisecond, "b", 0)
		if got := l.Loads(time.Second)[ShortID("b")].HelpedPrompts; got != 0 {
			t.Errorf("helper still counts %d prompts after the first event, want 0", got)
		}
		l.RemoveJob(time.Second, n)
		if diff := cmp.Diff(map[uint32]Load{}, l.Loads(2*time.Second)); diff != "" {
			t.Errorf("loads after the end (-want +got):\n%s", diff)
		}
	})
	t.Run("overdue", func(t *testing.T) {
		// Guards against new large parts at a replica that has not prefilled an
		// old one.
		l := NewLedger(maxReportAge)
		l.AddJob(newJob("a"))
		checkQueuedPrefill(t, l, time.Second, "a", 160*time.Millisecond)
	})
	t.Run("cancelled", func(t *testing.T) {
		// Guards against keeping the prefill of a request that its caller has
		// cancelled.
		l := NewLedger(maxReportAge)
		n := l.AddJob(newJob("a"))
		l.RemoveJob(100*time.Millisecond, n)
		checkQueuedPrefill(t, l, 100*time.Millisecond, "a", 0)
	})
}

// newPeers returns two ledgers; the second has received one report of the
// first.
func newPeers() (from, to *Ledger) {
	from, to = NewLedger(maxReportAge), NewLedger(maxReportAge)
	to.ApplyPeerReport("a", from.Report(0, 0, 0, nil))
	return from, to
}

func TestPeers(t *testing.T) {
	t.Run("lost report", func(t *testing.T) {
		// Guards against prefill that stays unreported when a datagram is lost,
		// and against counting it twice.
		from, to := newPeers()
		from.AddJob(newJob("x"))
		from.Report(0, 0, 0, nil) // lost
		from.AddJob(newJob("x"))
		r := from.Report(0, 0, 0, nil)
		to.ApplyPeerReport("a", r)
		to.ApplyPeerReport("a", r)
		checkQueuedPrefill(t, to, 0, "x", 800*time.Millisecond)
		if got := to.Loads(0)[ShortID("x")].Streams; got != 2 {
			t.Errorf("%d streams, want 2", got)
		}
	})
	t.Run("joins late", func(t *testing.T) {
		// Guards against a new host counting all prefill that another has sent
		// since its start as still queued.
		from, to := NewLedger(maxReportAge), NewLedger(maxReportAge)
		for range 100 {
			from.RemoveJob(time.Second, from.AddJob(newJob("x")))
		}
		to.ApplyPeerReport("a", from.Report(time.Second, 0, 0, nil))
		checkQueuedPrefill(t, to, time.Second, "x", 0)
	})
	t.Run("changes only", func(t *testing.T) {
		// Guards against entries that a partial report drops or keeps after
		// their end, and against a lost report that no full report repairs.
		from, to := newPeers()
		n := from.AddJob(newJob("x"))
		to.ApplyPeerReport("a", from.DeltaReport(from.Report(0, 0, 0, nil)))
		from.AddJob(newJob("y"))
		second := from.DeltaReport(from.Report(0, 0, 0, nil))
		if len(second.Replicas) != 1 {
			t.Errorf("%d entries after one change, want 1", len(second.Replicas))
		}
		to.ApplyPeerReport("a", second)
		for _, id := range []string{"x", "y"} {
			checkQueuedPrefill(t, to, 0, id, 400*time.Millisecond)
			if got := to.Loads(0)[ShortID(id)].Streams; got != 1 {
				t.Errorf("%d streams at %s, want 1", got, id)
			}
		}
		from.RemoveJob(maxReportAge+time.Second, n)
		at := maxReportAge + time.Second
		lost := from.DeltaReport(from.Report(at, 0, 0, nil))
		if entry, ok := lost.Replicas[ShortID("x")]; !ok || entry.Load.Streams != 0 {
			t.Errorf("the end of the stream at x is not in %+v", lost)
		}
		full := from.Report(at, 0, 0, nil)
		from.MarkReported(full)
		to.ApplyPeerReport("a", full)
		if got := to.Loads(at)[ShortID("x")].Streams; got != 0 {
			t.Errorf("%d streams at x after the full report, want 0", got)
		}
	})
	t.Run("silent", func(t *testing.T) {
		// Guards against the streams of a dead host occupying replicas forever.
		from, to := newPeers()
		from.AddJob(newJob("x"))
		to.ApplyPeerReport("a", from.Report(0, 0, 0, nil))
		if got := to.Loads(maxReportAge + 1)[ShortID("x")].Streams; got != 0 {
			t.Errorf("%d streams of a host that stopped reporting, want 0", got)
		}
	})
	t.Run("waits", func(t *testing.T) {
		// Guards against ordering queued prompts without the time elapsed since
		// the report.
		_, to := newPeers()
		to.ApplyPeerReport("a", Report{At: time.Second, OldestWait: 100 * time.Millisecond})
		if got := to.OldestPeerWait(1500 * time.Millisecond); got != 600*time.Millisecond {
			t.Errorf("oldest wait %v, want 600ms", got)
		}
	})
}
