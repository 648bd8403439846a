package inifile

import (
	"bytes"
	"errors"
	"strings"
)

// maxErrors is the maximum number of syntax errors that ParseAll collects from a file.
const maxErrors = 50

// ParseAll parses an INI file like Parse and collects up to maxErrors errors. The
// sections are those that remain without the lines in error; a section whose header is
// in error is left out completely.
func ParseAll(file string, data []byte) ([]Section, []error) {
	lines := bytes.Split(data, []byte("\n"))
	var errs []error
	for len(errs) < maxErrors {
		sections, err := Parse(file, bytes.Join(lines, []byte("\n")))
		if err == nil {
			return sections, errs
		}
		errs = append(errs, err)
		var at *Error
		if !errors.As(err, &at) || at.Line < 1 || at.Line > len(lines) || len(lines[at.Line-1]) == 0 {
			break
		}
		blankError(lines, at.Line-1)
	}
	return nil, errs
}

// blankError empties the line in error and, if it is a section header, all lines of the
// section, which would otherwise count as part of the section before.
func blankError(lines [][]byte, i int) {
	isHeader := func(line []byte) bool {
		return strings.HasPrefix(strings.TrimSpace(strings.TrimPrefix(string(line), "\ufeff")), "[")
	}
	header := isHeader(lines[i])
	lines[i] = nil
	for i++; header && i < len(lines) && !isHeader(lines[i]); i++ {
		lines[i] = nil
	}
}
