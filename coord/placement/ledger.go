package placement

import (
	"hash/fnv"
	"maps"
	"time"
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
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{
		Streams: l.Streams + o.Streams, MaxGap: shorterGap(l.MaxGap, o.MaxGap), Tokens: l.Tokens + o.Tokens,
		HelpedPrompts: l.HelpedPrompts + o.HelpedPrompts, QueuedPrefill: l.QueuedPrefill + o.QueuedPrefill,
	}
}

// shorterGap returns the shorter of two gap limits, where 0 means no limit.
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

// ReplicaReport is the load that one process places on one replica, as reported
// to peers.
type ReplicaReport struct {
	Load Load
	// SentPrefillMicros is the sum of all prefill that the process has sent to
	// the replica, less what it has cancelled, in microseconds modulo 2^32. A
	// receiver that missed a report finds the difference in the next one.
	SentPrefillMicros uint32
	// Unreachable is set if the process cannot reach the replica.
	Unreachable bool
}

// Report is the load that one process places on all replicas at one time, by
// ShortID of the replica.
type Report struct {
	// At is the time of the report at its sender, and the time of receipt at a
	// receiver, whose clock differs.
	At time.Duration
	// OldestWait is the age of the oldest request queued for a replica; 0 if
	// none is queued.
	OldestWait time.Duration
	// QueuedPrefill is the total prefill time of the queued requests.
	QueuedPrefill time.Duration
	// Partial is set if Replicas holds only the entries that changed since the
	// last report.
	Partial  bool
	Replicas map[uint32]ReplicaReport
}

// ShortID returns the hash that identifies a replica in reports between
// processes.
func ShortID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // hash writes never fail
	return h.Sum32()
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
	peers map[string]Report
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
}

// NewLedger returns an empty ledger that ignores reports older than
// maxReportAge.
func NewLedger(maxReportAge time.Duration) *Ledger {
	return &Ledger{jobs: map[uint64]*Job{}, peers: map[string]Report{}, peerSentMicros: map[string]map[uint32]uint32{}, prefillQueues: map[uint32]prefillQueue{}, sentPrefill: map[uint32]sentPrefill{}, maxReportAge: maxReportAge}
}

func (l *Ledger) addQueuedPrefill(now time.Duration, replica uint32, work time.Duration) {
	l.prefillQueues[replica] = prefillQueue{remaining: max(0, l.prefillQueues[replica].remainingAt(now)+work), updatedAt: now}
}

// recordSentPrefill adds work, negative for cancelled prefill, to a replica's
// queue and to the total that is reported to peers.
func (l *Ledger) recordSentPrefill(now time.Duration, replica string, work time.Duration) {
	id := ShortID(replica)
	l.addQueuedPrefill(now, id, work)
	l.sentPrefill[id] = sentPrefill{micros: l.sentPrefill[id].micros + uint32(work.Microseconds()), changedAt: now}
}

// forEachReplica calls visit for the primary and the helpers of a job.
func (j *Job) forEachReplica(visit func(id string)) {
	visit(j.Plan.Primary)
	for _, h := range j.Plan.Helpers {
		visit(h.ID)
	}
}

// AddJob records a job and returns its number.
func (l *Ledger) AddJob(j Job) uint64 {
	l.lastJob++
	l.jobs[l.lastJob] = &j
	j.forEachReplica(func(id string) { l.recordSentPrefill(j.SentAt, id, j.PartPrefill) })
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
	return len(j.Plan.Helpers) > 0
}

// RemoveJob deletes a job that has ended. If it ended before its first event, its
// prefill is subtracted, up to the time that was left until the predicted event.
func (l *Ledger) RemoveJob(now time.Duration, number uint64) {
	j, ok := l.jobs[number]
	if !ok {
		return
	}
	delete(l.jobs, number)
	remaining := j.Plan.TimeToFirstEvent - (now - j.SentAt)
	if j.PrefillDone || remaining <= 0 {
		return
	}
	j.forEachReplica(func(id string) { l.recordSentPrefill(now, id, -min(remaining, j.PartPrefill)) })
}

// RemoveReplica deletes the prefill queue and the sent total of a replica that
// has been removed or has restarted. Its jobs stay.
func (l *Ledger) RemoveReplica(replica string) {
	id := ShortID(replica)
	delete(l.prefillQueues, id)
	delete(l.sentPrefill, id)
}

// JobCount returns the number of running jobs.
func (l *Ledger) JobCount() int { return len(l.jobs) }

// maxInitialPrefillMicros is the largest total, in microseconds, that counts as
// new prefill when a replica appears in a peer's report for the first time. A
// larger total accumulated before this process received reports.
const maxInitialPrefillMicros = 4_000_000

// ApplyPeerReport records the report of a peer. The prefill totals in a peer's
// first report are only the baseline for later ones and add no queued prefill.
func (l *Ledger) ApplyPeerReport(name string, r Report) {
	totals, knownPeer := l.peerSentMicros[name]
	if !knownPeer {
		totals = map[uint32]uint32{}
		l.peerSentMicros[name] = totals
	}
	for id, entry := range r.Replicas {
		previous, hasPrevious := totals[id]
		totals[id] = entry.SentPrefillMicros
		if !hasPrevious && (!knownPeer || entry.SentPrefillMicros > maxInitialPrefillMicros) {
			continue
		}
		if work := time.Duration(int32(entry.SentPrefillMicros-previous)) * time.Microsecond; work != 0 {
			l.addQueuedPrefill(r.At, id, work)
		}
	}
	if r.Partial {
		merged := maps.Clone(l.peers[name].Replicas)
		if merged == nil {
			merged = map[uint32]ReplicaReport{}
		}
		maps.Copy(merged, r.Replicas)
		r.Replicas = merged
	}
	l.peers[name] = r
}

