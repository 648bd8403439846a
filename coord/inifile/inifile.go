// Package inifile parses INI files strictly and keeps the line number of every
// section and key. It rejects input that a lenient parser would silently merge or
// drop, such as duplicate sections and keys.
package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Entry is a key of a section with its value.
type Entry struct {
	Key   string
	Value string
	Line  int
}

// Section is a section with its entries in file order.
type Section struct {
	Name    string
	Line    int
	Entries []Entry
}

// Lookup returns the entry with the given key.
func (s Section) Lookup(key string) (Entry, bool) {
	for _, e := range s.Entries {
		if e.Key == key {
			return e, true
		}
	}
	return Entry{}, false
}

// Error is a syntax or value error at a position in the file.
type Error struct {
	File    string
	Line    int
	Section string
	Key     string
	Message string
}

// Error formats the position and the message.
func (e *Error) Error() string {
	position := fmt.Sprintf("%s:%d", e.File, e.Line)
	if e.Section != "" {
		position += fmt.Sprintf(": [%s]", e.Section)
	}
	if e.Key != "" {
		position += " " + e.Key
	}
	return position + ": " + e.Message
}

var options = ini.LoadOptions{
	IgnoreContinuation:          true,
	SpaceBeforeInlineComment:    true,
	KeyValueDelimiters:          "=",
	UnescapeValueDoubleQuotes:   true,
	PreserveSurroundedQuote:     false,
	AllowNonUniqueSections:      false,
	SkipUnrecognizableLines:     false,
	AllowBooleanKeys:            false,
	UnescapeValueCommentSymbols: true,
}

// Parse parses an INI file. Duplicate sections and keys, keys outside a section and
// other unrecognized lines are errors that name the line.
func Parse(file string, data []byte) ([]Section, error) {
	if !utf8.Valid(data) {
		return nil, &Error{File: file, Line: 1, Message: "not valid UTF-8"}
	}
	sections, err := indexLines(file, data)
	if err != nil {
		return nil, err
	}
	loaded, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, locateError(file, data, sections, err)
	}
	for i := range sections {
		values := loaded.Section(sections[i].Name)
		for k := range sections[i].Entries {
			e := &sections[i].Entries[k]
			e.Value = values.Key(e.Key).Value()
		}
	}
	return sections, nil
}

// locateError finds the entry that the library rejects by loading the entries one by
// one. The library's errors have no line, and an unclosed quote is only reported at
// the end of the file.
func locateError(file string, data []byte, sections []Section, cause error) error {
	lines := bytes.Split(data, []byte("\n"))
	for _, s := range sections {
		for _, e := range s.Entries {
			text := append([]byte("[section]\n"), lines[e.Line-1]...)
			if _, err := ini.LoadSources(options, text); err != nil {
				return &Error{File: file, Line: e.Line, Section: s.Name, Key: e.Key, Message: "value is not accepted; accepted: text without quotes, or with quotes that are closed on the line"}
			}
		}
	}
	return eris.Wrapf(cause, "%s", file)
}

// indexLines returns the sections and keys with their line numbers, which the
// library does not provide.
func indexLines(file string, data []byte) ([]Section, error) {
	var sections []Section
	seen := map[string]int{}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, 1<<20)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if line == 1 {
			text = strings.TrimPrefix(text, "\ufeff")
		}
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		if text[0] == '[' {
			name, ok := sectionName(text)
			if !ok {
				return nil, &Error{File: file, Line: line, Message: "malformed section header"}
			}
			if first, dup := seen[name]; dup {
				return nil, &Error{File: file, Line: line, Section: name, Message: fmt.Sprintf("duplicate section, first on line %d", first)}
			}
			seen[name] = line
			sections = append(sections, Section{Name: name, Line: line})
			continue
		}
		if len(sections) == 0 {
			return nil, &Error{File: file, Line: line, Message: "key outside a section"}
		}
		s := &sections[len(sections)-1]
		key, _, ok := strings.Cut(text, "=")
		key = strings.TrimSpace(key)
		if !ok || key == "" {
			return nil, &Error{File: file, Line: line, Section: s.Name, Message: "expected key = value"}
		}
		if first, dup := s.Lookup(key); dup {
			return nil, &Error{File: file, Line: line, Section: s.Name, Key: key, Message: fmt.Sprintf("duplicate key, first on line %d", first.Line)}
		}
		s.Entries = append(s.Entries, Entry{Key: key, Line: line})
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrapf(err, "%s", file)
	}
	return sections, nil
}

func sectionName(text string) (string, bool) {
	end := strings.IndexByte(text, ']')
	if end < 0 || strings.TrimSpace(text[end+1:]) != "" {
		return "", false
	}
	name := strings.TrimSpace(text[1:end])
	return name, name != ""
}
