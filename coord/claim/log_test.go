package claim

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskinstand.example/coord/invariant"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1_700_000_000, 0)

func testKey(n int) Key {
	k := NewKey("a", "r", fmt.Sprint(n))
	k[0] = 0 // Places all test keys in partition 0.
	return k
}

func newEntry(op Op, key int, id string, at time.Time) Entry {
	k := testKey(key)
	e := Entry{Op: op, Key: k[:], ClaimID: id, Holder: "p", UnixMS: at.UnixMilli()}
	if op == OpResult {
		e.Result = &Result{HTTPStatus: 200, Body: []byte(id)}
	}
	return e
}

// fakeStore holds the stored chunks of one partition.
type fakeStore struct {
	values      map[string][]byte
	versions    map[string]int64
	lastVersion int64
}

func (s *fakeStore) compareAndSwap(w ChunkWrite) (int64, bool) {
	if s.versions[w.Key] != w.Version {
		return 0, false
	}
	s.lastVersion++
	s.values[w.Key], s.versions[w.Key] = w.Value, s.lastVersion
	return s.lastVersion, true
}

// refresh loads the tail chunk and all chunks after it into the log.
func (s *fakeStore) refresh(t *rapid.T, l *Log) {
	for {
		number, version := l.Tail()
		key := ChunkKey(0, number)
		if s.versions[key] == 0 || s.versions[key] == version {
			return
		}
		chunk, err := DecodeChunk(s.values[key], 0, number)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Load(chunk, s.versions[key]); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against two calls with the same key that both run. Three appenders read and
// write in any order, with lost and delayed writes and crashes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := invariant.NewRegistry(nil)
		store := &fakeStore{values: map[string][]byte{}, versions: map[string]int64{}}
		logs := []*Log{}
		for range 3 {
			logs = append(logs, NewLog(0, DefaultExpiry, registry))
		}
		running := map[Key]string{}
		var delayed []ChunkWrite
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, 2).Draw(t, "appender")
			l := logs[n]
			switch rapid.SampledFrom([]string{"refresh", "append", "append", "append", "crash", "delayed write"}).Draw(t, "step") {
			case "refresh":
				store.refresh(t, l)
			case "crash":
				logs[n] = NewLog(0, DefaultExpiry, registry)
			case "delayed write":
				if len(delayed) > 0 {
					store.compareAndSwap(delayed[0])
					delayed = delayed[1:]
				}
			case "append":
				e := newEntry(OpClaim, rapid.IntRange(0, 3).Draw(t, "key"), fmt.Sprintf("c%d", i), start)
				if _, needsAppend, _ := l.Decide(start, e); !needsAppend {
					continue
				}
				w, _, err := l.PlanWrite([]Entry{e})
				if err != nil {
					t.Fatal(err)
				}
				if rapid.Bool().Draw(t, "delayed") {
					delayed = append(delayed, w)
					continue
				}
				if _, ok := store.compareAndSwap(w); !ok {
					continue
				}
				store.refresh(t, l)
				if r, _, _ := l.Decide(start, e); r.State == StateClaimed {
					if other, ok := running[e.key()]; ok {
						t.Fatalf("claims %s and %s of the same key both run", other, e.ClaimID)
					}
					running[e.key()] = e.ClaimID
				}
			}
		}
		if registry.Total() != 0 {
			t.Fatal(registry.LastMessage(invariant.AtMostOnce))
		}
	})
}

// Guards against a violation of at_most_once that is not counted. The test loads a
// chunk with two claims of one key.
func TestViolationIsCounted(t *testing.T) {
	registry := invariant.NewRegistry(nil)
	l := NewLog(0, DefaultExpiry, registry)
	c := Chunk{Format: 1, Entries: []Entry{newEntry(OpClaim, 1, "a", start), newEntry(OpClaim, 1, "b", start)}}
	if err := l.Load(c, 1); err != nil {
		t.Fatal(err)
	}
	if r, _, _ := l.Decide(start, newEntry(OpClaim, 1, "b", start)); registry.Count(invariant.AtMostOnce) != 1 || r.State != StateHeld {
		t.Errorf("%d violations, state of the second claim %s, want 1 and held", registry.Count(invariant.AtMostOnce), r.State)
	}
}

func (l *Log) commitAll(t *testing.T, entries ...Entry) {
	t.Helper()
	for len(entries) > 0 {
		w, _, err := l.PlanWrite(entries)
		if err != nil {
			t.Fatal(err)
		}
		if len(w.Value) > MaxChunkBytes {
			t.Fatalf("chunk of %d bytes exceeds the limit", len(w.Value))
		}
		added := len(w.chunk.Entries) - len(l.chunks[l.tail].Entries)
		if err := l.Commit(w, w.Version+1); err != nil {
			t.Fatal(err)
		}
		entries = entries[added:]
	}
}

