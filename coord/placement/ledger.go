package placement

import (
	"maps"
	"time"

	"siskinstand.example/coord/cost"
)

// Load is the load of one replica.
type Load struct {
	// Streams is the number of requests that the replica answers; Tokens is the
	// memory reserved for them and for prompts that it helps.
	Streams int
	Tokens  int
	// MaxGap is the strictest limit that any stream sets on the gap between
	// events; 0 means no limit.
	MaxGap time.Duration
	// HelpedPrompts is the number of prompts without a first event for which the
	// replica is a helper.
	HelpedPrompts int
	// QueuedPrefill is the time that the queued prefill takes at a replica that
	// is not decoding. It includes a share of overdue prefill.
	QueuedPrefill time.Duration
	// Remaining is the sum of the expected rests of the requests with a prediction, and
	// ShortestRest the least of them. EndInterval is the mean time between their ends at the
	// current rates. All are 0 if there is none.
	Remaining    time.Duration
	EndInterval  time.Duration
	ShortestRest time.Duration
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{
		Streams: l.Streams + o.Streams, MaxGap: shorterGap(l.MaxGap, o.MaxGap), Tokens: l.Tokens + o.Tokens,
		HelpedPrompts: l.HelpedPrompts + o.HelpedPrompts, QueuedPrefill: l.QueuedPrefill + o.QueuedPrefill,
		Remaining: l.Remaining + o.Remaining, EndInterval: soonerEnd(l.EndInterval, o.EndInterval), ShortestRest: shorterGap(l.ShortestRest, o.ShortestRest),
	}
}

