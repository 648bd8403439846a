package config

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Guards against rows that parse differently together than one by one, because of
// quotes that extend over several rows, section headers in a row's text, or
// duplicate section names.
func TestParseTogetherEqualsSingleRows(t *testing.T) {
	parsedTogether := 0
	line := rapid.SampledFrom([]string{"a = 1", "g = 2", "h = 3", "i = 4", "j = 5", "b = x # c", "[zone z]", "a = \"\"\"", "\"\"\"", "`", "a", "; c", "", "c = a\\", "\ufeffd = 2", "e = %(a)s", "f = \r"})
	name := rapid.SampledFrom([]string{"zone a", "zone b", "zone e", "zone f", "zone g", "zone h", "host i", "host j", "zone a.b", "DEFAULT", "zone\nx", "zone c]", " zone d", ""})
	rapid.Check(t, func(t *rapid.T) {
		var rows []RowEdit
		for range rapid.IntRange(1, 4).Draw(t, "rows") {
			text := ""
			for _, l := range rapid.SliceOfN(line, 0, 2).Draw(t, "lines") {
				text += l + rapid.SampledFrom([]string{"\n", "\n", "\r\n", ""}).Draw(t, "end")
			}
			rows = append(rows, RowEdit{RowID: RowID{TablePools, name.Draw(t, "name")}, Text: text})
		}
		sections, ok := parseTogether(TablePools, rows)
		if !ok {
			return
		}
		parsedTogether++
		for i, r := range rows {
			single, err := parseRow(r)
			if err != nil || !reflect.DeepEqual(single, sections[i]) {
				t.Fatalf("row %d of %+v: parsed together %+v, parsed alone %+v, %v", i, rows, sections[i], single, err)
			}
		}
	})
	if parsedTogether < 10 {
		t.Errorf("only %d sets of rows were parsed together, want at least 10", parsedTogether)
	}
}
