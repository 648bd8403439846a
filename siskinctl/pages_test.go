package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"siskinstand.example/peerpb"
	"siskinstand.example/service/burnrate"
)

const pagesDir = "../docs/operators"

// Tables in the store before the commands of a page run.
const (
	pageRoutes = "[account order-desk]\ntoken_sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\n" +
		"weight = 4\n[route chat]\naccounts = order-desk\nmodel = siskin-small\npool = chat\n"
	pagePools = "[pool chat]\nkind = model\nservice = engine\nmodel = siskin-small\n[zone zilina-a]\nstate = in\n[zone zilina-b]\nstate = in\n"
)

func readPages(t *testing.T) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(pagesDir + "/*.md")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no pages in %s: %v", pagesDir, err)
	}
	pages := map[string]string{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		pages[filepath.Base(path)] = string(text)
	}
	return pages
}

// pageCommands returns the arguments of the siskinctl commands in the console
// blocks of a page.
func pageCommands(text string) []string {
	var commands []string
	inConsole := false
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "```") {
			inConsole = line == "```console"
			continue
		}
		if command, ok := strings.CutPrefix(line, "$ siskinctl"); ok && inConsole {
			commands = append(commands, strings.TrimSpace(command))
		}
	}
	return commands
}

var pageWord = regexp.MustCompile(`"[^"]*"|[^\s"]+`)

// splitCommand returns the arguments of a command and the file that its output
// is redirected to.
func splitCommand(t *testing.T, line string) (words []string, file string) {
	t.Helper()
	line, file, _ = strings.Cut(line, " > ")
	for _, w := range pageWord.FindAllString(line, -1) {
		w = strings.Trim(w, `"`)
		if strings.ContainsAny(w, "$`|<>&;'\\") {
			t.Fatalf("%q needs a shell, but this test runs without one", line)
		}
		words = append(words, w)
	}
	return words, file
}

// pagePeer is a gateway that implements Burn, Status and Snapshot.
type pagePeer struct {
	burnPeer
	status *peerpb.StatusResponse
}

func (p pagePeer) Status(ctx context.Context, r *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	return stubPeer{status: p.status}.Status(ctx, r)
}

func (p pagePeer) Snapshot(r *peerpb.SnapshotRequest, stream peerpb.Peer_SnapshotServer) error {
	return stubPeer{status: p.status}.Snapshot(r, stream)
}

// newPageFixture starts a store that contains pageRoutes and pagePools, and two
// gateways. The document that pages check is config.json.
func newPageFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.writeFile("config.json", `{"version":1}`)
	f.run(exitOK, "accepted", "apply", "--base", "0", "--routes", f.writeFile("r.ini", pageRoutes), "--pools", f.writeFile("p.ini", pagePools))
	for i := range 2 {
		recorder := burnrate.New(burnrate.Config{})
		recorder.RecordAnswer(burnrate.Key{Account: "order-desk", Service: "siskin-small", Class: "1k"}, burnrate.DefaultFirstTokenLimit, i == 0)
		f.args = append(f.args, "--gateway", servePeer(t, pagePeer{burnPeer{recorder: recorder}, &peerpb.StatusResponse{
			Sender: &peerpb.Sender{ProcessId: fmt.Sprintf("gateway-%d", i+1), Zone: "zilina-a", ConfigRevision: 1}, Role: "gateway", State: "serving",
		}}))
	}
	return f
}

// Guards against pages with commands that siskinctl no longer accepts. The
// commands of each page run in order on the same initial tables, and all must
// succeed.
func TestPageCommands(t *testing.T) {
	count := 0
	for name, text := range readPages(t) {
		t.Run(name, func(t *testing.T) {
			f := newPageFixture(t)
			t.Chdir(f.dir)
			for _, line := range pageCommands(text) {
				count++
				words, file := splitCommand(t, line)
				out := f.run(exitOK, "", words...)
				if file != "" {
					f.writeFile(file, out)
				}
			}
		})
	}
	if count < 20 {
		t.Errorf("%d commands found on the pages; the search for them is broken", count)
	}
}

