package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/inifile"
)

// TableNames lists the tables.
func TableNames() []Table { return []Table{TableRoutes, TablePools} }

// emptyRow is the text of a row without keys; an empty text means deletion.
const emptyRow = "# no keys\n"

// RowID identifies a row. Section is a section name such as "route quotes".
type RowID struct {
	Table   Table
	Section string
}

// RowEdit sets the text of a row; an empty text deletes the row. Revision is
// the one at which the row last changed, zero in an edit not yet accepted.
type RowEdit struct {
	RowID
	Text     string
	Revision uint64
}

// Change is one or more consecutive edits: it turns any revision from Base up
// to Revision-1 into Revision, because row texts are absolute.
type Change struct {
	Revision uint64
	Base     uint64
	ID       string
	Rows     []RowEdit
}

// row keeps the parsed section, so that a change parses only its own rows.
type row struct {
	text     string
	revision uint64
	section  inifile.Section
}

func (r row) equal(o row) bool { return r.text == o.text && r.revision == o.revision }

// Document is an immutable, checked text of both tables at a revision.
type Document struct {
	revision uint64
	// deleted is the revision at which a row was last deleted.
	deleted uint64
	rows    map[RowID]row
	tables  *Tables
	// since is the revision from which edits lead to this document; 0 means
	// that they are not known.
	since uint64
	edits []RowEdit
}

// EmptyDocument is the configuration before the first edit.
func EmptyDocument() *Document {
	tables, err := Parse(File{}, File{})
	if err != nil {
		panic(err)
	}
	return &Document{rows: map[RowID]row{}, tables: tables}
}

// NewDocument checks the rows of a complete configuration. deleted is the
// revision at which a row was last deleted.
func NewDocument(revision, deleted uint64, rows []RowEdit) (*Document, error) {
	return newDocument(EmptyDocument(), revision, deleted, rows)
}

func newDocument(previous *Document, revision, deleted uint64, rows []RowEdit) (*Document, error) {
	d := &Document{revision: revision, deleted: deleted, rows: make(map[RowID]row, len(rows))}
	parsed := previous.parsedRows(rows)
	for _, r := range rows {
		section, ok := parsed[r.RowID]
		if !ok {
			var err error
			if section, err = previous.parsed(r); err != nil {
				return nil, err
			}
		}
		if _, dup := d.rows[r.RowID]; dup || r.Text == "" {
			return nil, eris.Errorf("%s: [%s] is empty or given twice in revision %d", r.Table, r.Section, revision)
		}
		d.rows[r.RowID] = row{text: r.Text, revision: r.Revision, section: section}
	}
	if previous.revision == 0 {
		return d.rebuild()
	}
	return d.checked(previous, Diff(previous, d))
}

// checked sets the tables. The edits are those that lead from the previous
// document to this one.
func (d *Document) checked(previous *Document, edits []RowEdit) (*Document, error) {
	d.since, d.edits = previous.revision, edits
	if independent(edits) {
		if tables, ok := previous.tables.rebuilt(edits, d.rows); ok {
			d.tables = tables
			return d, nil
		}
	}
	return d.rebuild()
}

// rebuild sets the tables from all rows.
func (d *Document) rebuild() (*Document, error) {
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

// parsed returns the section of a row, without parsing it if the document has
// the row with the same text.
func (d *Document) parsed(r RowEdit) (inifile.Section, error) {
	if known, ok := d.rows[r.RowID]; ok && known.text == r.Text {
		return known.section, nil
	}
	return parseRow(r)
}

// parseRow refuses a row of a peer or of the store that is not exactly one
// section of a known table.
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

// DeletedRevision returns the revision at which a row was last deleted.
func (d *Document) DeletedRevision() uint64 { return d.deleted }

// Snapshot returns the checked tables with their revision.
func (d *Document) Snapshot() Snapshot { return Snapshot{Revision: d.revision, Tables: d.tables} }

// Text returns the text of a row, empty if there is none.
func (d *Document) Text(id RowID) string { return d.rows[id].text }

// Rows lists all rows in order of table and section.
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

// RenderFile renders one table with its sections in order of name.
func (d *Document) RenderFile(table Table) File {
	var b strings.Builder
	for _, r := range d.Rows() {
		if r.Table == table {
			b.WriteString("[" + r.Section + "]\n" + r.Text + "\n")
		}
	}
	return File{Name: string(table) + ".ini", Text: []byte(b.String())}
}

// Apply returns the document after the changes that lie ahead of it; older
// changes are skipped. It fails if a change starts after the revision reached.
func (d *Document) Apply(changes ...Change) (*Document, error) {
	next := &Document{revision: d.revision, deleted: d.deleted, rows: maps.Clone(d.rows)}
	touched := map[RowID]bool{}
	for _, c := range changes {
		if c.Revision <= next.revision {
			continue
		}
		if c.Base > next.revision {
			return nil, eris.Errorf("change %q starts at revision %d, this is revision %d", c.ID, c.Base, next.revision)
		}
		if err := next.applyOne(c); err != nil {
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
	return next.checked(d, edits)
}

// applyOne changes the rows, which the document must not share.
func (d *Document) applyOne(c Change) error {
	for _, r := range c.Rows {
		section, err := parseRow(r)
		if err != nil {
			return err
		}
		if r.Text == "" {
			delete(d.rows, r.RowID)
			d.deleted = c.Revision
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

// Diff lists the edits that turn one document into the other.
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

// appendEdit adds the edit of one row if the documents differ in it.
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

// editsFrom returns the edits from another document, without a comparison of
// all rows where they are known. A revision has only one content.
func (d *Document) editsFrom(from *Document) []RowEdit {
	if d.since > 0 && d.since == from.revision {
		return d.edits
	}
	return Diff(from, d)
}

// SplitRows splits the text of a table into rows. Lines that hold only a
// comment are not kept.
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

// DiffFile lists the edits that make one table of the document equal to the
// given text, with no revision set.
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

// Slice is the part of the configuration that one endpoint needs.
type Slice struct {
	Pool        Pool
	ZoneOut     bool
	HostLeaving bool
	// Revision of the document, and the one at which this slice last changed.
	// A deletion anywhere counts as a change, because deleted rows are not kept.
	Revision        uint64
	ChangedRevision uint64
}

// Slice returns the part that an endpoint of a pool needs.
func (d *Document) Slice(pool, zone, host string) Slice {
	p, _ := d.tables.Pool(pool)
	s := Slice{
		Pool: p, ZoneOut: d.tables.ZoneOut(zone), HostLeaving: d.tables.HostLeaving(host),
		Revision: d.revision, ChangedRevision: d.deleted,
	}
	for _, section := range []string{"pool " + pool, "zone " + zone, "host " + host} {
		s.ChangedRevision = max(s.ChangedRevision, d.rows[RowID{TablePools, section}].revision)
	}
	return s
}
