package placement

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const silence = 2 * time.Second

func readJob(first string, helpers ...string) Job {
	j := Job{Plan: Plan{Primary: first, TimeToFirstEvent: 500 * time.Millisecond, MaxGap: longGap}, PartPrefill: 400 * time.Millisecond, Tokens: 1000}
	for _, h := range helpers {
		j.Plan.Helpers = append(j.Plan.Helpers, Helper{ID: h})
	}
	return j
}

func checkRead(t *testing.T, l *Ledger, now time.Duration, id string, want time.Duration) {
	t.Helper()
	if got := l.Loads(now)[ShortID(id)].QueuedPrefill; got != want {
		t.Errorf("reading at %s after %v: %v, want %v", id, now, got, want)
	}
}

func TestLedger(t *testing.T) {
	t.Run("one job", func(t *testing.T) {
		// Guards against reading that never drains and helpers that are never freed.
		l := NewLedger(silence)
		n := l.Add(readJob("a", "b"))
		checkRead(t, l, 100*time.Millisecond, "b", 300*time.Millisecond)
		l.MarkPrefillDone(n)
		checkRead(t, l, 450*time.Millisecond, "b", 0)
		if got := l.Loads(time.Second)[ShortID("b")].HelpedPrompts; got != 0 {
			t.Errorf("%d prompts still helped after the first event", got)
		}
		l.Remove(time.Second, n)
		if diff := cmp.Diff(map[uint32]Load{}, l.Loads(2*time.Second)); diff != "" {
			t.Errorf("loads after the end (-want +got):\n%s", diff)
		}
	})
	t.Run("overdue", func(t *testing.T) {
		// Guards against new large parts on a replica that has not read an old one.
		l := NewLedger(silence)
		l.Add(readJob("a"))
		checkRead(t, l, time.Second, "a", 160*time.Millisecond)
	})
	t.Run("cancelled", func(t *testing.T) {
		// Guards against a queue that keeps what a caller who left would have needed.
		l := NewLedger(silence)
		n := l.Add(readJob("a"))
		l.Remove(100*time.Millisecond, n)
		checkRead(t, l, 100*time.Millisecond, "a", 0)
	})
}

// hosts are two ledgers, of which the second hears of the first.
func hosts() (from, to *Ledger) {
	from, to = NewLedger(silence), NewLedger(silence)
	to.ApplyPeerReport("a", from.Report(0, 0, 0, nil))
	return from, to
}

func TestPeers(t *testing.T) {
	t.Run("lost report", func(t *testing.T) {
		// Guards against reading that stays unknown when one datagram is lost, and against counting it twice.
		from, to := hosts()
		from.Add(readJob("x"))
		from.Report(0, 0, 0, nil) // lost
		from.Add(readJob("x"))
		r := from.Report(0, 0, 0, nil)
		to.ApplyPeerReport("a", r)
		to.ApplyPeerReport("a", r)
		checkRead(t, to, 0, "x", 800*time.Millisecond)
		if got := to.Loads(0)[ShortID("x")].Streams; got != 2 {
			t.Errorf("%d streams, want 2", got)
		}
	})
	t.Run("joins late", func(t *testing.T) {
		// Guards against a new host that takes all reading since another's start for waiting.
		from, to := NewLedger(silence), NewLedger(silence)
		for range 100 {
			from.Remove(time.Second, from.Add(readJob("x")))
		}
		to.ApplyPeerReport("a", from.Report(time.Second, 0, 0, nil))
		checkRead(t, to, time.Second, "x", 0)
	})
	t.Run("changes only", func(t *testing.T) {
		// Guards against rows that a partial report drops, or leaves standing after
		// their end, and against a loss that no whole report repairs.
		from, to := hosts()
		n := from.Add(readJob("x"))
		to.ApplyPeerReport("a", from.DeltaReport(from.Report(0, 0, 0, nil)))
		from.Add(readJob("y"))
		second := from.DeltaReport(from.Report(0, 0, 0, nil))
		if len(second.Replicas) != 1 {
			t.Errorf("%d rows after one change, want 1", len(second.Replicas))
		}
		to.ApplyPeerReport("a", second)
		for _, id := range []string{"x", "y"} {
			checkRead(t, to, 0, id, 400*time.Millisecond)
			if got := to.Loads(0)[ShortID(id)].Streams; got != 1 {
				t.Errorf("%d streams at %s, want 1", got, id)
			}
		}
		from.Remove(silence+time.Second, n)
		at := silence + time.Second
		lost := from.DeltaReport(from.Report(at, 0, 0, nil))
		if row, ok := lost.Replicas[ShortID("x")]; !ok || row.Load.Streams != 0 {
			t.Errorf("the end of the stream at x is not in %+v", lost)
		}
		to.ApplyPeerReport("a", from.FullReport(from.Report(at, 0, 0, nil)))
		if got := to.Loads(at)[ShortID("x")].Streams; got != 0 {
			t.Errorf("%d streams at x after the whole report", got)
		}
	})
	t.Run("silent", func(t *testing.T) {
		// Guards against a dead host whose streams fill the replicas for ever.
		from, to := hosts()
		from.Add(readJob("x"))
		to.ApplyPeerReport("a", from.Report(0, 0, 0, nil))
		if got := to.Loads(silence + 1)[ShortID("x")].Streams; got != 0 {
			t.Errorf("%d streams of a silent host", got)
		}
	})
	t.Run("waits", func(t *testing.T) {
		// Guards against an order of waiting prompts that forgets the time since the report.
		_, to := hosts()
		to.ApplyPeerReport("a", Report{At: time.Second, OldestWait: 100 * time.Millisecond})
		if got := to.OldestPeerWait(1500 * time.Millisecond); got != 600*time.Millisecond {
			t.Errorf("oldest wait %v, want 600ms", got)
		}
	})
}
