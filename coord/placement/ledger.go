package placement

import (
	"hash/fnv"
	"maps"
	"time"
)

// Load is what runs at one replica.
type Load struct {
	// Streams is the number of requests that the replica answers, Tokens the
	// memory that they need.
	Streams int
	Tokens  int
	// MaxGap is the shortest pause between events that one of the streams may have;
	// 0 is none.
	MaxGap time.Duration
	// HelpedPrompts is the number of prompts that the replica reads for others.
	HelpedPrompts int
	// QueuedPrefill is the time that the reading that waits takes without writers.
	QueuedPrefill time.Duration
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{
		Streams: l.Streams + o.Streams, MaxGap: tighter(l.MaxGap, o.MaxGap), Tokens: l.Tokens + o.Tokens,
		HelpedPrompts: l.HelpedPrompts + o.HelpedPrompts, QueuedPrefill: l.QueuedPrefill + o.QueuedPrefill,
	}
}

// tighter returns the shorter of two pauses, where 0 is none.
func tighter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Job is a request that this process has sent to replicas.
type Job struct {
	Plan Plan
	// PartPrefill is the reading time of the part of each replica of the plan.
	PartPrefill time.Duration
	// Tokens is the memory that the request needs at its first replica.
	Tokens int
	// SentAt is the moment of sending. Reading is over once Read is set.
	SentAt      time.Duration
	PrefillDone bool
}

const (
	// overdueAfter is the time after a job's predicted first event from which
	// its replicas count as slow.
	overdueAfter = 150 * time.Millisecond
	// overdueShare is the part of its reading that an overdue job still counts.
	overdueShare = 0.4
	// overdueLeast keeps large parts away from the replicas of an overdue job:
	// replicas read the newest part first, so it might never be read.
	overdueLeast = 120 * time.Millisecond
)

// overdue returns the reading that a job still counts beyond its prediction.
func (j *Job) overdue(now time.Duration) time.Duration {
	if j.PrefillDone || j.PartPrefill == 0 || now < j.SentAt+j.Plan.TimeToFirstEvent+overdueAfter {
		return 0
	}
	return max(overdueLeast, time.Duration(overdueShare*float64(j.PartPrefill)))
}

// ReplicaReport is the load of one process at one replica, as it is reported.
type ReplicaReport struct {
	Load Load
	// SentPrefillMicros is the sum of all reading that the process has sent to the replica,
	// in microseconds modulo 2^32, less what it has taken back. A receiver that
	// has missed a report finds the difference in the next one.
	SentPrefillMicros uint32
	// Unreachable says that the process can't reach the replica.
	Unreachable bool
}

// Report is what one process runs at all replicas at a moment, by the short id
// of the replica.
type Report struct {
	At time.Duration
	// OldestWait is the age of the oldest request that waits for a replica; 0 is none.
	OldestWait time.Duration
	// QueuedPrefill is the reading time of all that wait.
	QueuedPrefill time.Duration
	// Partial reports name only the rows that have changed since the last one.
	Partial  bool
	Replicas map[uint32]ReplicaReport
}

// ShortID is the hash by which processes name a replica to each other.
func ShortID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return h.Sum32()
}

// queue is the reading that waits at one replica, from all processes. It drains
// with time, whatever the order in which the replica reads.
type queue struct {
	left time.Duration
	at   time.Duration
}

func (q queue) after(now time.Duration) time.Duration { return max(0, q.left-(now-q.at)) }

type sum struct {
	added   uint32
	changed time.Duration
}

// Ledger is the load of all replicas: the jobs of this process and the reports
// of the others. The control goroutine owns it.
type Ledger struct {
	jobs  map[uint64]*Job
	peers map[string]Report
	// counts are the sums of other processes, by process and replica.
	counts map[string]map[uint32]uint32
	queues map[uint32]queue
	// sums hold the reading that this process has sent.
	sums map[uint32]sum
	// sent are the rows that the other processes have been told.
	sent map[uint32]ReplicaReport
	// silence is the age from which a report of another process is ignored, and
	// after which a sum that has not changed is no longer reported.
	silence time.Duration
	next    uint64
}

// NewLedger returns an empty ledger that ignores reports older than silence.
func NewLedger(silence time.Duration) *Ledger {
	return &Ledger{jobs: map[uint64]*Job{}, peers: map[string]Report{}, counts: map[string]map[uint32]uint32{}, queues: map[uint32]queue{}, sums: map[uint32]sum{}, silence: silence}
}

func (l *Ledger) queueUp(now time.Duration, replica uint32, work time.Duration) {
	l.queues[replica] = queue{left: max(0, l.queues[replica].after(now)+work), at: now}
}

func (l *Ledger) send(now time.Duration, replica string, work time.Duration) {
	id := ShortID(replica)
	l.queueUp(now, id, work)
	l.sums[id] = sum{added: l.sums[id].added + uint32(work.Microseconds()), changed: now}
}

// replicas calls visit with the first replica and the helpers of a job.
func (j *Job) replicas(visit func(id string)) {
	visit(j.Plan.Primary)
	for _, h := range j.Plan.Helpers {
		visit(h.ID)
	}
}

// Add records a job and returns its number.
func (l *Ledger) Add(j Job) uint64 {
	l.next++
	l.jobs[l.next] = &j
	j.replicas(func(id string) { l.send(j.SentAt, id, j.PartPrefill) })
	return l.next
}

// MarkPrefillDone records the first event of a job and reports whether that frees helpers.
func (l *Ledger) MarkPrefillDone(number uint64) bool {
	j, ok := l.jobs[number]
	if !ok {
		return false
	}
	j.PrefillDone = true
	return len(j.Plan.Helpers) > 0
}

