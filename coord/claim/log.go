package claim

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/invariant"
)

// Errors returned by Decide.
var (
	ErrNotHeld = errors.New("claim: the key is not held by this claim")
	ErrDone    = errors.New("claim: the call has a recorded result")
)

// clockMargin is the additional time before an expired chunk is deleted. It allows
// for differences between the clocks of the appenders.
const clockMargin = time.Hour

// heldClaim is the latest claim of a key.
type heldClaim struct {
	Record
	claimID string
}

// Log is an appender's local copy of a partition. It determines the state of keys
// and the chunks to write; the caller reads from and writes to the store. Log is
// not safe for concurrent use.
type Log struct {
	partition  int
	expiry     time.Duration
	invariants *invariant.Registry
	// chunks and versions hold the chunks read from or written to the store. tail is
	// the number of the chunk to which entries are appended; its version is 0 until it
	// is created.
	chunks      map[int]Chunk
	versions    map[int]int64
	tail        int
	claims      map[Key]*heldClaim
	releasedIDs map[string]bool
}

// NewLog returns an empty copy of a partition.
func NewLog(partition int, expiry time.Duration, invariants *invariant.Registry) *Log {
	l := &Log{partition: partition, expiry: expiry, invariants: invariants}
	l.Reset()
	return l
}

// Reset discards the copy. The partition then has to be read again.
func (l *Log) Reset() {
	l.chunks, l.versions, l.tail = map[int]Chunk{}, map[int]int64{}, 0
	l.claims, l.releasedIDs = map[Key]*heldClaim{}, map[string]bool{}
}

// Tail returns the number and version of the chunk to which entries are appended.
// The version is 0 if the chunk does not exist yet.
func (l *Log) Tail() (number int, version int64) { return l.tail, l.versions[l.tail] }

// Load adds a chunk read from the store. Chunks have to be loaded in ascending
// order. Load fails if the chunk precedes the tail or has fewer entries than were
// loaded from it before.
func (l *Log) Load(c Chunk, version int64) error {
	known := l.chunks[c.Number].Entries
	if c.Number < l.tail || len(c.Entries) < len(known) {
		return eris.Errorf("%s does not continue the copy read before", ChunkKey(l.partition, c.Number))
	}
	for _, e := range c.Entries[len(known):] {
		l.apply(e)
	}
	l.chunks[c.Number], l.versions[c.Number] = c, version
	l.tail = c.Number
	if c.Sealed {
		l.tail++
	}
	return nil
}

// apply updates the state of a key with one entry. The result of a claim that does
// not hold the key is ignored, for example if the claim's chunk was deleted. A
// release is recorded in any case, so that its claim ID is not granted again.
func (l *Log) apply(e Entry) {
	held := l.claims[e.key()]
	switch e.Op {
	case OpClaim:
		conflict := held != nil && held.claimID != e.ClaimID && e.time().Before(held.ClaimedAt.Add(l.expiry))
		if !l.invariants.Check(!conflict, invariant.AtMostOnce, "claim %q was appended while %v holds the key", e.ClaimID, held) {
			return
		}
		l.claims[e.key()] = &heldClaim{claimID: e.ClaimID, Record: Record{State: StateHeld, Holder: e.Holder, ClaimedAt: e.time(), BodyHash: e.BodyHash}}
	case OpRelease:
		l.releasedIDs[e.ClaimID] = true
		if held != nil && held.claimID == e.ClaimID && held.State != StateDone {
			delete(l.claims, e.key())
		}
	case OpResult:
		if held != nil && held.claimID == e.ClaimID {
			held.State, held.Result = StateDone, *e.Result
		}
	}
}

