package placement

import (
	"time"

	"siskinstand.example/coord/cost"
)

const (
	// initialStreamTime is the mean duration of a stream before any has ended, and
	// streamTimeShare the weight of a new one. The mean stands in for streams without a
	// prediction.
	initialStreamTime = time.Second
	streamTimeShare   = 0.05
	maxStreamTime     = time.Minute
	// minAgedShare is the share of the remaining work last reported by a peer that counts
	// until its next report: a stream that goes on longer than predicted is not done.
	minAgedShare = 0.25
)

// soonerEnd returns the expected time until the first of two independent events, of which each
// is expected after the given time and has a constant rate. 0 means that there is no event.
func soonerEnd(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return a + b
	}
	return max(1, time.Duration(float64(a)*float64(b)/float64(a+b)))
}

// NextFree returns the expected time until the first of the requests with a prediction ends, or
// 0 if there is none. Requests end independently at their current rates; those whose predictions
// are certain have a low rate until shortly before they end.
func (l Load) NextFree() time.Duration { return min(l.EndInterval, l.ShortestRest) }

// isCall reports whether a job has no prefill, so that it runs from the time of sending.
func (j *Job) isCall() bool { return j.PartPrefill == 0 && j.Plan.TimeToFirstEvent == 0 }

// work returns the expected rest of a job, and the time until it is expected to end at its
// current rate. Both are 0 if the job has no prediction.
func (j *Job) work(now time.Duration) (remaining, endInterval time.Duration) {
	if j.Survival == nil {
		return 0, 0
	}
	var endsPerSecond float64
	switch {
	case j.streamsSince > 0:
		remaining, endsPerSecond = j.Survival.Rest(now - j.streamsSince)
	case j.isCall():
		remaining, endsPerSecond = j.Survival.Rest(now - j.SentAt)
	default:
		remaining, _ = j.Survival.Rest(0)
		remaining += max(0, j.SentAt+j.Plan.TimeToFirstEvent-now)
		endsPerSecond = 1 / remaining.Seconds()
	}
	if endsPerSecond*maxStreamTime.Seconds() <= 1 {
		return remaining, maxStreamTime
	}
	return remaining, max(1, time.Duration(float64(time.Second)/endsPerSecond))
}

// StartStream records the time at which the stream of a job has started. Its remaining work is
// predicted from then on.
func (l *Ledger) StartStream(now time.Duration, number uint64) {
	if j, ok := l.jobs[number]; ok && j.streamsSince == 0 {
		j.streamsSince = max(1, now)
		l.loadsValid = false
	}
}

// recordStreamTime adds the duration of a stream that has ended to the mean.
func (l *Ledger) recordStreamTime(now time.Duration, j *Job) {
	if j.PrefillDone {
		took := min(now-j.SentAt, maxStreamTime)
		l.meanStreamTime += time.Duration(streamTimeShare * float64(took-l.meanStreamTime))
	}
}

// PredictedFree returns the expected time until the next of the requests that a replica runs
// has ended, or 0 if it runs none. For a replica that has n requests more than slots, its next
// slot for a further one becomes free after about n+1 times this duration. Requests without a
// prediction, as of all requests while predictions are off, count with the mean duration of
// streams.
func (l *Ledger) PredictedFree(now time.Duration, replica string) time.Duration {
	id := ShortID(replica)
	load := l.Loads(now)[id]
	free := load.NextFree()
	n := l.unpredicted[id]
	if p := l.peerLoads[id]; p != nil {
		n += p.unpredicted
	}
	if n = min(n, load.Streams); n > 0 {
		free = soonerEnd(free, l.meanStreamTime/time.Duration(n))
	}
	return free
}

// aged returns the load after the given time. What remains of each stream decreases with the
// time, but not to less than minAgedShare.
func (l Load) aged(d time.Duration) Load {
	if l.Remaining > 0 && d > 0 {
		l.Remaining = max(l.Remaining-time.Duration(l.Streams)*d, time.Duration(minAgedShare*float64(l.Remaining)))
	}
	return l
}

// withoutWork returns the report without what changes with the time alone. Such changes are
// sent in full reports only.
func (r ReplicaReport) withoutWork() ReplicaReport {
	r.Load.Remaining, r.Load.EndInterval, r.Load.ShortestRest = 0, 0, 0
	return r
}

// SetSurvival sets the prediction of a job's duration.
func (l *Ledger) SetSurvival(number uint64, s cost.Survival) {
	if j, ok := l.jobs[number]; ok {
		j.Survival = NewSurvival(s)
		l.loadsValid = false
	}
}

// freesSooner reports whether the next slot of a is expected to become free sooner than that of
// b, for prompts that other hosts place at the same time. It decides between replicas with as
// many streams per slot.
func (c *chooser) freesSooner(a, b Candidate) bool {
	c.byWork = a.Load.NextFree() != b.Load.NextFree()
	return a.Load.NextFree() < b.Load.NextFree()
}

// NewSurvival returns a copy of a request's survival for a Job, or nil if it predicts nothing.
func NewSurvival(s cost.Survival) *cost.Survival {
	if s.IsZero() {
		return nil
	}
	return &s
}
