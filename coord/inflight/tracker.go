// Package inflight counts the bytes of the requests that all hosts have at each replica, and
// decides whether a replica can take another request. Hosts know of each other's requests only
// by reports that arrive late, so each uses a bounded part of what is free until its requests
// are known to the others.
package inflight

import (
	"maps"
	"time"
)

const (
	// maxEntriesPerHost limits how many replicas are kept of one host's reports.
	maxEntriesPerHost = 4096
	// expiryInterval is the shortest time between two searches for expired entries.
	expiryInterval = 250 * time.Millisecond
)

// Config configures a Tracker.
type Config struct {
	// MaxBytes is the limit at one replica.
	MaxBytes int64
	// Expiry is the age at which what another host has reported no longer counts. It must
	// exceed the time between two reports of the same entry.
	Expiry time.Duration
}

// Tracker counts the bytes in flight. It is owned by one goroutine.
type Tracker struct {
	config Config
	jobs   map[uint64]job
	// own holds what this host has at each replica, peers what the others have reported, and
	// peerSums the sum of peers by replica.
	own        map[uint32]*ownEntry
	peers      map[string]map[uint32]peerEntry
	peerSums   map[uint32]int64
	lastExpiry time.Duration
	rotation   rotation
}

type job struct {
	replica uint32
	bytes   int64
	by      Admission
	addedAt time.Duration
}

// ownEntry is what this host has at one replica.
type ownEntry struct {
	bytes int64
	// recent holds the jobs that may not be known to all other hosts.
	recent map[uint64]job
	// changedAt is the time of the last change, and timesSent how often the value was reported
	// since.
	changedAt time.Duration
	timesSent int
}

type peerEntry struct {
	bytes int64
	at    time.Duration
}

// New returns a Tracker without requests.
func New(c Config) *Tracker {
	return &Tracker{config: c, jobs: map[uint64]job{}, own: map[uint32]*ownEntry{}, peers: map[string]map[uint32]peerEntry{}, peerSums: map[uint32]int64{}}
}

// Add records that a request with the given number was sent to a replica.
func (t *Tracker) Add(now time.Duration, number uint64, replica uint32, bytes int64, by Admission) {
	if bytes == 0 {
		return
	}
	j := job{replica: replica, bytes: bytes, by: by, addedAt: now}
	t.jobs[number] = j
	e := t.own[replica]
	if e == nil {
		e = &ownEntry{recent: map[uint64]job{}}
		t.own[replica] = e
	}
	e.bytes += bytes
	e.recent[number] = j
	e.changedAt, e.timesSent = now, 0
}

// Remove records the end of a request. It ignores requests without bytes.
func (t *Tracker) Remove(now time.Duration, number uint64) {
	j, ok := t.jobs[number]
	if !ok {
		return
	}
	delete(t.jobs, number)
	e := t.own[j.replica]
	e.bytes -= j.bytes
	delete(e.recent, number)
	e.changedAt, e.timesSent = now, 0
}

// Bytes returns the bytes that all hosts are known to have at a replica.
func (t *Tracker) Bytes(now time.Duration, replica uint32) int64 {
	t.expire(now)
	sum := t.peerSums[replica]
	if e := t.own[replica]; e != nil {
		sum += e.bytes
	}
	return sum
}

// Fullest returns the largest number of bytes that all hosts are known to have at one replica.
func (t *Tracker) Fullest(now time.Duration) int64 {
	t.expire(now)
	var most int64
	for replica := range t.own {
		most = max(most, t.Bytes(now, replica))
	}
	for replica := range t.peerSums {
		most = max(most, t.Bytes(now, replica))
	}
	return most
}

// JobCount returns the number of requests of this host that are counted.
func (t *Tracker) JobCount() int { return len(t.jobs) }

// setPeer replaces what a host has at a replica.
func (t *Tracker) setPeer(host string, replica uint32, e peerEntry) {
	entries := t.peers[host]
	if entries == nil {
		entries = map[uint32]peerEntry{}
		t.peers[host] = entries
	}
	old, known := entries[replica]
	if e.bytes > 0 && !known && len(entries) >= maxEntriesPerHost {
		return
	}
	if sum := t.peerSums[replica] + e.bytes - old.bytes; sum > 0 {
		t.peerSums[replica] = sum
	} else {
		delete(t.peerSums, replica)
	}
	if e.bytes == 0 {
		delete(entries, replica)
		return
	}
	entries[replica] = e
}

// RemoveHost drops what a host has reported.
func (t *Tracker) RemoveHost(host string) {
	for replica := range t.peers[host] {
		t.setPeer(host, replica, peerEntry{})
	}
	delete(t.peers, host)
}

// expire drops the entries that were not reported again, and own entries without requests
// whose end was reported often enough.
func (t *Tracker) expire(now time.Duration) {
	if now-t.lastExpiry < expiryInterval {
		return
	}
	t.lastExpiry = now
	for host, entries := range t.peers {
		for replica, e := range entries {
			if now-e.at > t.config.Expiry {
				t.setPeer(host, replica, peerEntry{})
			}
		}
		if len(entries) == 0 {
			delete(t.peers, host)
		}
	}
	maps.DeleteFunc(t.own, func(_ uint32, e *ownEntry) bool { return e.bytes == 0 && now-e.changedAt > t.config.Expiry })
}