// shorterGap returns the shorter of two gap limits, or of other durations, where 0 means none.
func shorterGap(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Job is a request that this process has sent to replicas.
type Job struct {
	Plan Plan
	// PartPrefill is the PartPrefill of the plan.
	PartPrefill time.Duration
	// Tokens is the memory that the request needs at its primary.
	Tokens int
	// SentAt is the time of sending. PrefillDone is set at the first event.
	SentAt      time.Duration
	PrefillDone bool
	// Survival predicts the rest of the request; nil without a prediction. streamsSince is the
	// time set by StartStream.
	Survival     *cost.Survival
	streamsSince time.Duration
	// primary and helpers are the ShortIDs of the plan's replicas. AddJob sets them.
	primary uint32
	helpers []uint32
}

const (
	// overdueDelay is the time after a job's predicted first event from which
	// the job counts as overdue.
	overdueDelay = 150 * time.Millisecond
	// overduePrefillShare is the share of an overdue job's prefill that still
	// counts as queued.
	overduePrefillShare = 0.4
	// minOverduePrefill keeps large parts away from the replicas of an overdue
	// job: replicas prefill the newest part first, so the overdue part might
	// never run.
	minOverduePrefill = 120 * time.Millisecond
)

// overduePrefill returns the prefill that still counts as queued if the job is
// overdue, and 0 otherwise.
func (j *Job) overduePrefill(now time.Duration) time.Duration {
	if j.PrefillDone || j.PartPrefill == 0 || now < j.SentAt+j.Plan.TimeToFirstEvent+overdueDelay {
		return 0
	}
	return max(minOverduePrefill, time.Duration(overduePrefillShare*float64(j.PartPrefill)))
}

// prefillQueue is the prefill queued at one replica by all processes. It drains
// in real time, whatever the order in which the replica works.
type prefillQueue struct {
	remaining time.Duration
	updatedAt time.Duration
}

func (q prefillQueue) remainingAt(now time.Duration) time.Duration {
	return max(0, q.remaining-(now-q.updatedAt))
}

type sentPrefill struct {
	micros    uint32
	changedAt time.Duration
}

// Ledger tracks the load of all replicas from this process's jobs and the
// reports of its peers. It is owned by the control goroutine.
type Ledger struct {
	jobs  map[uint64]*Job
	peers map[string]*peerState
	// peerLoads holds, by replica, the loads of all peers. It is updated for the
	// entries of each report, so that its cost does not grow with the number of peers.
	peerLoads map[uint32]*peerLoad
	// peerSentMicros holds the last SentPrefillMicros of each peer, by peer and
	// replica.
	peerSentMicros map[string]map[uint32]uint32
	prefillQueues  map[uint32]prefillQueue
	// sentPrefill is the running total of prefill that this process has sent,
	// by replica.
	sentPrefill map[uint32]sentPrefill
	// reported holds the entries last reported to the peers.
	reported map[uint32]ReplicaReport
	// maxReportAge is the age above which a peer's report is ignored, and from
	// which an unchanged prefill total is no longer reported for a replica that
	// has no jobs of this process.
	maxReportAge time.Duration
	lastJob      uint64
	// starts estimates the rate of prompts that all processes start, peerStarts that of the
	// peers' prompts.
	starts, peerStarts startRate
	// loads is the result of Loads at the time loadsAt. It is valid until a job or report
	// changes.
	loads      map[uint32]Load
	loadsAt    time.Duration
	loadsValid bool
	// unpredicted counts this process's requests without a prediction, by replica, as of the
	// last call of Loads.
	unpredicted map[uint32]int
	// meanStreamTime is the decaying mean duration of this process's streams.
	meanStreamTime time.Duration
}

// NewLedger returns an empty ledger that ignores reports older than
// maxReportAge.
func NewLedger(maxReportAge time.Duration) *Ledger {
	return &Ledger{
		jobs: map[uint64]*Job{}, peers: map[string]*peerState{}, peerLoads: map[uint32]*peerLoad{}, peerSentMicros: map[string]map[uint32]uint32{},
		prefillQueues: map[uint32]prefillQueue{}, sentPrefill: map[uint32]sentPrefill{}, maxReportAge: maxReportAge, loads: map[uint32]Load{},
		unpredicted: map[uint32]int{}, meanStreamTime: initialStreamTime,
	}
}

func (l *Ledger) addQueuedPrefill(now time.Duration, replica uint32, work time.Duration) {
	l.loadsValid = false
	l.prefillQueues[replica] = prefillQueue{remaining: max(0, l.prefillQueues[replica].remainingAt(now)+work), updatedAt: now}
}

// recordSentPrefill adds work, negative for cancelled prefill, to the queues of the job's
// replicas and to the totals that are reported to peers.
func (l *Ledger) recordSentPrefill(now time.Duration, j *Job, work time.Duration) {
	j.forEachReplica(func(id uint32) {
		l.addQueuedPrefill(now, id, work)
		l.sentPrefill[id] = sentPrefill{micros: l.sentPrefill[id].micros + uint32(work.Microseconds()), changedAt: now}
	})
}

// forEachReplica calls visit for the primary and the helpers of a job.
func (j *Job) forEachReplica(visit func(id uint32)) {
	visit(j.primary)
	for _, id := range j.helpers {
		visit(id)
	}
}

// AddJob records a job and returns its number.
func (l *Ledger) AddJob(j Job) uint64 {
	j.primary, j.helpers = ShortID(j.Plan.Primary), make([]uint32, len(j.Plan.Helpers))
	for i, h := range j.Plan.Helpers {
		j.helpers[i] = ShortID(h.ID)
	}
	l.lastJob++
	l.jobs[l.lastJob] = &j
	l.starts.add(j.SentAt, 1)
	l.loadsValid = false
	l.recordSentPrefill(j.SentAt, &j, j.PartPrefill)
	return l.lastJob
}

// MarkPrefillDone records the first event of a job and reports whether that
// releases helpers.
func (l *Ledger) MarkPrefillDone(number uint64) bool {
	j, ok := l.jobs[number]
	if !ok {
		return false
	}
	j.PrefillDone = true
	l.loadsValid = false
	return len(j.Plan.Helpers) > 0
}

// RemoveJob deletes a job that has ended and returns its service, or "" if it is not known. If
// it ended before its first event, its prefill is subtracted, up to the time that was left until
// the predicted event.
func (l *Ledger) RemoveJob(now time.Duration, number uint64) string {
	j, ok := l.jobs[number]
	if !ok {
		return ""
	}
	delete(l.jobs, number)
	l.loadsValid = false
	l.recordStreamTime(now, j)
	remaining := j.Plan.TimeToFirstEvent - (now - j.SentAt)
	if !j.PrefillDone && remaining > 0 {
		l.recordSentPrefill(now, j, -min(remaining, j.PartPrefill))
	}
	return j.Plan.Service
}

// RemoveReplica deletes the prefill queue and the sent total of a replica that
// has been removed or has restarted. Its jobs stay.
func (l *Ledger) RemoveReplica(replica string) {
	id := ShortID(replica)
	l.loadsValid = false
	delete(l.prefillQueues, id)
	delete(l.sentPrefill, id)
}

// RetainReplicas deletes the prefill queues and sent totals of the replicas that are not
// in known, a set of ShortIDs. Their jobs stay.
func (l *Ledger) RetainReplicas(known map[uint32]bool) {
	l.loadsValid = false
	maps.DeleteFunc(l.prefillQueues, func(id uint32, _ prefillQueue) bool { return !known[id] })
	maps.DeleteFunc(l.sentPrefill, func(id uint32, _ sentPrefill) bool { return !known[id] })
}

// JobCount returns the number of running jobs.
func (l *Ledger) JobCount() int { return len(l.jobs) }

// addOwnLoads adds the loads of this process's jobs. Their QueuedPrefill is the overdue
// prefill only.
func (l *Ledger) addOwnLoads(now time.Duration, loads map[uint32]Load) {
	clear(l.unpredicted)
	for _, j := range l.jobs {
		overdue := j.overduePrefill(now)
		remaining, endInterval := j.work(now)
		if endInterval == 0 {
			l.unpredicted[j.primary]++
		}
		loads[j.primary] = loads[j.primary].Add(Load{Streams: 1, Tokens: j.Tokens, MaxGap: j.Plan.MaxGap, QueuedPrefill: overdue, Remaining: remaining, EndInterval: endInterval, ShortestRest: remaining})
		for i, id := range j.helpers {
			help := Load{Tokens: j.Plan.ReservedTokens[j.Plan.Helpers[i].ID], QueuedPrefill: overdue}
			if !j.PrefillDone {
				help.HelpedPrompts = 1
			}
			loads[id] = loads[id].Add(help)
		}
	}
}

// Loads returns the total load of each replica from all processes, by ShortID. It
// deletes the peer reports that are older than maxReportAge. The map is valid until the
// next call.
func (l *Ledger) Loads(now time.Duration) map[uint32]Load {
	if l.loadsValid && l.loadsAt == now {
		return l.loads
	}
	for name, state := range l.peers {
		if now-state.report.At > l.maxReportAge {
			l.removePeerEntries(name)
		}
	}
	l.loadsAt, l.loadsValid = now, true
	clear(l.loads)
	for id, p := range l.peerLoads {
		l.loads[id] = p.sum.aged(now - p.updatedAt)
	}
	l.addOwnLoads(now, l.loads)
	for id, q := range l.prefillQueues {
		remaining := q.remainingAt(now)
		if remaining == 0 {
			delete(l.prefillQueues, id)
			continue
		}
		l.loads[id] = l.loads[id].Add(Load{QueuedPrefill: remaining})
	}
	return l.loads
}
