package claim

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/invariant"
)

// Errors of operations on a claim.
var (
	ErrNotHeld = errors.New("claim: the key is not held by this claim")
	ErrDone    = errors.New("claim: the call has a recorded result")
)

// clockMargin is added to the expiry before a chunk is deleted, for the
// difference between the clocks of the appenders.
const clockMargin = time.Hour

// holding is the latest claim of a key.
type holding struct {
	Record
	claimID string
}

// Log is one appender's copy of a partition. The caller reads and writes the
// store; the log decides what a key's state is and what to write. It is not
// safe for concurrent use.
type Log struct {
	partition  int
	expiry     time.Duration
	invariants *invariant.Registry
	// chunks and versions hold what was read; tail is the number of the chunk
	// that takes entries, which has version 0 until it is created.
	chunks   map[int]Chunk
	versions map[int]int64
	tail     int
	index    map[Key]*holding
	released map[string]bool
}

// NewLog returns an empty copy of a partition.
func NewLog(partition int, expiry time.Duration, invariants *invariant.Registry) *Log {
	l := &Log{partition: partition, expiry: expiry, invariants: invariants}
	l.Reset()
	return l
}

// Reset forgets everything; the partition has to be read again.
func (l *Log) Reset() {
	l.chunks, l.versions, l.tail = map[int]Chunk{}, map[int]int64{}, 0
	l.index, l.released = map[Key]*holding{}, map[string]bool{}
}

// Tail returns the number and version of the chunk that takes entries.
func (l *Log) Tail() (number int, version int64) { return l.tail, l.versions[l.tail] }

// Load takes a chunk read from the store; chunks are loaded in ascending order.
// It fails if the chunk does not continue what was read before.
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

// apply adds one entry to the index. Entries of claims whose chunk has expired
// are ignored.
func (l *Log) apply(e Entry) {
	held := l.index[e.key()]
	switch e.Op {
	case OpClaim:
		live := held != nil && held.claimID != e.ClaimID && e.time().Before(held.ClaimedAt.Add(l.expiry))
		if !l.invariants.Check(!live, invariant.AtMostOnce, "claim %q was appended while %v holds the key", e.ClaimID, held) {
			return
		}
		l.index[e.key()] = &holding{claimID: e.ClaimID, Record: Record{State: StateHeld, Holder: e.Holder, ClaimedAt: e.time(), BodyHash: e.BodyHash}}
	case OpRelease:
		l.released[e.ClaimID] = true
		if held != nil && held.claimID == e.ClaimID && held.State != StateDone {
			delete(l.index, e.key())
		}
	case OpResult:
		if held != nil && held.claimID == e.ClaimID {
			held.State, held.Result = StateDone, *e.Result
		}
	}
}

// Decide says what is known of an operation: its record, or that its entry has
// still to be appended.
func (l *Log) Decide(now time.Time, e Entry) (r Record, appendIt bool, err error) {
	held := l.index[e.key()]
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
		return Record{State: StateReleased}, !l.released[e.ClaimID], nil
	case OpResult:
		if !own {
			return Record{}, false, ErrNotHeld
		}
		return held.Record, held.State != StateDone, nil
	}
	return Record{}, false, eris.Errorf("operation %q is not accepted", e.Op)
}

// decideClaim never grants a released identifier again: a delayed copy of the
// claim may arrive after its release.
func (l *Log) decideClaim(held *holding, own bool, e Entry) (Record, bool, error) {
	switch {
	case l.released[e.ClaimID]:
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

// ChunkWrite is one compare-and-swap of a chunk.
type ChunkWrite struct {
	Key     string
	Version int64
	Value   []byte
	chunk   Chunk
}

// PlanWrite puts as many entries as fit, in order and at most one a key, into the
// write of the last chunk, and seals it if an entry did not fit. It returns
// false if there is nothing to write.
func (l *Log) PlanWrite(entries []Entry) (ChunkWrite, bool, error) {
	c := l.chunks[l.tail]
	next := Chunk{Format: formatVersion, Partition: l.partition, Number: l.tail}
	next.Entries = append(next.Entries, c.Entries...)
	size, err := encodedBytes(next)
	if err != nil {
		return ChunkWrite{}, false, err
	}
	used := map[Key]bool{}
	for _, e := range entries {
		if used[e.key()] {
			continue
		}
		used[e.key()] = true
		more, err := encodedBytes(e)
		if err != nil {
			return ChunkWrite{}, false, err
		}
		if size+more+1 > MaxChunkBytes {
			next.Sealed = true
			break
		}
		size += more + 1
		next.Entries = append(next.Entries, e)
	}
	if len(used) == 0 {
		return ChunkWrite{}, false, nil
	}
	value, err := next.encode()
	if err != nil {
		return ChunkWrite{}, false, eris.Wrap(err, "encode claims")
	}
	return ChunkWrite{Key: ChunkKey(l.partition, l.tail), Version: l.versions[l.tail], Value: value, chunk: next}, true, nil
}

// Commit takes a write that the store has accepted.
func (l *Log) Commit(w ChunkWrite, version int64) error { return l.Load(w.chunk, version) }

// ExpiredChunk is a chunk that may be deleted.
type ExpiredChunk struct {
	Key     string
	Version int64
}

// Expire forgets sealed chunks whose entries have all expired. The newest
// chunk of the store always stays: it tells where the chain continues.
func (l *Log) Expire(now time.Time) []ExpiredChunk {
	newest := l.tail
	if l.versions[l.tail] == 0 {
		newest--
	}
	var retired []ExpiredChunk
	for number, c := range l.chunks {
		if number < newest && c.Sealed && now.After(c.newest().Add(l.expiry+clockMargin)) {
			retired = append(retired, ExpiredChunk{ChunkKey(l.partition, number), l.versions[number]})
			delete(l.chunks, number)
			delete(l.versions, number)
			for _, e := range c.Entries {
				l.forget(now, e)
			}
		}
	}
	return retired
}

func (l *Log) forget(now time.Time, e Entry) {
	if e.Op == OpRelease {
		delete(l.released, e.ClaimID)
	}
	if held := l.index[e.key()]; held != nil && !now.Before(held.ClaimedAt.Add(l.expiry)) {
		delete(l.index, e.key())
	}
}
