package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Edit is an operator's request to change rows.
type Edit struct {
	ID     string
	Author string
	// Base is the revision that the operator edited.
	Base uint64
	Time time.Time
	Rows []RowEdit
}

// ConflictError reports that another change was accepted after the base revision
// of an edit.
type ConflictError struct {
	BaseRevision      uint64
	HeadRevision      uint64
	ConflictingChange HeadChange
}

// Error names the conflicting change if there is one. There is none if the store's
// revision is not higher than the base revision, for example because the store lost
// data.
func (e *ConflictError) Error() string {
	if e.ConflictingChange.ID == "" {
		return fmt.Sprintf("conflict: the edit is based on revision %d, the store has revision %d", e.BaseRevision, e.HeadRevision)
	}
	return fmt.Sprintf("conflict: the edit is based on revision %d, but change %s by %s made revision %d",
		e.BaseRevision, e.ConflictingChange.ID, e.ConflictingChange.Author, e.ConflictingChange.Revision)
}

// conflictAfter returns a conflict with the first change after the base revision
// that the head still lists.
func (h Head) conflictAfter(base uint64) *ConflictError {
	e := &ConflictError{BaseRevision: base, HeadRevision: h.Revision}
	for _, c := range h.Changes {
		if c.Revision > base {
			e.ConflictingChange = c
			break
		}
	}
	return e
}

// Plan holds the store operations of an edit in their order: writing the shards,
// replacing the head by compare-and-swap, and deleting the obsolete shards.
type Plan struct {
	Head           Head
	Shards         map[string][]byte
	ObsoleteShards []string
}

// PlanEdit validates an edit against the head and its document and returns the
// store operations that carry it out.
func PlanEdit(h Head, d *Document, e Edit) (Plan, error) {
	if e.ID == "" || e.Author == "" || len(e.Rows) == 0 {
		return Plan{}, eris.New("an edit needs a change identifier, an author and at least one row")
	}
	if e.Base != h.Revision || d.revision != h.Revision {
		return Plan{}, h.conflictAfter(e.Base)
	}
	rows := slices.Clone(e.Rows)
	for i := range rows {
		rows[i].Revision = h.Revision + 1
	}
	next, err := d.Apply(Change{Revision: h.Revision + 1, Base: h.Revision, ID: e.ID, Rows: rows})
	if err != nil {
		return Plan{}, err
	}
	p := Plan{Head: nextHead(h, next, e), Shards: map[string][]byte{}}
	// touched holds the changed shards, with the shard index as the section.
	touched := map[RowID]bool{}
	for _, r := range rows {
		touched[RowID{r.Table, fmt.Sprint(ShardIndex(r.Section))}] = true
	}
	for _, table := range TableNames() {
		for index := range ShardsPerTable {
			if touched[RowID{table, fmt.Sprint(index)}] {
				if err := p.replaceShard(next, table, index, e.ID); err != nil {
					return Plan{}, err
				}
			}
		}
	}
	return p, nil
}

func nextHead(h Head, next *Document, e Edit) Head {
	change := HeadChange{Revision: next.revision, ID: e.ID, Author: e.Author, Base: e.Base, UnixMS: e.Time.UnixMilli()}
	for _, r := range e.Rows {
		change.Rows = append(change.Rows, r.RowID)
	}
	if len(change.Rows) > maxChangeRows {
		change.OmittedRows = len(change.Rows) - maxChangeRows
		change.Rows = change.Rows[:maxChangeRows]
	}
	shards := maps.Clone(h.Shards)
	for t := range shards {
		shards[t] = slices.Clone(shards[t])
	}
	return Head{
		Format: formatVersion, Revision: next.revision, DeletedRevision: next.deletedRevision, Shards: shards,
		Changes: append(slices.Clone(h.Changes), change),
	}
}

func (p *Plan) replaceShard(d *Document, table Table, index int, changeID string) error {
	s := shard{Format: formatVersion, Table: table, ChangeID: changeID}
	for id, r := range d.rows {
		if id.Table == table && ShardIndex(id.Section) == index {
			s.Rows = append(s.Rows, shardRow{Section: id.Section, Text: r.text, Revision: r.revision})
		}
	}
	slices.SortFunc(s.Rows, func(a, b shardRow) int {
		if a.Section < b.Section {
			return -1
		}
		return 1
	})
	if old := p.Head.Shards[table][index]; old != "" {
		p.ObsoleteShards = append(p.ObsoleteShards, old)
	}
	p.Head.Shards[table][index] = ""
	if len(s.Rows) == 0 {
		return nil
	}
	value, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode shard")
	}
	if len(value) > maxValueBytes {
		return eris.Errorf("%s: shard %d of %d would hold %d bytes; accepted: up to %d", table, index, ShardsPerTable, len(value), maxValueBytes)
	}
	digest := ShardDigest(value)
	p.Shards[digest] = value
	p.Head.Shards[table][index] = digest
	return nil
}

// Outcome is the result of an edit whose write to the store got no response.
type Outcome string

// OutcomeRetry means that the head is unchanged and the same compare-and-swap has
// to be sent again. OutcomeUnknown means that the head is older than the base of
// the edit or lists too few changes to tell.
const (
	OutcomeAccepted    Outcome = "accepted"
	OutcomeNotAccepted Outcome = "not_accepted"
	OutcomeRetry       Outcome = "repeat"
	OutcomeUnknown     Outcome = "unknown"
)

// Resolve determines the outcome of an edit from a head that was read after the
// response to the write was lost. The error is set only for OutcomeNotAccepted and
// is the conflict.
func (h Head) Resolve(e Edit) (Outcome, error) {
	if _, ok := h.FindChange(e.ID); ok {
		return OutcomeAccepted, nil
	}
	if h.Revision == e.Base {
		return OutcomeRetry, nil
	}
	if h.Revision < e.Base || len(h.Changes) == 0 || h.Changes[0].Revision > e.Base+1 {
		return OutcomeUnknown, nil
	}
	return OutcomeNotAccepted, h.conflictAfter(e.Base)
}
