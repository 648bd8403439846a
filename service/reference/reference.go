// Package reference makes the committed reference pages of the programs: man
// pages and sample settings. Only tests and make man use it.
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

// pageDate stands in the head of each page. The library takes the day on which
// it runs, so that the pages would change every day.
const pageDate = "2026-12-04"

var update = flag.Bool("update", false, "write the reference pages instead of comparing them")

// ManPage returns the manual page of a parser and the keys of its settings.
func ManPage(p *flags.Parser, keys []settings.Key) []byte {
	var page bytes.Buffer
	p.WriteManPage(&page)
	_, body, _ := strings.Cut(page.String(), "\n")
	var out bytes.Buffer
	fmt.Fprintf(&out, ".TH %s 1 %s siskinstand\n%s", strings.ToUpper(p.Name), pageDate, tidy(body))
	if len(keys) > 0 {
		writeSettings(&out, keys)
	}
	return out.Bytes()
}

// tidy removes what mandoc warns of: blank lines, spaces at the end of lines
// and paragraphs without text.
func tidy(body string) string {
	var lines []string
	for line := range strings.SplitSeq(strings.TrimSpace(body), "\n") {
		line = strings.TrimRight(line, " ")
		switch {
		case line == "":
			line = ".PP"
		case strings.HasPrefix(line, "  "):
			line = ".br\n" + strings.TrimSpace(line)
		}
		if last := len(lines) - 1; last >= 0 && replaces(line, lines[last]) {
			lines = lines[:last]
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n") + "\n"
}

// replaces reports whether the macro before has no text ahead of line.
func replaces(line, before string) bool {
	paragraph := before == ".PP" || before == ".TP"
	return paragraph && (line == ".PP" || strings.HasPrefix(line, ".S") || strings.HasPrefix(line, ".TP"))
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

// AssertFile compares a committed file with what the program writes. With
// -update it writes the file.
func AssertFile(t *testing.T, path string, want []byte) {
	t.Helper()
	if *update {
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

// AssertManPage is AssertFile for a manual page, which also has to pass the
// checks of mandoc where that is installed.
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
