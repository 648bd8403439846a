package fleetbench

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const sample = `{"G":0.6833,"fault":null,"breaks":{"LOST":2},"prices":[["machine-seconds",520.769,0.0144],["worth refused again",199.4,0.0209]],
"classes":[{"name":"long","n":41,"in_aim":21,"late":2,"refused":8,"failed":1,"not_owed":9,"worth":0.665,"p50_ms":1492.7,"p99_ms":3838.2}],
"windows":[{"name":0,"n":70,"in_aim":67,"worth":1.0,"p50_ms":125.78,"p99_ms":352.82}]}`

func TestDecode(t *testing.T) {
	// Guards against losing a rule violation or a price of the report.
	got, err := Decode([]byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	want := Report{
		Worth: 0.6833, Violations: map[string]int{"LOST": 2}, Prices: map[string]float64{"machine-seconds": 0.0144, "worth refused again": 0.0209},
		Classes: []RequestStats{{Name: "long", Requests: 41, InAim: 21, Late: 2, Refused: 8, Failed: 1, Worth: 0.665, P50MS: 1492.7, P99MS: 3838.2}},
		Windows: []RequestStats{{Name: "0", Requests: 70, InAim: 67, Worth: 1, P50MS: 125.78, P99MS: 352.82}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestRunNeedsReport(t *testing.T) {
	// Guards against counting a day without a report as a day of worth 0.
	dir := t.TempDir()
	program := filepath.Join(dir, "bench")
	day := Day{Site: "site.toml", Name: "quiet-1", Seed: 7}
	for name, script := range map[string]string{"with report": "while [ $# -gt 1 ]; do shift; done; printf '%s' '" + sample + "' > $1\n", "without report": "exit 3\n"} {
		t.Run(name, func(t *testing.T) {
			if err := os.WriteFile(program, []byte("#!/bin/sh\n"+script), 0o700); err != nil {
				t.Fatal(err)
			}
			r, err := Bench{Program: program, Checkout: dir}.Run(context.Background(), day, filepath.Join(dir, name+".json"))
			if decoded := err == nil && r.Worth == 0.6833; decoded != (name == "with report") {
				t.Errorf("got %+v, %v; want the sample if the program wrote it, otherwise an error", r, err)
			}
		})
	}
}
