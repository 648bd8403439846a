package inifile

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParse(t *testing.T) {
	got, err := Parse("pools.ini", []byte("# comment\n[pool quotes]\nzones = a, b\n\n[zone a]\nstate = \"out\" ; note\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := []Section{
		{Name: "pool quotes", Line: 2, Entries: []Entry{{Key: "zones", Value: "a, b", Line: 3}}},
		{Name: "zone a", Line: 5, Entries: []Entry{{Key: "state", Value: "out", Line: 6}}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sections differ (-want +got):\n%s", diff)
	}
}

// Guards against malformed lines that are merged or dropped without an error.
func TestParseRejects(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"duplicate key":     {"[a]\nx = 1\nx = 2\n", "f:3: [a] x: duplicate key, first on line 2"},
		"duplicate section": {"[a]\n[b]\n[a]\n", "f:3: [a]: duplicate section, first on line 1"},
		"no delimiter":      {"[a]\nx\n", "f:2: [a]: expected key = value"},
		"outside section":   {"x = 1\n", "f:1: key outside a section"},
		"open header":       {"[a\n", "f:1: malformed section header"},
		"invalid UTF-8":     {"[a]\nx = \xff\n", "f:1: not valid UTF-8"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(tc.text))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("Parse error = %v, want %q", err, tc.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[a]\nx = 1\n"))
	f.Add([]byte("[a]\nx = \"\"\"\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("fuzz", data)
	})
}
