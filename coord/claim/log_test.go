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

func keyOf(n int) Key {
	k := NewKey("a", "r", fmt.Sprint(n))
	k[0] = 0 // All keys of the tests share partition 0.
	return k
}

func entry(op Op, key int, id string, at time.Time) Entry {
	k := keyOf(key)
	e := Entry{Op: op, Key: k[:], ClaimID: id, Holder: "p", UnixMS: at.UnixMilli()}
	if op == OpResult {
		e.Result = &Result{HTTPStatus: 200, Body: []byte(id)}
	}
	return e
}

// chain is the store's side of one partition.
type chain struct {
	values   map[string][]byte
	versions map[string]int64
	next     int64
}

func (c *chain) swap(w ChunkWrite) (int64, bool) {
	if c.versions[w.Key] != w.Version {
		return 0, false
	}
	c.next++
	c.values[w.Key], c.versions[w.Key] = w.Value, c.next
	return c.next, true
}

// refresh reads the last chunk and those after it.
func (c *chain) refresh(t *rapid.T, l *Log) {
	for {
		number, version := l.Tail()
		key := ChunkKey(0, number)
		if c.versions[key] == 0 || c.versions[key] == version {
			return
		}
		chunk, err := DecodeChunk(c.values[key], 0, number)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Load(chunk, c.versions[key]); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against two claims of one key that both run, over any interleaving of
// appenders' reads and writes with lost and delayed writes and crashes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := invariant.NewRegistry(nil)
		store := &chain{values: map[string][]byte{}, versions: map[string]int64{}}
		logs := []*Log{}
		for range 3 {
			logs = append(logs, NewLog(0, DefaultExpiry, registry))
		}
		running := map[Key]string{}
		var delayed []ChunkWrite
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, 2).Draw(t, "appender")
			l := logs[n]
			switch rapid.SampledFrom([]string{"refresh", "append", "append", "append", "crash", "late"}).Draw(t, "step") {
			case "refresh":
				store.refresh(t, l)
			case "crash":
				logs[n] = NewLog(0, DefaultExpiry, registry)
			case "late":
				if len(delayed) > 0 {
					store.swap(delayed[0])
					delayed = delayed[1:]
				}
			case "append":
				e := entry(OpClaim, rapid.IntRange(0, 3).Draw(t, "key"), fmt.Sprintf("c%d", i), start)
				if _, appendIt, _ := l.Decide(start, e); !appendIt {
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
				if _, ok := store.swap(w); !ok {
					continue
				}
				store.refresh(t, l)
				if r, _, _ := l.Decide(start, e); r.State == StateClaimed {
					if other, ok := running[e.key()]; ok {
						t.Fatalf("claims %s and %s of one key both run", other, e.ClaimID)
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

// Violates at_most_once on purpose: a chunk with two claims of one key.
func TestViolationIsCounted(t *testing.T) {
	registry := invariant.NewRegistry(nil)
	l := NewLog(0, DefaultExpiry, registry)
	c := Chunk{Format: 1, Entries: []Entry{entry(OpClaim, 1, "a", start), entry(OpClaim, 1, "b", start)}}
	if err := l.Load(c, 1); err != nil {
		t.Fatal(err)
	}
	if r, _, _ := l.Decide(start, entry(OpClaim, 1, "b", start)); registry.Count(invariant.AtMostOnce) != 1 || r.State != StateHeld {
		t.Errorf("violations %d, second claim %s, want 1, held", registry.Count(invariant.AtMostOnce), r.State)
	}
}

func (l *Log) write(t *testing.T, entries ...Entry) {
	t.Helper()
	for len(entries) > 0 {
		w, _, err := l.PlanWrite(entries)
		if err != nil {
			t.Fatal(err)
		}
		if len(w.Value) > MaxChunkBytes {
			t.Fatalf("chunk of %d bytes", len(w.Value))
		}
		added := len(w.chunk.Entries) - len(l.chunks[l.tail].Entries)
		if err := l.Commit(w, w.Version+1); err != nil {
			t.Fatal(err)
		}
		entries = entries[added:]
	}
}

// Guards against wrong answers to the second request with a key.
func TestDecide(t *testing.T) {
	l := NewLog(0, DefaultExpiry, nil)
	l.write(t, entry(OpClaim, 1, "held", start), entry(OpClaim, 2, "done", start), entry(OpClaim, 3, "released", start))
	l.write(t, entry(OpResult, 2, "done", start), entry(OpRelease, 3, "released", start))
	tomorrow := start.Add(DefaultExpiry)
	for name, tc := range map[string]struct {
		entry    Entry
		now      time.Time
		want     State
		appendIt bool
		err      error
	}{
		"own claim again":      {entry(OpClaim, 1, "held", start), start, StateClaimed, false, nil},
		"held by another":      {entry(OpClaim, 1, "x", start), start, StateHeld, false, nil},
		"done":                 {entry(OpClaim, 2, "x", start), start, StateDone, false, nil},
		"own claim done":       {entry(OpClaim, 2, "done", start), start, StateDone, false, nil},
		"free after release":   {entry(OpClaim, 3, "x", start), start, "", true, nil},
		"late copy of release": {entry(OpClaim, 3, "released", start), start, StateReleased, false, nil},
		"release after result": {entry(OpRelease, 2, "done", start), start, "", false, ErrDone},
		"result of another":    {entry(OpResult, 1, "x", start), start, "", false, ErrNotHeld},
		"expired":              {entry(OpClaim, 1, "x", tomorrow), tomorrow, "", true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r, appendIt, err := l.Decide(tc.now, tc.entry)
			if r.State != tc.want || appendIt != tc.appendIt || err != tc.err { //nolint:errorlint // the sentinel itself
				t.Errorf("Decide = %q, %t, %v", r.State, appendIt, err)
			}
		})
	}
}

// Guards against chunks over the bound, and against a chain that loses its
// position when all of its claims expire.
func TestChunksAndExpiry(t *testing.T) {
	l := NewLog(0, DefaultExpiry, nil)
	var entries []Entry
	for i := range 2_000 {
		entries = append(entries, entry(OpClaim, i, fmt.Sprintf("c%d", i), start))
	}
	l.write(t, entries...)
	tail, _ := l.Tail()
	if tail < 3 {
		t.Fatalf("2,000 claims ended in chunk %d", tail)
	}
	if retired := l.Expire(start.Add(DefaultExpiry)); len(retired) != 0 {
		t.Errorf("%d chunks retired without the clock margin", len(retired))
	}
	retired := l.Expire(start.Add(DefaultExpiry + 2*clockMargin))
	if after, version := l.Tail(); len(retired) != tail || after != tail || version == 0 || len(l.index) != len(l.chunks[tail].Entries) {
		t.Errorf("%d chunks retired, tail %d of version %d, %d keys", len(retired), after, version, len(l.index))
	}
}

// Guards against all partitions preferring one process.
func TestPreferred(t *testing.T) {
	wins := map[string]int{}
	for p := range PartitionCount {
		wins[PreferredAppender(p, []string{"a", "b", "c", "d"})]++
	}
	if len(wins) != 4 || PreferredAppender(3, []string{"a", "b"}) != PreferredAppender(3, []string{"b", "a"}) {
		t.Errorf("partitions by process: %v", wins)
	}
}

func FuzzDecodeChunk(f *testing.F) {
	data, _ := Chunk{Format: 1, Entries: []Entry{entry(OpClaim, 1, "a", start), entry(OpResult, 1, "a", start)}}.encode()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeChunk(data, 0, 0)
		if err != nil {
			return
		}
		again, err := c.encode()
		if err != nil {
			t.Fatal(err)
		}
		reread, err := DecodeChunk(again, 0, 0)
		if err != nil {
			t.Fatalf("the encoding of an accepted chunk is refused: %v", err)
		}
		if twice, _ := reread.encode(); !bytes.Equal(again, twice) {
			t.Fatal("the encoding is not stable")
		}
		_ = NewLog(0, DefaultExpiry, nil).Load(c, 1)
	})
}
