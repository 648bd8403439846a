// Package inifile reads INI files with the line number of every section and
// key, and rejects what a lenient reader would silently merge or drop.
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

// Entry is one key of a section.
type Entry struct {
	Key   string
	Value string
	Line  int
}

// Section is one section in file order.
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

// Error names the place of a mistake.
type Error struct {
	File    string
	Line    int
	Section string
	Key     string
	Message string
}

// Error formats the place and the message.
func (e *Error) Error() string {
	place := fmt.Sprintf("%s:%d", e.File, e.Line)
	if e.Section != "" {
		place += fmt.Sprintf(": [%s]", e.Section)
	}
	if e.Key != "" {
		place += " " + e.Key
	}
	return place + ": " + e.Message
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

// Parse reads data. Duplicate sections and keys, keys outside a section and
// lines that are neither are errors that name the line.
func Parse(file string, data []byte) ([]Section, error) {
	if !utf8.Valid(data) {
		return nil, &Error{File: file, Line: 1, Message: "not valid UTF-8"}
	}
	sections, err := index(file, data)
	if err != nil {
		return nil, err
	}
	loaded, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, locate(file, data, sections, err)
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

// locate names the entry that the library refuses, since its errors have no
// line; an open quote is reported only at the end of the file.
func locate(file string, data []byte, sections []Section, cause error) error {
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

// index finds the line of each section and key; the library does not keep them.
func index(file string, data []byte) ([]Section, error) {
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
