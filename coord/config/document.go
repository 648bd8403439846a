package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/inifile"
)

// TableNames returns the names of all tables.
func TableNames() []Table { return []Table{TableRoutes, TablePools} }

// emptyRow is the text of a row without keys, because an empty text means that
// the row is deleted.
const emptyRow = "# no keys\n"

// RowID identifies a row. Section is the name of its INI section, for example
// "route quotes".
type RowID struct {
	Table   Table
	Section string
}

// RowEdit sets the text of a row; an empty text deletes the row. Revision is
// the revision at which the row last changed. It is zero if the edit has not been
// accepted yet, and may be zero for a deletion.
type RowEdit struct {
	RowID
	Text     string
	Revision uint64
}

// Change combines one or more consecutive edits. It turns revision Base into
// Revision. It can't be applied to a revision between them, which may have a row
// that a later one of the edits deleted and that Rows therefore lacks.
type Change struct {
	Revision uint64
	Base     uint64
	ID       string
	Rows     []RowEdit
}

// row caches the parsed section, so that applying a change parses only the
// changed rows.
type row struct {
	text     string
	revision uint64
	section  inifile.Section
}

func (r row) equal(o row) bool { return r.text == o.text && r.revision == o.revision }

// Document is the validated text of both tables at one revision. It is
// immutable.
type Document struct {
	revision uint64
	// deletedRevision is the revision of the latest row deletion.
	deletedRevision uint64
	rows            map[RowID]row
	tables          *Tables
	// baseEdits are the edits that turn baseRevision into this document. A
	// baseRevision of 0 means that they are not available.
	baseRevision uint64
	baseEdits    []RowEdit
}

// EmptyDocument is the configuration before the first edit.
func EmptyDocument() *Document {
	tables, err := Parse(File{}, File{})
	if err != nil {
		panic(err)
	}
	return &Document{rows: map[RowID]row{}, tables: tables}
}

// NewDocument validates the rows of a complete configuration. deleted is the
// revision of the latest row deletion.
func NewDocument(revision, deletedRevision uint64, rows []RowEdit) (*Document, error) {
	return newDocument(EmptyDocument(), revision, deletedRevision, rows)
}

func newDocument(previous *Document, revision, deletedRevision uint64, rows []RowEdit) (*Document, error) {
	d := &Document{revision: revision, deletedRevision: deletedRevision, rows: make(map[RowID]row, len(rows))}
	parsed := previous.parseChangedRows(rows)
	for _, r := range rows {
		section, ok := parsed[r.RowID]
		if !ok {
			var err error
			if section, err = previous.sectionOf(r); err != nil {
				return nil, err
			}
		}
		if _, dup := d.rows[r.RowID]; dup || r.Text == "" {
			return nil, eris.Errorf("%s: [%s] is empty or given twice in revision %d", r.Table, r.Section, revision)
		}
		d.rows[r.RowID] = row{text: r.Text, revision: r.Revision, section: section}
	}
	if previous.revision == 0 {
		return d.buildAllTables()
	}
	return d.buildTables(previous, Diff(previous, d))
}

// buildTables validates the document and sets its tables. The edits turn the
// previous document into this one; the tables are updated incrementally where
// the edits permit it.
func (d *Document) buildTables(previous *Document, edits []RowEdit) (*Document, error) {
	d.baseRevision, d.baseEdits = previous.revision, edits
	if areIndependent(edits) {
		if tables, ok := previous.tables.withIndependentEdits(edits, d.rows); ok {
			d.tables = tables
			return d, nil
		}
	}
	return d.buildAllTables()
}

// buildAllTables validates all rows and sets the tables from them.
func (d *Document) buildAllTables() (*Document, error) {
	sections := map[Table][]inifile.Section{}
	for id, r := range d.rows {
		sections[id.Table] = append(sections[id.Table], r.section)
	}
	for _, list := range sections {
		slices.SortFunc(list, func(a, b inifile.Section) int { return strings.Compare(a.Name, b.Name) })
	}
	tables, err := build("routes", sections[TableRoutes], "pools", sections[TablePools])
	if err != nil {
		return nil, err
	}
	d.tables = tables
	return d, nil
}