// Guards against wrong decisions on further operations with a key that is held,
// done, released or expired.
func TestDecide(t *testing.T) {
	l := NewLog(0, DefaultExpiry, nil)
	l.commitAll(t, newEntry(OpClaim, 1, "held", start), newEntry(OpClaim, 2, "done", start), newEntry(OpClaim, 3, "released", start))
	l.commitAll(t, newEntry(OpResult, 2, "done", start), newEntry(OpRelease, 3, "released", start))
	tomorrow := start.Add(DefaultExpiry)
	for name, tc := range map[string]struct {
		entry       Entry
		now         time.Time
		want        State
		needsAppend bool
		err         error
	}{
		"own claim again":      {newEntry(OpClaim, 1, "held", start), start, StateClaimed, false, nil},
		"held by another":      {newEntry(OpClaim, 1, "x", start), start, StateHeld, false, nil},
		"done":                 {newEntry(OpClaim, 2, "x", start), start, StateDone, false, nil},
		"own claim done":       {newEntry(OpClaim, 2, "done", start), start, StateDone, false, nil},
		"free after release":   {newEntry(OpClaim, 3, "x", start), start, "", true, nil},
		"released claim again": {newEntry(OpClaim, 3, "released", start), start, StateReleased, false, nil},
		"release after result": {newEntry(OpRelease, 2, "done", start), start, "", false, ErrDone},
		"result of another":    {newEntry(OpResult, 1, "x", start), start, "", false, ErrNotHeld},
		"expired":              {newEntry(OpClaim, 1, "x", tomorrow), tomorrow, "", true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r, needsAppend, err := l.Decide(tc.now, tc.entry)
			if r.State != tc.want || needsAppend != tc.needsAppend || err != tc.err { //nolint:errorlint // the sentinel itself
				t.Errorf("Decide = %q, %t, %v", r.State, needsAppend, err)
			}
		})
	}
}

// Guards against chunks that exceed MaxChunkBytes, and against a log that loses its
// position because the last chunk is deleted when all claims have expired.
func TestChunksAndExpiry(t *testing.T) {
	l := NewLog(0, DefaultExpiry, nil)
	var entries []Entry
	for i := range 2_000 {
		entries = append(entries, newEntry(OpClaim, i, fmt.Sprintf("c%d", i), start))
	}
	l.commitAll(t, entries...)
	tail, _ := l.Tail()
	if tail < 3 {
		t.Fatalf("2,000 claims fit into chunks 0 to %d, want at least 4 chunks", tail)
	}
	if expired := l.Expire(start.Add(DefaultExpiry)); len(expired) != 0 {
		t.Errorf("%d chunks expired before the end of the clock margin, want 0", len(expired))
	}
	expired := l.Expire(start.Add(DefaultExpiry + 2*clockMargin))
	if after, version := l.Tail(); len(expired) != tail || after != tail || version == 0 || len(l.claims) != len(l.chunks[tail].Entries) {
		t.Errorf("%d chunks expired, tail %d has version %d, %d keys are left; want all but the stored tail expired and only its keys left", len(expired), after, version, len(l.claims))
	}
}

// Guards against all partitions choosing the same process, and against a choice
// that depends on the order of the processes.
func TestPreferredAppender(t *testing.T) {
	wins := map[string]int{}
	for p := range PartitionCount {
		wins[PreferredAppender(p, []string{"a", "b", "c", "d"})]++
	}
	if len(wins) != 4 || PreferredAppender(3, []string{"a", "b"}) != PreferredAppender(3, []string{"b", "a"}) {
		t.Errorf("partitions by process: %v; want some for each of 4, whatever the order of the processes", wins)
	}
}

func FuzzDecodeChunk(f *testing.F) {
	data, _ := Chunk{Format: 1, Entries: []Entry{newEntry(OpClaim, 1, "a", start), newEntry(OpResult, 1, "a", start)}}.encode()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeChunk(data, 0, 0)
		if err != nil {
			return
		}
		encoded, err := c.encode()
		if err != nil {
			t.Fatal(err)
		}
		reread, err := DecodeChunk(encoded, 0, 0)
		if err != nil {
			t.Fatalf("the encoding of a decoded chunk is rejected: %v", err)
		}
		if reencoded, _ := reread.encode(); !bytes.Equal(encoded, reencoded) {
			t.Fatal("the encoding is not stable")
		}
		_ = NewLog(0, DefaultExpiry, nil).Load(c, 1)
	})
}
