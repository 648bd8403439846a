package e2e

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var (
	makeCommand = regexp.MustCompile("(?:`|\\$ )make ([a-z][a-z-]*)")
	pageLink    = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	folderRow   = regexp.MustCompile("(?m)^\\| (`[^|]+/`) \\|")
)

// Guards against pages that mention a make target or link to a file that does not
// exist.
func TestPagesReferToExistingFiles(t *testing.T) {
	makefile := readFile(t, "../Makefile")
	pages := []string{"../README.md", "../CONTRIBUTING.md", "../ARCHITECTURE.md"}
	for _, pattern := range []string{"../docs/*.md", "../docs/*/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil || len(found) == 0 {
			t.Fatalf("no pages match %s: %v", pattern, err)
		}
		pages = append(pages, found...)
	}
	for _, page := range pages {
		text := readFile(t, page)
		for _, m := range makeCommand.FindAllStringSubmatch(text, -1) {
			if !strings.Contains(makefile, "\n"+m[1]+":") {
				t.Errorf("%s: there is no make target %s", page, m[1])
			}
		}
		for _, m := range pageLink.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), m[1])); err != nil {
				t.Errorf("%s: link to %s: %v", page, m[1], err)
			}
		}
	}
}

// Guards against a README that lacks its two commands, contains an example call
// that the demo refuses, or lists folders that do not exist.
func TestReadme(t *testing.T) {
	readme, layout := readFile(t, "../README.md"), readFile(t, "../loadgen/cluster/layout.go")
	for _, command := range []string{"$ make demo\n", "$ make test\n"} {
		if !strings.Contains(readme, command) {
			t.Errorf("README.md lacks the command %q", command)
		}
	}
	for _, part := range []string{"Bearer demo-token'", `"model":"siskin-small"`, "http://127.0.0.1:8080/"} {
		if !strings.Contains(readme, part) {
			t.Errorf("the example call lacks %q", part)
		}
	}
	for _, declared := range []string{`= "demo-token"`, `= "siskin-small"`, `= "siskinctl.ini"`} {
		if !strings.Contains(layout, declared) {
			t.Errorf("the demo no longer declares %q, which README.md uses", declared)
		}
	}
	if !strings.Contains(readFile(t, "../Makefile"), "CALLERS     ?= 127.0.0.1:8080\n") {
		t.Error("the address in README.md is not the default CALLERS address of make run")
	}
	rows := folderRow.FindAllStringSubmatch(readme, -1)
	if len(rows) < 7 {
		t.Errorf("README.md lists %d rows of folders, want at least 7", len(rows))
	}
	for _, row := range rows {
		for name := range strings.SplitSeq(row[1], ", ") {
			if _, err := os.Stat("../" + strings.Trim(name, "`")); err != nil {
				t.Errorf("README.md: %v", err)
			}
		}
	}
}
