package placement

import (
	"hash/fnv"
	"time"
)

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

// Report returns the load that this process places on the replicas. The
// QueuedPrefill of its entries is the overdue prefill only; SentPrefillMicros
// covers the rest.
func (l *Ledger) Report(now, oldestWait, queuedPrefill time.Duration, unreachable map[string]bool) Report {
	r := Report{At: now, OldestWait: oldestWait, QueuedPrefill: queuedPrefill, Replicas: map[uint32]ReplicaReport{}}
	own := map[uint32]Load{}
	l.addOwnLoads(now, own)
	for id, load := range own {
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
		if entry.withoutWork() != l.reported[id].withoutWork() {
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
