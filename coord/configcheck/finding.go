// Package configcheck finds mistakes in a decoded configuration before it is sent:
// entries without effect, references to nothing, and limits that contradict each other.
package configcheck

import (
	"errors"
	"fmt"
	"slices"

	"siskinstand.example/coord/inifile"
)

// Severity tells whether a configuration with a finding would be refused.
type Severity string

// Severities. An error makes the configuration unusable; a warning marks an entry that
// is accepted but cannot work as written.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is one mistake in a configuration. Line is 0 if it is not known.
type Finding struct {
	File     string   `json:"file"`
	Line     int      `json:"line,omitempty"`
	Section  string   `json:"section"`
	Key      string   `json:"key"`
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
}

// String formats the position, the severity of a warning and the message.
func (f Finding) String() string {
	text := f.File
	if f.Line > 0 {
		text += fmt.Sprintf(":%d", f.Line)
	}
	if f.Section != "" {
		text += ": [" + f.Section + "]"
	}
	if f.Key != "" {
		text += " " + f.Key
	}
	if f.Severity == SeverityWarning {
		text += ": warning"
	}
	return text + ": " + f.Message
}

// HasErrors reports whether a finding is an error.
func HasErrors(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Severity == SeverityError })
}

// Hosts holds what is known of the hosts that will use the configuration. Zero values
// are unknown and not checked.
type Hosts struct {
	// Zones lists all availability zones.
	Zones []string
	// MemoryBytes and Descriptors are those of the smallest host.
	MemoryBytes int64
	Descriptors int
}

func (h Hosts) lacksZone(zone string) bool {
	return len(h.Zones) > 0 && !slices.Contains(h.Zones, zone)
}

// FromErrors returns errors of a reader as findings.
func FromErrors(file string, errs []error) []Finding {
	var list []Finding
	for _, err := range errs {
		f := Finding{File: file, Severity: SeverityError, Message: err.Error()}
		var at *inifile.Error
		if errors.As(err, &at) {
			f = Finding{File: at.File, Line: at.Line, Section: at.Section, Key: at.Key, Severity: SeverityError, Message: at.Message}
		}
		list = append(list, f)
	}
	return list
}

// report collects findings of one file.
type report struct {
	file string
	list []Finding
}

func (r *report) warn(section, key, format string, args ...any) {
	r.list = append(r.list, Finding{File: r.file, Section: section, Key: key, Severity: SeverityWarning, Message: fmt.Sprintf(format, args...)})
}
