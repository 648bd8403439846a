package e2e

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"siskinstand.example/loadgen/faults"
)

// buildPrograms builds the programs that the scenarios start.
func buildPrograms(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	programs := map[string]string{"gateway": "siskin-gateway", "sidecar": "siskin-sidecar", "fakes": "siskin-fake", "siskinctl": "siskinctl"}
	for module, program := range programs {
		build := exec.Command("go", "build", "-o", filepath.Join(directory, program), "siskinstand.example/"+module)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
	return directory
}

// Guards against calls that run twice, false not_run verdicts, a request that
// crashes a third endpoint and streams that a shutdown cuts, on the real
// programs under a fixed schedule of faults.
func TestFaultScenarios(t *testing.T) {
	binaries := buildPrograms(t)
	for _, name := range []string{"at_most_once", "crash_request", "graceful_shutdown"} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			err := faults.Run(t.Context(), faults.Config{
				Binaries: binaries, Directory: t.TempDir(), Seed: 1, Calls: 3_000, Short: true,
				Scenarios: []string{name}, Out: &out,
			})
			if err != nil {
				t.Errorf("%v\n%s", err, out.String())
			}
		})
	}
}
