package e2e

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"siskinstand.example/loadgen/faults"
)

// buildPrograms builds the programs that the scenarios start and returns their
// directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	programs := map[string]string{"gateway": "siskin-gateway", "sidecar": "siskin-sidecar", "fakes": "siskin-fake", "siskinctl": "siskinctl"}
	for module, program := range programs {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, program), "siskinstand.example/"+module)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
	return dir
}

// Guards against non-repeatable calls that run twice, wrong not_run verdicts, and streams that a
// shutdown interrupts. It runs the real programs under a fixed schedule of faults. The scenario
// crash_request is in KNOWN-RED.txt; see TestCrashRequestScenario.
func TestFaultScenarios(t *testing.T) {
	programDir := buildPrograms(t)
	for _, name := range []string{"at_most_once", "graceful_shutdown"} {
		t.Run(name, func(t *testing.T) { checkScenario(t, programDir, name) })
	}
}

func checkScenario(t *testing.T, programDir, name string) {
	t.Helper()
	var out strings.Builder
	err := faults.Run(t.Context(), faults.Config{
		Binaries: programDir, Directory: t.TempDir(), Seed: 1, Calls: 3_000, Short: true,
		Scenarios: []string{name}, Out: &out,
	})
	if err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
}
