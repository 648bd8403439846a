package report

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// Guards against wrong quantiles, counts or reasons in the output, and against a
// plot without data.
func TestReport(t *testing.T) {
	var results []load.Result
	for i := range 100 {
		item := mix.Item{Class: mix.Class1k}
		results = append(results, load.Result{Item: item, Outcome: load.Complete, TimeToFirstToken: time.Duration(i+1) * time.Millisecond})
	}
	results = append(results, load.Result{Item: mix.Item{Class: mix.ClassPlain}, Outcome: load.NotRun, Reason: "overloaded"})
	rows := Summarize(results)
	if got := rows[0].Quantile(0.95).Round(time.Millisecond); got != 95*time.Millisecond {
		t.Errorf("p95 is %s, want 95ms", got)
	}
	var out bytes.Buffer
	if err := WriteTable(&out, rows); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	if got := strings.Fields(lines[1]); got[0] != "1k" || got[1] != "100" || got[5] != "100" {
		t.Errorf("got line %q, want class 1k with 100 requests, all whole", lines[1])
	}
	if got := strings.Fields(lines[2]); got[0] != "plain" || got[2] != "-" || got[6] != "1" {
		t.Errorf("got line %q, want class plain without times and with 1 not_run", lines[2])
	}
	out.Reset()
	WriteFailureReasons(&out, results)
	if got := out.String(); got != "not_run: overloaded: 1\n" {
		t.Errorf("got reasons %q, want one line for overloaded", got)
	}
	path := filepath.Join(t.TempDir(), "plot.svg")
	if err := SavePlot(path, rows); err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile(path); err != nil || !bytes.Contains(data, []byte("<svg")) {
		t.Errorf("got a plot of %d bytes and error %v, want an SVG", len(data), err)
	}
	if err := SavePlot(path, rows[1:]); err == nil {
		t.Error("plot without data: got no error, want one")
	}
}