// readSources returns the concatenated Go files of the modules without tests.
func readSources(t *testing.T, modules ...string) string {
	t.Helper()
	var code strings.Builder
	for _, module := range modules {
		err := filepath.WalkDir("../"+module, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			code.Write(data)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return code.String()
}

var (
	codeSpan       = regexp.MustCompile("`([^`\n]+)`")
	codeName       = regexp.MustCompile(`^[a-z]+(_[a-z0-9]+)+$`)
	labelledMetric = regexp.MustCompile(`^([a-z_]+)\{([a-z_]+)="([a-z_]+)"\}$`)
	citedExitCode  = regexp.MustCompile(`exit codes? (\d)(?: or (\d))?`)
	metricName     = regexp.MustCompile(`^(gateway|sidecar|siskin_edge)_([a-z_]+)$`)
)

// edgeProgram is mentioned on the pages about it, whose names are those of that program.
const edgeProgram = "`siskin-edge`"

// isRegisteredMetric reports whether the program that the name's prefix denotes
// registers the metric.
func isRegisteredMetric(t *testing.T, name string) bool {
	m := metricName.FindStringSubmatch(name)
	return m != nil && regexp.MustCompile(`(Gauge|Counter|Histogram|Timer)\("`+m[2]+`"`).MatchString(readSources(t, strings.TrimPrefix(m[1], "siskin_")))
}

// findUnknownNames returns the names in a page's code spans that are neither a
// metric, a tag nor a string literal in the code of the programs.
func findUnknownNames(t *testing.T, code, text string) []string {
	var unknown []string
	for _, span := range codeSpan.FindAllStringSubmatch(text, -1) {
		if m := labelledMetric.FindStringSubmatch(span[1]); m != nil {
			if !isRegisteredMetric(t, m[1]) || !strings.Contains(code, `{"`+m[2]+`": `) || !strings.Contains(code, `"`+m[3]+`"`) {
				unknown = append(unknown, span[1])
			}
			continue
		}
		for word := range strings.FieldsSeq(span[1]) {
			word = strings.Trim(word, `="`)
			if codeName.MatchString(word) && !strings.Contains(code, `"`+word+`"`) && !isRegisteredMetric(t, word) {
				unknown = append(unknown, word)
			}
		}
	}
	return unknown
}

// Guards against pages that mention a metric, tag, reason, alarm, setting or exit
// code that does not exist in the programs.
func TestPageNames(t *testing.T) {
	code := readSources(t, "coord", "gateway", "sidecar", "service", "siskinctl")
	if got := findUnknownNames(t, code, "`gateway_bogus{pool=\"x\"}` and `no_such_reason`"); len(got) != 2 {
		t.Errorf("findUnknownNames returned %q, want both unknown names", got)
	}
	edgeCode := readSources(t, "coord", "edge", "service")
	if got := findUnknownNames(t, edgeCode, "`siskin_edge_answers` and `siskin_edge_bogus`"); len(got) != 1 {
		t.Errorf("findUnknownNames returned %q, want the unknown metric of siskin-edge", got)
	}
	for page, text := range readPages(t) {
		known := code
		if strings.Contains(text, edgeProgram) {
			known = edgeCode
		}
		for _, name := range findUnknownNames(t, known, text) {
			t.Errorf("%s: name %s does not exist in any program", page, name)
		}
		for _, cited := range citedExitCode.FindAllStringSubmatch(text, -1) {
			for _, number := range cited[1:] {
				if number != "" && !strings.Contains(exitHelp, "\n  "+number+"  ") {
					t.Errorf("%s: there is no exit code %s", page, number)
				}
			}
		}
	}
}

// Guards against alarms and invariants that are missing from alarms.md.
func TestAlarmsPageIsComplete(t *testing.T) {
	page := readPages(t)["alarms.md"]
	declared := regexp.MustCompile(`Name\s+= "([a-z_]+)"`)
	for _, path := range []string{"../gateway/kvstore/alarms.go", "../coord/invariant/invariant.go"} {
		code, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		found := declared.FindAllStringSubmatch(string(code), -1)
		if len(found) < 3 {
			t.Errorf("%s: %d names found; the search for them is broken", path, len(found))
		}
		for _, m := range found {
			if name := m[1]; !strings.Contains(page, "| `"+name+"` |") {
				t.Errorf("alarms.md does not list %s", name)
			}
		}
	}
}
