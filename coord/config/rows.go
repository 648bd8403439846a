package config

import (
	"strings"

	"siskinstand.example/coord/inifile"
)

// parseRows parses rows of one table at once and returns their sections in
// order. A parser for each of 15,000 rows left some 190 MB of garbage. It
// returns false if that could differ from parsing each row by itself, which
// then also gives the error.
func parseRows(table Table, rows []RowEdit) ([]inifile.Section, bool) {
	var b strings.Builder
	for _, r := range rows {
		// Quotes can join the lines of several rows.
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
		relativeLines(&sections[i])
	}
	return sections, true
}

// relativeLines counts lines from the section's header, as for a single row.
func relativeLines(s *inifile.Section) {
	before := s.Line - 1
	s.Line = 1
	for i := range s.Entries {
		s.Entries[i].Line -= before
	}
}

// parsedRows returns the sections of all rows that the document has not in the
// same text. It holds nothing if they cannot be parsed at once.
func (d *Document) parsedRows(rows []RowEdit) map[RowID]inifile.Section {
	byTable := map[Table][]RowEdit{}
	for _, r := range rows {
		if known, ok := d.rows[r.RowID]; !ok || known.text != r.Text {
			byTable[r.Table] = append(byTable[r.Table], r)
		}
	}
	sections := map[RowID]inifile.Section{}
	for _, table := range TableNames() {
		list, ok := parseRows(table, byTable[table])
		if !ok {
			continue
		}
		for i, s := range list {
			sections[byTable[table][i].RowID] = s
		}
	}
	return sections
}
