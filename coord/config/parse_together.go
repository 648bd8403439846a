package config

import (
	"strings"

	"siskinstand.example/coord/inifile"
)

// parseTogether parses rows of one table as a single text and returns their
// sections in order, because parsing 15,000 rows one by one allocated about 190 MB
// of garbage. It returns false if the result could differ from that of parsing
// each row separately; the caller then does so and gets any error from it.
func parseTogether(table Table, rows []RowEdit) ([]inifile.Section, bool) {
	var b strings.Builder
	for _, r := range rows {
		// A quoted value could extend over the lines of several rows.
		if strings.ContainsAny(r.Text, "\"`") || strings.ContainsAny(r.Section, "\r\n") {
			return nil, false
		}
		b.WriteString("[" + r.Section + "]\n" + r.Text + "\n")
	}
	sections, err := inifile.Parse(string(table), []byte(b.String()))
	if err != nil || len(sections) != len(rows) {
		return nil, false
	}
	for i := range sections {
		if sections[i].Name != rows[i].Section {
			return nil, false
		}
		makeLinesRelative(&sections[i])
	}
	return sections, true
}

// makeLinesRelative makes line numbers relative to the section header, as they
// are after parsing a single row.
func makeLinesRelative(s *inifile.Section) {
	linesBefore := s.Line - 1
	s.Line = 1
	for i := range s.Entries {
		s.Entries[i].Line -= linesBefore
	}
}

// parseChangedRows returns the sections of the rows whose text differs from that
// in the document. Rows of a table that cannot be parsed together are omitted.
func (d *Document) parseChangedRows(rows []RowEdit) map[RowID]inifile.Section {
	byTable := map[Table][]RowEdit{}
	for _, r := range rows {
		if known, ok := d.rows[r.RowID]; !ok || known.text != r.Text {
			byTable[r.Table] = append(byTable[r.Table], r)
		}
	}
	sections := map[RowID]inifile.Section{}
	for _, table := range TableNames() {
		list, ok := parseTogether(table, byTable[table])
		if !ok {
			continue
		}
		for i, s := range list {
			sections[byTable[table][i].RowID] = s
		}
	}
	return sections
}