// Remove forgets a job that has ended. What it has not read is taken back.
func (l *Ledger) Remove(now time.Duration, number uint64) {
	j, ok := l.jobs[number]
	if !ok {
		return
	}
	delete(l.jobs, number)
	left := j.Plan.TimeToFirstEvent - (now - j.SentAt)
	if j.PrefillDone || left <= 0 {
		return
	}
	j.replicas(func(id string) { l.send(now, id, -min(left, j.PartPrefill)) })
}

// RemoveReplica drops what is known of a replica that is gone.
func (l *Ledger) RemoveReplica(replica string) {
	id := ShortID(replica)
	delete(l.queues, id)
	delete(l.sums, id)
}

// JobCount returns the number of jobs.
func (l *Ledger) JobCount() int { return len(l.jobs) }

// maxFirstSum is the largest sum of a replica, in microseconds, that is taken
// for new reading when it is reported for the first time. A larger one has
// grown before this process heard of it.
const maxFirstSum = 4_000_000

// ApplyPeerReport records the report of another process. Its first one tells only from
// where to count its sums.
func (l *Ledger) ApplyPeerReport(name string, r Report) {
	counts, known := l.counts[name]
	if !known {
		counts = map[uint32]uint32{}
		l.counts[name] = counts
	}
	for id, row := range r.Replicas {
		before, seen := counts[id]
		counts[id] = row.SentPrefillMicros
		if !seen && (!known || row.SentPrefillMicros > maxFirstSum) {
			continue
		}
		if work := time.Duration(int32(row.SentPrefillMicros-before)) * time.Microsecond; work != 0 {
			l.queueUp(r.At, id, work)
		}
	}
	if r.Partial {
		rows := maps.Clone(l.peers[name].Replicas)
		if rows == nil {
			rows = map[uint32]ReplicaReport{}
		}
		maps.Copy(rows, r.Replicas)
		r.Replicas = rows
	}
	l.peers[name] = r
}

// PeerReplicas returns what another process runs; the caller must not change it.
func (l *Ledger) PeerReplicas(peer string) map[uint32]ReplicaReport { return l.peers[peer].Replicas }

// RemovePeer forgets another process. Its reading goes on.
func (l *Ledger) RemovePeer(name string) {
	delete(l.peers, name)
	delete(l.counts, name)
}

// own returns the loads of this process's jobs without their reading.
func (l *Ledger) own(now time.Duration) map[uint32]Load {
	loads := map[uint32]Load{}
	add := func(id string, load Load) {
		short := ShortID(id)
		loads[short] = loads[short].Add(load)
	}
	for _, j := range l.jobs {
		overdue := j.overdue(now)
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

// Report returns what this process runs. The reading in its rows is what is
// overdue; the rest is in the sums.
func (l *Ledger) Report(now, waits, waitRead time.Duration, down map[string]bool) Report {
	r := Report{At: now, OldestWait: waits, QueuedPrefill: waitRead, Replicas: map[uint32]ReplicaReport{}}
	for id, load := range l.own(now) {
		r.Replicas[id] = ReplicaReport{Load: load, SentPrefillMicros: l.sums[id].added}
	}
	for id, s := range l.sums {
		if now-s.changed < l.silence {
			r.Replicas[id] = ReplicaReport{Load: r.Replicas[id].Load, SentPrefillMicros: s.added}
		}
	}
	for replica := range down {
		id := ShortID(replica)
		row := r.Replicas[id]
		row.SentPrefillMicros, row.Unreachable = l.sums[id].added, true
		r.Replicas[id] = row
	}
	return r
}

// DeltaReport returns the rows of a report that differ from what the others have
// been told. Rows that it lacks are empty by now.
func (l *Ledger) DeltaReport(r Report) Report {
	changed := map[uint32]ReplicaReport{}
	for id, row := range r.Replicas {
		if row != l.sent[id] {
			changed[id] = row
		}
	}
	for id := range l.sent {
		if _, ok := r.Replicas[id]; !ok {
			changed[id] = ReplicaReport{SentPrefillMicros: l.sums[id].added}
		}
	}
	l.sent = r.Replicas
	r.Partial, r.Replicas = true, changed
	return r
}

// FullReport records that the others are told a whole report.
func (l *Ledger) FullReport(r Report) Report {
	l.sent = r.Replicas
	return r
}

// Loads returns the loads of all processes' jobs, by short id.
func (l *Ledger) Loads(now time.Duration) map[uint32]Load {
	loads := l.own(now)
	for name, r := range l.peers {
		if now-r.At > l.silence {
			delete(l.peers, name)
			continue
		}
		for id, row := range r.Replicas {
			loads[id] = loads[id].Add(row.Load)
		}
	}
	for id, q := range l.queues {
		left := q.after(now)
		if left == 0 {
			delete(l.queues, id)
			continue
		}
		loads[id] = loads[id].Add(Load{QueuedPrefill: left})
	}
	return loads
}

// PeerQueuedPrefill returns the reading time of all that waits at other processes.
func (l *Ledger) PeerQueuedPrefill(now time.Duration) time.Duration {
	var sum time.Duration
	for _, r := range l.peers {
		if now-r.At <= l.silence {
			sum += r.QueuedPrefill
		}
	}
	return sum
}

// OldestPeerWait returns the age of the oldest request that waits at another process.
func (l *Ledger) OldestPeerWait(now time.Duration) time.Duration {
	var oldest time.Duration
	for _, r := range l.peers {
		if r.OldestWait > 0 && now-r.At <= l.silence {
			oldest = max(oldest, r.OldestWait+now-r.At)
		}
	}
	return oldest
}
