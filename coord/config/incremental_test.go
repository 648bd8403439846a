package config

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// drawEdit draws an edit of any kind of row. Some edits are invalid, for example
// because of tokens that belong to another account, deleted accounts that a route
// refers to, and unknown keys.
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

// Guards against an incremental update that accepts edits which a full rebuild
// rejects, omits a change, or keeps a token of a replaced account.
func TestIncrementalUpdateEqualsFull(t *testing.T) {
	acceptedEdits := 0
	rapid.Check(t, func(t *rapid.T) {
		d := EmptyDocument()
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			rows := rapid.SliceOfN(rapid.Custom(drawEdit), 1, 3).Draw(t, "rows")
			change := Change{Revision: d.Revision() + 1, Base: d.Revision(), ID: "c", Rows: rows}
			next, err := d.Apply(change)
			unchecked := &Document{revision: d.revision, deletedRevision: d.deletedRevision, rows: map[RowID]row{}}
			for id, r := range d.rows {
				unchecked.rows[id] = r
			}
			if applyErr := unchecked.applyChange(change); applyErr != nil {
				continue
			}
			// Parsing the rendered files parses and validates every row.
			full, fullErr := Parse(unchecked.RenderFile(TableRoutes), unchecked.RenderFile(TablePools))
			if (err == nil) != (fullErr == nil) {
				t.Fatalf("incremental: %v, full: %v, rows %+v", err, fullErr, rows)
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
			acceptedEdits++
			d = next
		}
	})
	if acceptedEdits < 200 {
		t.Errorf("only %d changes were accepted, want at least 200 for a meaningful comparison", acceptedEdits)
	}
}

// Guards against a reader whose document, updated from the changed shards only,
// differs from the one in the store, for example by a row that was deleted or by
// the revision of the latest deletion.
func TestAssembleIncrementalEqualsFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head, document, shards := EmptyHead(), EmptyDocument(), map[string][]byte{}
		get := func(ref ShardRef) ([]RowEdit, error) { return DecodeShard(shards[ref.Digest], ref) }
		incremental, earlier := document, head
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
			next, err := AssembleIncremental(incremental, earlier, head, get)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(document.Rows(), next.Rows()); diff != "" || next.DeletedRevision() != document.DeletedRevision() || !reflect.DeepEqual(next.tables, document.tables) {
				t.Fatalf("deleted %d, want %d: %s", next.DeletedRevision(), document.DeletedRevision(), diff)
			}
			incremental, earlier = next, head
		}
	})
}
