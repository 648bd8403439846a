package capacity

import (
	"fmt"
	"os"
	"strings"
)

// Markers around the section of a page that the command writes.
const (
	beginMarker = "<!-- begin: siskin-load capacity -->"
	endMarker   = "<!-- end: siskin-load capacity -->"
)

// replaceMarked replaces the text between the markers.
func replaceMarked(page, text string) (string, error) {
	before, rest, found := strings.Cut(page, beginMarker)
	if !found {
		return "", fmt.Errorf("begin marker %q not found", beginMarker)
	}
	_, after, found := strings.Cut(rest, endMarker)
	if !found {
		return "", fmt.Errorf("end marker %q not found after the begin marker", endMarker)
	}
	return before + beginMarker + "\n" + strings.TrimRight(text, "\n") + "\n\n" + endMarker + after, nil
}

// updatePage replaces the text between the markers of a file.
func updatePage(path, text string) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	updated, err := replaceMarked(string(page), text)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(updated), 0o644)
}