// sectionOf returns the parsed section of a row. The section is reused if the
// document already has the row with the same text.
func (d *Document) sectionOf(r RowEdit) (inifile.Section, error) {
	if known, ok := d.rows[r.RowID]; ok && known.text == r.Text {
		return known.section, nil
	}
	return parseRow(r)
}

// parseRow parses a row received from an operator or a peer or read from the store.
// It rejects rows that are not exactly one section of a known table.
func parseRow(r RowEdit) (inifile.Section, error) {
	if !slices.Contains(TableNames(), r.Table) {
		return inifile.Section{}, eris.Errorf("unknown table %q; accepted: routes, pools", r.Table)
	}
	sections, err := inifile.Parse(string(r.Table), []byte("["+r.Section+"]\n"+r.Text))
	if err != nil {
		return inifile.Section{}, err
	}
	if len(sections) != 1 || sections[0].Name != r.Section {
		return inifile.Section{}, eris.Errorf("%s: row %q is not exactly one section", r.Table, r.Section)
	}
	return sections[0], nil
}

// Revision returns the revision of the document.
func (d *Document) Revision() uint64 { return d.revision }

// DeletedRevision returns the revision of the latest row deletion.
func (d *Document) DeletedRevision() uint64 { return d.deletedRevision }

// Snapshot returns the validated tables with their revision.
func (d *Document) Snapshot() Snapshot { return Snapshot{Revision: d.revision, Tables: d.tables} }

// RowText returns the text of a row, or an empty string if the row does not exist.
func (d *Document) RowText(id RowID) string { return d.rows[id].text }

// Rows returns all rows sorted by table and section.
func (d *Document) Rows() []RowEdit {
	list := make([]RowEdit, 0, len(d.rows))
	for id, r := range d.rows {
		list = append(list, RowEdit{RowID: id, Text: r.text, Revision: r.revision})
	}
	sortRows(list)
	return list
}

func sortRows(list []RowEdit) {
	slices.SortFunc(list, func(a, b RowEdit) int {
		if c := strings.Compare(string(a.Table), string(b.Table)); c != 0 {
			return c
		}
		return strings.Compare(a.Section, b.Section)
	})
}

// RenderFile renders one table as an INI file with its sections sorted by name.
func (d *Document) RenderFile(table Table) File {
	var b strings.Builder
	for _, r := range d.Rows() {
		if r.Table == table {
			b.WriteString("[" + r.Section + "]\n" + r.Text + "\n")
		}
	}
	return File{Name: string(table) + ".ini", Text: []byte(b.String())}
}

// Apply returns the document that results from the given changes. Changes up to
// the current revision are skipped. Apply fails if the base of a later change is
// not the revision reached so far.
func (d *Document) Apply(changes ...Change) (*Document, error) {
	next := &Document{revision: d.revision, deletedRevision: d.deletedRevision, rows: maps.Clone(d.rows)}
	touched := map[RowID]bool{}
	for _, c := range changes {
		if c.Revision <= next.revision {
			continue
		}
		if c.Base != next.revision {
			return nil, eris.Errorf("change %q starts at revision %d, this is revision %d", c.ID, c.Base, next.revision)
		}
		if err := next.applyChange(c); err != nil {
			return nil, err
		}
		for _, r := range c.Rows {
			touched[r.RowID] = true
		}
	}
	if next.revision == d.revision {
		return d, nil
	}
	var edits []RowEdit
	for id := range touched {
		edits = appendEdit(edits, id, d, next)
	}
	sortRows(edits)
	return next.buildTables(d, edits)
}