// Decide returns the record that answers an operation. If needsAppend is true, the
// operation has not taken effect yet: its entry has to be appended to the log, after
// which the caller calls Decide again.
func (l *Log) Decide(now time.Time, e Entry) (r Record, needsAppend bool, err error) {
	held := l.claims[e.key()]
	if held != nil && !now.Before(held.ClaimedAt.Add(l.expiry)) {
		held = nil
	}
	own := held != nil && held.claimID == e.ClaimID
	switch e.Op {
	case OpClaim:
		return l.decideClaim(held, own, e)
	case OpRelease:
		if own && held.State == StateDone {
			return Record{}, false, ErrDone
		}
		return Record{State: StateReleased}, !l.releasedIDs[e.ClaimID], nil
	case OpResult:
		if !own {
			return Record{}, false, ErrNotHeld
		}
		return held.Record, held.State != StateDone, nil
	}
	return Record{}, false, eris.Errorf("operation %q is not accepted", e.Op)
}

// decideClaim decides on a claim operation. A released claim ID is never
// granted again, because a delayed duplicate of the claim may arrive after its
// release.
func (l *Log) decideClaim(held *heldClaim, own bool, e Entry) (Record, bool, error) {
	switch {
	case l.releasedIDs[e.ClaimID]:
		return Record{State: StateReleased}, false, nil
	case held == nil:
		return Record{}, true, nil
	case own && held.State == StateHeld:
		r := held.Record
		r.State = StateClaimed
		return r, false, nil
	}
	return held.Record, false, nil
}

// ChunkWrite is a compare-and-swap of one chunk. Version is the expected current
// version, or 0 if the chunk must not exist yet.
type ChunkWrite struct {
	Key     string
	Version int64
	Value   []byte
	chunk   Chunk
}

// PlanWrite returns a write that appends the entries in order to the tail chunk, at
// most one per key. If an entry does not fit, the chunk is sealed and the remaining
// entries are left out. PlanWrite returns false if there is nothing to write.
func (l *Log) PlanWrite(entries []Entry) (ChunkWrite, bool, error) {
	c := l.chunks[l.tail]
	next := Chunk{Format: formatVersion, Partition: l.partition, Number: l.tail}
	next.Entries = append(next.Entries, c.Entries...)
	size, err := encodedSize(next)
	if err != nil {
		return ChunkWrite{}, false, err
	}
	included := map[Key]bool{}
	for _, e := range entries {
		if included[e.key()] {
			continue
		}
		included[e.key()] = true
		entrySize, err := encodedSize(e)
		if err != nil {
			return ChunkWrite{}, false, err
		}
		if size+entrySize+1 > MaxChunkBytes {
			next.Sealed = true
			break
		}
		size += entrySize + 1
		next.Entries = append(next.Entries, e)
	}
	if len(included) == 0 {
		return ChunkWrite{}, false, nil
	}
	value, err := next.encode()
	if err != nil {
		return ChunkWrite{}, false, eris.Wrap(err, "encode claims")
	}
	return ChunkWrite{Key: ChunkKey(l.partition, l.tail), Version: l.versions[l.tail], Value: value, chunk: next}, true, nil
}

// Commit applies a write that the store has accepted.
func (l *Log) Commit(w ChunkWrite, version int64) error { return l.Load(w.chunk, version) }

// ExpiredChunk identifies a chunk that may be deleted from the store.
type ExpiredChunk struct {
	Key     string
	Version int64
}

// Expire removes sealed chunks whose entries have all been expired for longer than
// clockMargin, and returns them for deletion from the store. The newest stored chunk
// is always kept, because it marks where the log continues.
func (l *Log) Expire(now time.Time) []ExpiredChunk {
	newest := l.tail
	if l.versions[l.tail] == 0 {
		newest--
	}
	var expired []ExpiredChunk
	for number, c := range l.chunks {
		if number < newest && c.Sealed && now.After(c.latestEntryTime().Add(l.expiry+clockMargin)) {
			expired = append(expired, ExpiredChunk{ChunkKey(l.partition, number), l.versions[number]})
			delete(l.chunks, number)
			delete(l.versions, number)
			for _, e := range c.Entries {
				l.removeEntry(now, e)
			}
		}
	}
	return expired
}

func (l *Log) removeEntry(now time.Time, e Entry) {
	if e.Op == OpRelease {
		delete(l.releasedIDs, e.ClaimID)
	}
	if held := l.claims[e.key()]; held != nil && !now.Before(held.ClaimedAt.Add(l.expiry)) {
		delete(l.claims, e.key())
	}
}
