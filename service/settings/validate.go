package settings

import (
	"errors"

	"siskinstand.example/coord/inifile"
)

// Validator is implemented by settings whose keys depend on each other.
type Validator interface {
	// Validate returns a KeyError if the combination of keys is invalid.
	Validate() error
}

// KeyError is an error in the value of a key. Load adds the file and line.
type KeyError struct {
	Section string
	Key     string
	Message string
}

func (e *KeyError) Error() string { return "[" + e.Section + "] " + e.Key + ": " + e.Message }

// withLocation adds the file and line to a KeyError. The line is that of the key, of
// the section if the file does not contain the key, or 1 if it contains neither.
func withLocation(file string, data []byte, err error) error {
	var keyErr *KeyError
	if !errors.As(err, &keyErr) {
		return err
	}
	result := &inifile.Error{File: file, Line: 1, Section: keyErr.Section, Key: keyErr.Key, Message: keyErr.Message}
	sections, parseErr := inifile.Parse(file, data)
	if parseErr != nil {
		return parseErr
	}
	for _, s := range sections {
		if s.Name != keyErr.Section {
			continue
		}
		result.Line = s.Line
		if e, ok := s.Lookup(keyErr.Key); ok {
			result.Line = e.Line
		}
	}
	return result
}
