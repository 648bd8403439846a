package config

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// drawEdit changes any kind of row, also in ways that a table refuses: tokens
// taken twice, accounts that a route needs, and keys that do not exist.
func drawEdit(t *rapid.T) RowEdit {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	token := func() string {
		return fmt.Sprintf("%064d", rapid.IntRange(1, 4).Draw(t, "token"))
	}
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return RowEdit{RowID: RowID{TablePools, "zone " + name}, Text: rapid.SampledFrom([]string{"state = in\n", "state = out\n", ""}).Draw(t, "zone")}
	case 1:
		return RowEdit{RowID: RowID{TablePools, "host " + name}, Text: rapid.SampledFrom([]string{"state = leaving\n", "stat = in\n", ""}).Draw(t, "host")}
	case 2:
		return RowEdit{RowID: RowID{TablePools, "pool p"}, Text: "kind = model\nservice = s\nmodel = m\n"}
	case 3:
		return RowEdit{RowID: RowID{TableRoutes, "route " + name}, Text: fmt.Sprintf("accounts = %s\nmodel = m\npool = p\n", name)}
	case 4:
		return RowEdit{RowID: RowID{TableRoutes, "account " + name}}
	}
	text := fmt.Sprintf("token_sha256 = %s, %s\nweight = %d\n", token(), token(), rapid.IntRange(0, 3).Draw(t, "weight"))
	return RowEdit{RowID: RowID{TableRoutes, "account " + name}, Text: text}
}

// Guards against a partial rebuild that accepts what a full one refuses, or
// that leaves out a change or keeps the token of an earlier one.
func TestPartialRebuildEqualsFull(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		d := EmptyDocument()
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			rows := rapid.SliceOfN(rapid.Custom(drawEdit), 1, 3).Draw(t, "rows")
			change := Change{Revision: d.Revision() + 1, Base: d.Revision(), ID: "c", Rows: rows}
			next, err := d.Apply(change)
			raw := &Document{revision: d.revision, deleted: d.deleted, rows: map[RowID]row{}}
			for id, r := range d.rows {
				raw.rows[id] = r
			}
			if applyErr := raw.applyOne(change); applyErr != nil {
				continue
			}
			// The files hold all rows, so that every one is parsed and checked.
			full, fullErr := Parse(raw.RenderFile(TableRoutes), raw.RenderFile(TablePools))
			if (err == nil) != (fullErr == nil) {
				t.Fatalf("partial: %v, full: %v, rows %+v", err, fullErr, rows)
			}
			if err != nil {
				continue
			}
			if !reflect.DeepEqual(next.tables, full) {
				t.Fatalf("after %+v: got %+v, want %+v", rows, next.tables, full)
			}
			if diff := cmp.Diff(Diff(d, next), next.editsFrom(d)); diff != "" {
				t.Fatal(diff)
			}
			accepted++
			d = next
		}
	})
	if accepted < 200 {
		t.Errorf("only %d changes were accepted, so the check shows little", accepted)
	}
}

// Guards against a reader whose document, made of the changed shards alone,
// differs from the store's: a row left over, or a wrong revision of a deletion.
func TestAssembleNextEqualsFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head, document, shards := EmptyHead(), EmptyDocument(), map[string][]byte{}
		get := func(ref ShardRef) ([]RowEdit, error) { return DecodeShard(shards[ref.Digest], ref) }
		followed, earlier := document, head
		for i := range rapid.IntRange(1, 12).Draw(t, "edits") {
			e := Edit{ID: fmt.Sprint(i), Author: "a", Base: head.Revision, Rows: rapid.SliceOfN(rapid.Custom(drawEdit), 1, 3).Draw(t, "rows")}
			plan, err := PlanEdit(head, document, e)
			if err != nil {
				continue
			}
			for digest, value := range plan.Shards {
				shards[digest] = value
			}
			head = plan.Head
			if document, err = Assemble(EmptyDocument(), head, get); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "missed") {
				continue
			}
			next, err := AssembleIncremental(followed, earlier, head, get)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(document.Rows(), next.Rows()); diff != "" || next.DeletedRevision() != document.DeletedRevision() || !reflect.DeepEqual(next.tables, document.tables) {
				t.Fatalf("deleted %d, want %d: %s", next.DeletedRevision(), document.DeletedRevision(), diff)
			}
			followed, earlier = next, head
		}
	})
}
