// Package reference generates the committed reference files of the programs: manual
// pages and sample settings. It is only used in tests and by make man.
package reference

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"

	"siskinstand.example/service/settings"
)

// manPageDate is the date in the header of each page. It replaces the current date,
// which the library inserts and which would change the pages every day.
const manPageDate = "2026-12-04"

var updateFiles = flag.Bool("update", false, "write the reference pages instead of comparing them")

// ManPage returns the manual page for the options of a parser and the keys of a
// settings file.
func ManPage(p *flags.Parser, keys []settings.Key) []byte {
	var page bytes.Buffer
	p.WriteManPage(&page)
	_, body, _ := strings.Cut(page.String(), "\n")
	var out bytes.Buffer
	fmt.Fprintf(&out, ".TH %s 1 %s siskinstand\n%s", strings.ToUpper(p.Name), manPageDate, fixMandocWarnings(body))
	if len(keys) > 0 {
		writeSettings(&out, keys)
	}
	return out.Bytes()
}

// fixMandocWarnings rewrites what mandoc warns about: blank lines, trailing spaces,
// indented lines and paragraphs without text.
func fixMandocWarnings(body string) string {
	var lines []string
	for line := range strings.SplitSeq(strings.TrimSpace(body), "\n") {
		line = strings.TrimRight(line, " ")
		switch {
		case line == "":
			line = ".PP"
		case strings.HasPrefix(line, "  "):
			line = ".br\n" + strings.TrimSpace(line)
		}
		if last := len(lines) - 1; last >= 0 && followsEmptyMacro(line, lines[last]) {
			lines = lines[:last]
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n") + "\n"
}

// followsEmptyMacro reports whether the previous line is a paragraph macro that has
// no text before line.
func followsEmptyMacro(line, previous string) bool {
	isParagraph := previous == ".PP" || previous == ".TP"
	return isParagraph && (line == ".PP" || strings.HasPrefix(line, ".S") || strings.HasPrefix(line, ".TP"))
}

func writeSettings(out *bytes.Buffer, keys []settings.Key) {
	fmt.Fprintln(out, ".SH SETTINGS")
	fmt.Fprintln(out, "The settings file is in INI format. Durations are a number with a unit, such as 250ms, 10s or 1h.")
	section := ""
	for _, k := range keys {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(out, ".SS [%s]\n", section)
		}
		value := "default: " + k.Default
		switch {
		case k.Required:
			value = "required"
		case k.Default == "":
			value = "default: empty"
		}
		fmt.Fprintf(out, ".TP\n\\fB%s\\fR (%s)\n%s\n", k.Name, value, strings.ReplaceAll(k.Description, `\`, `\e`))
	}
}

// AssertFile fails the test if a committed file differs from want, the output of the
// program. With the flag -update, it writes the file instead.
func AssertFile(t *testing.T, path string, want []byte) {
	t.Helper()
	if *updateFiles {
		if err := os.WriteFile(path, want, 0o644); err != nil { //nolint:gosec // a public page
			t.Fatal(err)
		}
		return
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from what the program writes; run make man", path)
	}
}

// AssertManPage is like AssertFile for a manual page. The page must also pass the
// checks of mandoc if that is installed.
func AssertManPage(t *testing.T, path string, p *flags.Parser, keys []settings.Key) {
	t.Helper()
	AssertFile(t, path, ManPage(p, keys))
	mandoc, err := exec.LookPath("mandoc")
	if err != nil {
		t.Log("mandoc is not installed; the page is not checked")
		return
	}
	if out, err := exec.Command(mandoc, "-T", "lint", "-W", "warning", path).CombinedOutput(); err != nil || len(out) > 0 {
		t.Errorf("mandoc -T lint: %v\n%s", err, out)
	}
}