// applyChange modifies the rows in place; no other document may share the map.
func (d *Document) applyChange(c Change) error {
	for _, r := range c.Rows {
		section, err := parseRow(r)
		if err != nil {
			return err
		}
		if r.Text == "" {
			delete(d.rows, r.RowID)
			d.deletedRevision = c.Revision
			continue
		}
		revision := r.Revision
		if revision == 0 || revision > c.Revision {
			revision = c.Revision
		}
		d.rows[r.RowID] = row{text: r.Text, revision: revision, section: section}
	}
	d.revision = c.Revision
	return nil
}

// Diff returns the edits that turn one document into the other.
func Diff(from, to *Document) []RowEdit {
	var edits []RowEdit
	for id := range to.rows {
		edits = appendEdit(edits, id, from, to)
	}
	for id := range from.rows {
		if _, ok := to.rows[id]; !ok {
			edits = append(edits, RowEdit{RowID: id})
		}
	}
	sortRows(edits)
	return edits
}

// appendEdit appends an edit for the row if it differs between the documents.
func appendEdit(edits []RowEdit, id RowID, from, to *Document) []RowEdit {
	old, had := from.rows[id]
	r, has := to.rows[id]
	switch {
	case has && (!had || !old.equal(r)):
		return append(edits, RowEdit{RowID: id, Text: r.text, Revision: r.revision})
	case had && !has:
		return append(edits, RowEdit{RowID: id})
	}
	return edits
}

// editsFrom returns the edits that turn the given document into this one. It uses
// the stored edits if they start at the given document's revision, because all
// documents of one revision have the same rows. Otherwise it compares all rows.
func (d *Document) editsFrom(from *Document) []RowEdit {
	if d.baseRevision > 0 && d.baseRevision == from.revision {
		return d.baseEdits
	}
	return Diff(from, d)
}

// SplitRows splits the text of a table into rows. Blank lines and lines that
// contain only a comment are dropped.
func SplitRows(table Table, f File) ([]RowEdit, error) {
	if _, err := inifile.Parse(f.Name, f.Text); err != nil {
		return nil, err
	}
	var rows []RowEdit
	for line := range strings.Lines(strings.TrimPrefix(string(f.Text), "\ufeff")) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			name := strings.TrimSpace(line[1:strings.IndexByte(line, ']')])
			rows = append(rows, RowEdit{RowID: RowID{table, name}})
			continue
		}
		rows[len(rows)-1].Text += line + "\n"
	}
	for i := range rows {
		if rows[i].Text == "" {
			rows[i].Text = emptyRow
		}
	}
	return rows, nil
}

// DiffFile returns the edits that make one table of the document equal to the
// given text. The revisions of the edits are not set.
func (d *Document) DiffFile(table Table, f File) ([]RowEdit, error) {
	rows, err := SplitRows(table, f)
	if err != nil {
		return nil, err
	}
	kept := map[RowID]bool{}
	var edits []RowEdit
	for _, r := range rows {
		kept[r.RowID] = true
		if d.rows[r.RowID].text != r.Text {
			edits = append(edits, r)
		}
	}
	for id := range d.rows {
		if id.Table == table && !kept[id] {
			edits = append(edits, RowEdit{RowID: id})
		}
	}
	sortRows(edits)
	return edits, nil
}

// Slice is the part of the configuration that applies to one endpoint.
type Slice struct {
	Pool        Pool
	ZoneOut     bool
	HostLeaving bool
	// Revision is the revision of the document, ChangedRevision the one at which
	// this slice last changed. Any row deletion counts as a change, because the
	// document does not record which rows were deleted.
	Revision        uint64
	ChangedRevision uint64
}

// Slice returns the configuration of an endpoint of the given pool, zone and
// host.
func (d *Document) Slice(pool, zone, host string) Slice {
	p, _ := d.tables.Pool(pool)
	s := Slice{
		Pool: p, ZoneOut: d.tables.IsZoneOut(zone), HostLeaving: d.tables.IsHostLeaving(host),
		Revision: d.revision, ChangedRevision: d.deletedRevision,
	}
	for _, section := range []string{"pool " + pool, "zone " + zone, "host " + host} {
		s.ChangedRevision = max(s.ChangedRevision, d.rows[RowID{TablePools, section}].revision)
	}
	return s
}
