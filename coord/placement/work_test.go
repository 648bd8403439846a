package placement

import (
	"testing"
	"time"

	"siskinstand.example/coord/cost"
	"siskinstand.example/coord/placement/placementtest"
)

// predictedJob is a job with an initial estimate: 1.2 s of decoding at the median.
func predictedJob(primary string) Job {
	r := cost.Request{Route: "r", PromptTokens: 5000, OutputHint: 1200, MaxOutputTokens: 100_000, TokenTime: time.Millisecond}
	return Job{Plan: Plan{Primary: primary, TimeToFirstEvent: 100 * time.Millisecond}, PartPrefill: 30 * time.Millisecond, Survival: NewSurvival(cost.New(cost.Config{}).Predict(0, r).Survival)}
}

func TestRemainingWork(t *testing.T) {
	a := ShortID("a")
	t.Run("overdue", func(t *testing.T) {
		// Guards against a stream that outlives its prediction and counts as done.
		l := NewLedger(maxReportAge)
		n := l.AddJob(predictedJob("a"))
		before := l.Loads(0)[a].Remaining
		l.StartStream(100*time.Millisecond, n)
		placementtest.CheckWithin(t, "rest at the start", l.Loads(100 * time.Millisecond)[a].Remaining, before-100*time.Millisecond, time.Millisecond)
		if rest := l.Loads(10 * time.Second)[a].Remaining; rest < before {
			t.Errorf("rest after 10 s: %v, want more than %v", rest, before)
		}
	})
	t.Run("predicted free", func(t *testing.T) {
		// Guards against a time to the next free slot that does not shrink with the number of
		// requests, and against one of 0 without predictions.
		l := NewLedger(maxReportAge)
		for range 10 {
			l.AddJob(newJob("b"))
			l.StartStream(0, l.AddJob(predictedJob("a")))
		}
		if got := l.PredictedFree(time.Second, "a"); got < 50*time.Millisecond || got > 400*time.Millisecond {
			t.Errorf("10 requests of 1.5 s: next free in %v, want about 150 ms", got)
		}
		placementtest.CheckWithin(t, "without predictions", l.PredictedFree(time.Second, "b"), initialStreamTime/10, time.Millisecond)
		if got := l.PredictedFree(time.Second, "c"); got != 0 {
			t.Errorf("replica without requests: next free in %v, want 0", got)
		}
	})
	t.Run("peers", func(t *testing.T) {
		// Guards against a rest that stays as last reported, reports caused by the passing of
		// time alone, and a rest that remains after the report of its end.
		from, to := newPeers()
		n := from.AddJob(predictedJob("a"))
		from.MarkPrefillDone(n)
		from.StartStream(0, n)
		to.ApplyPeerReport("a", from.DeltaReport(from.Report(0, 0, 0, nil)))
		reported := to.Loads(0)[a].Remaining
		placementtest.CheckWithin(t, "reported rest", reported, from.Loads(0)[a].Remaining, time.Millisecond)
		placementtest.CheckWithin(t, "after 300 ms", to.Loads(300 * time.Millisecond)[a].Remaining, reported-300*time.Millisecond, time.Millisecond)
		if changed := from.DeltaReport(from.Report(300*time.Millisecond, 0, 0, nil)).Replicas; len(changed) > 0 {
			t.Errorf("entries changed by time alone: %v", changed)
		}
		from.RemoveJob(400*time.Millisecond, n)
		to.ApplyPeerReport("a", from.DeltaReport(from.Report(400*time.Millisecond, 0, 0, nil)))
		if load := to.Loads(400 * time.Millisecond)[a]; load.Remaining != 0 || load.NextFree() != 0 {
			t.Errorf("load after the end: %+v, want no work", load)
		}
	})
	t.Run("peer without predictions", func(t *testing.T) {
		// Guards against streams of a host without predictions that are left out of the
		// expected time to a free slot.
		from, to := newPeers()
		for range 4 {
			from.AddJob(newJob("a"))
		}
		to.ApplyPeerReport("a", from.Report(0, 0, 0, nil))
		placementtest.CheckWithin(t, "next free", to.PredictedFree(0, "a"), initialStreamTime/4, time.Millisecond)
	})
}
