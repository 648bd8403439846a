package capacity

import (
	"fmt"
	"os"
	"strings"
)

// Marks of the part of a page that the command writes.
const (
	beginMark = "<!-- begin: siskin-load capacity -->"
	endMark   = "<!-- end: siskin-load capacity -->"
)

// replaceMarked replaces what stands between the marks.
func replaceMarked(page, text string) (string, error) {
	before, rest, found := strings.Cut(page, beginMark)
	if !found {
		return "", fmt.Errorf("the page has no line %q", beginMark)
	}
	_, after, found := strings.Cut(rest, endMark)
	if !found {
		return "", fmt.Errorf("the page has no line %q after its begin", endMark)
	}
	return before + beginMark + "\n" + strings.TrimRight(text, "\n") + "\n\n" + endMark + after, nil
}

// updatePage writes the text into the marked part of a file.
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
