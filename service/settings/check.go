package settings

import (
	"errors"

	"siskinstand.example/coord/inifile"
)

// Validator is implemented by settings with keys that depend on each other.
type Validator interface {
	// Validate returns a Mistake if the keys don't fit together.
	Validate() error
}

// KeyError names the key to change; Load adds file and line.
type KeyError struct {
	Section string
	Key     string
	Message string
}

// Error returns the place and the message.
func (m *KeyError) Error() string { return "[" + m.Section + "] " + m.Key + ": " + m.Message }

// place returns the mistake with the line of its key, or of its section if the
// key is left out.
func place(file string, data []byte, err error) error {
	var m *KeyError
	if !errors.As(err, &m) {
		return err
	}
	result := &inifile.Error{File: file, Line: 1, Section: m.Section, Key: m.Key, Message: m.Message}
	sections, parseError := inifile.Parse(file, data)
	if parseError != nil {
		return parseError
	}
	for _, s := range sections {
		if s.Name != m.Section {
			continue
		}
		result.Line = s.Line
		if e, ok := s.Lookup(m.Key); ok {
			result.Line = e.Line
		}
	}
	return result
}
