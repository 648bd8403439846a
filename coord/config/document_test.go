package config

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskinstand.example/coord/invariant"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func zoneEdit(zone, state string) RowEdit {
	e := RowEdit{RowID: RowID{TablePools, "zone " + zone}}
	if state != "" {
		e.Text = "state = " + state + "\n"
	}
	return e
}

func drawZoneEdits(t *rapid.T) []RowEdit {
	byZone := map[string]RowEdit{}
	for range rapid.IntRange(1, 4).Draw(t, "rows") {
		zone := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "zone")
		byZone[zone] = zoneEdit(zone, rapid.SampledFrom([]string{"in", "out", ""}).Draw(t, "state"))
	}
	var rows []RowEdit
	for _, r := range byZone {
		rows = append(rows, r)
	}
	sortRows(rows)
	return rows
}

func assertSameRows(t interface {
	Helper()
	Fatalf(string, ...any)
}, want, got *Document) {
	t.Helper()
	if diff := cmp.Diff(want.Rows(), got.Rows()); diff != "" || want.Revision() != got.Revision() {
		t.Fatalf("documents of revision %d and %d differ (-want +got):\n%s", want.Revision(), got.Revision(), diff)
	}
}

// Guards against a process that follows peers' changes and ends up with different
// rows at a revision than a process that read it from the store. The follower
// skips an arbitrary number of revisions between updates.
func TestPeerChangesMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := invariant.NewRegistry(nil)
		reader, follower := NewActive(registry), NewActive(registry)
		head, shards := EmptyHead(), map[string][]byte{}
		for i := range rapid.IntRange(1, 12).Draw(t, "edits") {
			doc := assemble(t, head, shards)
			plan, err := PlanEdit(head, doc, Edit{ID: fmt.Sprint(i), Author: "a", Base: head.Revision, Rows: drawZoneEdits(t)})
			if err != nil {
				t.Fatal(err)
			}
			for digest, value := range plan.Shards {
				shards[digest] = value
			}
			for _, digest := range plan.ObsoleteShards {
				delete(shards, digest)
			}
			head = roundTrip(t, plan.Head)
			if rapid.Bool().Draw(t, "read") {
				reader.ActivateIfNewer(assemble(t, head, shards))
			}
			if rapid.Bool().Draw(t, "follow") {
				catchUp(t, follower, reader)
			}
		}
		reader.ActivateIfNewer(assemble(t, head, shards))
		catchUp(t, follower, reader)
		assertSameRows(t, assemble(t, head, shards), follower.Document())
	})
}

func catchUp(t *rapid.T, follower, reader *Active) {
	changes, ok := reader.ChangesSince(follower.Current().Revision)
	if !ok {
		follower.ActivateIfNewer(reader.Document())
		return
	}
	if _, err := follower.Apply(changes); err != nil {
		t.Fatal(err)
	}
}

