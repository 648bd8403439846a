package inflight

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"
)

const (
	// entryBytes is the size of an entry: the ShortID of the replica and the value in KiB,
	// rounded up, both with 4 bytes.
	entryBytes = 8
	unit       = 1024
	// changeRepeats is how often a changed value is reported at once, so that the loss of one
	// report does not matter.
	changeRepeats = 2
	// rotationInterval is the shortest time between two reports that also have entries that
	// have not changed.
	rotationInterval = 400 * time.Millisecond
)

// rotation is the state of the entries that are reported in turn.
type rotation struct {
	lastAt time.Duration
	// next is the replica at which the next report continues.
	next uint32
}

// Append appends the entries of the next report, at most maxBytes: those that have changed, the
// latest first, and from time to time the others in turn.
func (t *Tracker) Append(now time.Duration, data []byte, maxBytes int) []byte {
	t.expire(now)
	limit := len(data) + maxBytes/entryBytes*entryBytes
	var changed []uint32
	for replica, e := range t.own {
		if e.timesSent < changeRepeats {
			changed = append(changed, replica)
		}
	}
	slices.SortFunc(changed, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(t.own[b].changedAt, t.own[a].changedAt), cmp.Compare(a, b))
	})
	for _, replica := range changed {
		if len(data) == limit {
			return data
		}
		data = t.appendEntry(data, replica)
		t.own[replica].timesSent++
	}
	if now-t.rotation.lastAt < rotationInterval {
		return data
	}
	t.rotation.lastAt = now
	others := slices.Sorted(maps.Keys(t.own))
	start, _ := slices.BinarySearch(others, t.rotation.next)
	for i := range others {
		replica := others[(start+i)%len(others)]
		if slices.Contains(changed, replica) {
			continue
		}
		if len(data) == limit {
			t.rotation.next = replica
			return data
		}
		data = t.appendEntry(data, replica)
	}
	return data
}

func (t *Tracker) appendEntry(data []byte, replica uint32) []byte {
	data = binary.BigEndian.AppendUint32(data, replica)
	return binary.BigEndian.AppendUint32(data, uint32((t.own[replica].bytes+unit-1)/unit))
}

var errLength = errors.New("the length is no multiple of that of an entry")

// Merge applies the entries of another host's report.
func (t *Tracker) Merge(now time.Duration, host string, data []byte) error {
	if len(data)%entryBytes != 0 {
		return errLength
	}
	for ; len(data) > 0; data = data[entryBytes:] {
		value := int64(binary.BigEndian.Uint32(data[4:])) * unit
		t.setPeer(host, binary.BigEndian.Uint32(data), peerEntry{bytes: value, at: now})
	}
	return nil
}