// PeerReplicas returns the load last reported by a peer. The caller must not
// modify it.
func (l *Ledger) PeerReplicas(peer string) map[uint32]ReplicaReport { return l.peers[peer].Replicas }

// RemovePeer deletes the report of a peer. The prefill that it sent stays
// queued.
func (l *Ledger) RemovePeer(name string) {
	delete(l.peers, name)
	delete(l.peerSentMicros, name)
}

// ownLoads returns the loads of this process's jobs. Their QueuedPrefill is the
// overdue prefill only.
func (l *Ledger) ownLoads(now time.Duration) map[uint32]Load {
	loads := map[uint32]Load{}
	add := func(id string, load Load) {
		short := ShortID(id)
		loads[short] = loads[short].Add(load)
	}
	for _, j := range l.jobs {
		overdue := j.overduePrefill(now)
		add(j.Plan.Primary, Load{Streams: 1, Tokens: j.Tokens, MaxGap: j.Plan.MaxGap, QueuedPrefill: overdue})
		for _, h := range j.Plan.Helpers {
			help := Load{Tokens: j.Plan.ReservedTokens[h.ID], QueuedPrefill: overdue}
			if !j.PrefillDone {
				help.HelpedPrompts = 1
			}
			add(h.ID, help)
		}
	}
	return loads
}

// Report returns the load that this process places on the replicas. The
// QueuedPrefill of its entries is the overdue prefill only; SentPrefillMicros
// covers the rest.
func (l *Ledger) Report(now, oldestWait, queuedPrefill time.Duration, unreachable map[string]bool) Report {
	r := Report{At: now, OldestWait: oldestWait, QueuedPrefill: queuedPrefill, Replicas: map[uint32]ReplicaReport{}}
	for id, load := range l.ownLoads(now) {
		r.Replicas[id] = ReplicaReport{Load: load, SentPrefillMicros: l.sentPrefill[id].micros}
	}
	for id, s := range l.sentPrefill {
		if now-s.changedAt < l.maxReportAge {
			r.Replicas[id] = ReplicaReport{Load: r.Replicas[id].Load, SentPrefillMicros: s.micros}
		}
	}
	for replica := range unreachable {
		id := ShortID(replica)
		entry := r.Replicas[id]
		entry.SentPrefillMicros, entry.Unreachable = l.sentPrefill[id].micros, true
		r.Replicas[id] = entry
	}
	return r
}

// DeltaReport marks all entries of a report as reported and returns those that
// differ from the ones last reported. An entry that the report lacks is returned
// with no load, only with its prefill total.
func (l *Ledger) DeltaReport(r Report) Report {
	changed := map[uint32]ReplicaReport{}
	for id, entry := range r.Replicas {
		if entry != l.reported[id] {
			changed[id] = entry
		}
	}
	for id := range l.reported {
		if _, ok := r.Replicas[id]; !ok {
			changed[id] = ReplicaReport{SentPrefillMicros: l.sentPrefill[id].micros}
		}
	}
	l.reported = r.Replicas
	r.Partial, r.Replicas = true, changed
	return r
}

// MarkReported marks all entries of a report as reported, so that the next
// DeltaReport is relative to it.
func (l *Ledger) MarkReported(r Report) { l.reported = r.Replicas }

// Loads returns the total load of each replica from all processes, by ShortID. It
// deletes the peer reports that are older than maxReportAge.
func (l *Ledger) Loads(now time.Duration) map[uint32]Load {
	loads := l.ownLoads(now)
	for name, r := range l.peers {
		if now-r.At > l.maxReportAge {
			delete(l.peers, name)
			continue
		}
		for id, entry := range r.Replicas {
			loads[id] = loads[id].Add(entry.Load)
		}
	}
	for id, q := range l.prefillQueues {
		remaining := q.remainingAt(now)
		if remaining == 0 {
			delete(l.prefillQueues, id)
			continue
		}
		loads[id] = loads[id].Add(Load{QueuedPrefill: remaining})
	}
	return loads
}

// PeerQueuedPrefill returns the total prefill time of the requests queued at
// peers.
func (l *Ledger) PeerQueuedPrefill(now time.Duration) time.Duration {
	var sum time.Duration
	for _, r := range l.peers {
		if now-r.At <= l.maxReportAge {
			sum += r.QueuedPrefill
		}
	}
	return sum
}

// OldestPeerWait returns the age of the oldest request queued at a peer.
func (l *Ledger) OldestPeerWait(now time.Duration) time.Duration {
	var oldest time.Duration
	for _, r := range l.peers {
		if r.OldestWait > 0 && now-r.At <= l.maxReportAge {
			oldest = max(oldest, r.OldestWait+now-r.At)
		}
	}
	return oldest
}