func assemble(t *rapid.T, h Head, shards map[string][]byte) *Document {
	if h.Revision == 0 {
		return EmptyDocument()
	}
	d, err := Assemble(EmptyDocument(), h, func(ref ShardRef) ([]RowEdit, error) {
		if value, ok := shards[ref.Digest]; ok {
			return DecodeShard(value, ref)
		}
		return nil, errors.New("no shard " + ref.Digest)
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func roundTrip(t *rapid.T, h Head) Head {
	data, err := h.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeHead(data)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// Guards against a process that returns to an older revision. ActivateIfNewer ignores
// older and equal revisions, so the invariant check in publish is reached here by
// calling publish directly.
func TestRevisionNeverDecreases(t *testing.T) {
	registry := invariant.NewRegistry(nil)
	active := NewActive(registry)
	doc := func(revision uint64) *Document {
		d, err := NewDocument(revision, 0, nil)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	active.ActivateIfNewer(doc(5))
	if active.ActivateIfNewer(doc(4)) || active.ActivateIfNewer(doc(5)) || registry.Total() != 0 {
		t.Fatal("an older or equal revision changed the configuration")
	}
	if active.publish(doc(3)) || registry.Count(invariant.ConfigMonotonic) != 1 || active.Current().Revision != 5 {
		t.Fatal("publishing an older revision was not counted as a violation, or took effect")
	}
}

// Guards against a wrong outcome for an edit whose response was lost, for example
// OutcomeNotAccepted for an accepted change that the head no longer lists.
func TestResolve(t *testing.T) {
	h := EmptyHead()
	h.Revision = 9
	h.Changes = []HeadChange{{Revision: 8, ID: "x"}, {Revision: 9, ID: "y", Author: "ann"}}
	for name, tc := range map[string]struct {
		edit Edit
		want Outcome
	}{
		"found":           {Edit{ID: "x", Base: 7}, OutcomeAccepted},
		"head unchanged":  {Edit{ID: "z", Base: 9}, OutcomeRetry},
		"other change":    {Edit{ID: "z", Base: 8}, OutcomeNotAccepted},
		"history too old": {Edit{ID: "z", Base: 5}, OutcomeUnknown},
		"older store":     {Edit{ID: "z", Base: 12}, OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := h.Resolve(tc.edit)
			if got != tc.want || (got == OutcomeNotAccepted) != (err != nil) {
				t.Errorf("Resolve = %s, %v, want %s", got, err, tc.want)
			}
		})
	}
}

// Guards against a head that exceeds the store's value limit after many large
// edits.
func TestHeadSize(t *testing.T) {
	h := EmptyHead()
	for r := uint64(1); r <= 400; r++ {
		c := HeadChange{Revision: r, ID: fmt.Sprint(r)}
		for i := range maxChangeRows {
			c.Rows = append(c.Rows, RowID{TableRoutes, fmt.Sprintf("account customer-%d", i)})
		}
		h.Revision, h.Changes = r, append(h.Changes, c)
	}
	data, err := h.Encode()
	if err != nil || len(data) > maxHeadBytes {
		t.Fatalf("Encode = %d bytes, %v, want at most maxHeadBytes", len(data), err)
	}
	if _, err := DecodeHead(data); err != nil {
		t.Fatal(err)
	}
}

// Guards against rows that are lost or altered when the operators' files are
// split into rows and rendered again.
func TestSplitAndRender(t *testing.T) {
	var rows []RowEdit
	for table, f := range map[Table]File{TableRoutes: {"r", []byte(validRoutes)}, TablePools: {"p", []byte(validPools + "[zone empty]\n")}} {
		part, err := SplitRows(table, f)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, part...)
	}
	d, err := NewDocument(3, 0, rows)
	if err != nil {
		t.Fatal(err)
	}
	for _, table := range TableNames() {
		if edits, err := d.DiffFile(table, d.RenderFile(table)); err != nil || len(edits) != 0 {
			t.Errorf("%s: the rendered table differs from the document: %v, %v", table, edits, err)
		}
	}
	if s := d.Slice("quotes", "zilina-b", "h4"); !s.ZoneOut || !s.HostLeaving || s.Pool.Model != "linen-7b" {
		t.Errorf("Slice = %+v, want model linen-7b, the zone out and the host leaving", s)
	}
}

// Guards against a sidecar that misses a change of its slice, including the
// deletion of a row.
func TestSliceRevision(t *testing.T) {
	d := EmptyDocument()
	for i, tc := range []struct {
		row  RowEdit
		want uint64
	}{{zoneEdit("a", "out"), 1}, {zoneEdit("b", "out"), 1}, {zoneEdit("a", "in"), 3}, {zoneEdit("a", ""), 4}} {
		next, err := d.Apply(Change{Revision: uint64(i + 1), Base: uint64(i), Rows: []RowEdit{tc.row}})
		if err != nil {
			t.Fatal(err)
		}
		d = next
		if got := d.Slice("p", "a", "h").ChangedRevision; got != tc.want {
			t.Errorf("revision %d: slice changed at %d, want %d", i+1, got, tc.want)
		}
	}
}

func FuzzDecodeHead(f *testing.F) {
	h := EmptyHead()
	h.Revision, h.Changes = 1, []HeadChange{{Revision: 1, ID: "x"}}
	data, _ := h.Encode()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := DecodeHead(data)
		if err != nil {
			return
		}
		again, err := h.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeHead(again); err != nil {
			t.Fatalf("the encoding of a decoded head is rejected: %v", err)
		}
	})
}

func FuzzDecodeShard(f *testing.F) {
	f.Add([]byte(`{"format":1,"table":"pools","change_id":"x","rows":[{"section":"zone a","text":"state = in\n","revision":1}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		rows, err := DecodeShard(data, ShardRef{TablePools, ShardIndex("zone a"), ShardDigest(data)})
		if err == nil {
			_, _ = NewDocument(1, 0, rows)
		}
	})
}

func FuzzApplyRow(f *testing.F) {
	f.Add("zone a", "state = in\n")
	f.Add("zone a]\n[zone b", "")
	f.Fuzz(func(t *testing.T, section, text string) {
		d, err := EmptyDocument().Apply(Change{Revision: 1, Rows: []RowEdit{{RowID: RowID{TablePools, section}, Text: text}}})
		if err != nil || text == "" {
			return
		}
		if len(d.Rows()) != 1 {
			t.Fatalf("one row was parsed as %d rows", len(d.Rows()))
		}
		if _, err := Parse(d.RenderFile(TableRoutes), d.RenderFile(TablePools)); err != nil {
			t.Fatalf("an accepted row is rejected after rendering: %v", err)
		}
	})
}

func accountRows(b *testing.B) []RowEdit {
	b.Helper()
	var rows []RowEdit
	for i := range 15_000 {
		rows = append(rows, RowEdit{
			RowID: RowID{TableRoutes, fmt.Sprintf("account customer-%d", i)},
			Text:  fmt.Sprintf("token_sha256 = %064x\nweight = 2\n", i+1),
		})
	}
	return rows
}

func BenchmarkApply15000Accounts(b *testing.B) {
	d, err := NewDocument(1, 0, accountRows(b))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := d.Apply(Change{Revision: 2, Base: 1, Rows: []RowEdit{zoneEdit("a", "out")}}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReload15000Accounts measures how long a zone's configuration reader takes
// for an edit when it cannot update its document incrementally.
func BenchmarkReload15000Accounts(b *testing.B) {
	rows := accountRows(b)
	for name, previous := range map[string]func() *Document{
		"from nothing": EmptyDocument,
		"from previous": func() *Document {
			d, err := NewDocument(1, 0, rows)
			if err != nil {
				b.Fatal(err)
			}
			return d
		},
	} {
		d := previous()
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := newDocument(d, 2, 0, rows); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
