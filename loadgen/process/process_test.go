package process

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against unreported failures: a process that exits early or fails on
// Stop.
func TestProcessesReportFailures(t *testing.T) {
	g := NewGroup("/bin", t.TempDir())
	if err := g.Start("sleeper", "sleep", "60"); err != nil {
		t.Fatal(err)
	}
	if err := g.EarlyExit(); err != nil {
		t.Fatal(err)
	}
	if err := g.Start("failing", "false"); err != nil {
		t.Fatal(err)
	}
	var early error
	for range 500 {
		if early = g.EarlyExit(); early != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if early == nil || !strings.Contains(early.Error(), "failing ended early") {
		t.Errorf("EarlyExit: got %v, want an error that names the failing process", early)
	}
	if err := g.Stop(); err == nil || !strings.Contains(err.Error(), "failing") {
		t.Errorf("Stop: got %v, want an error that names the failing process", err)
	}
}

// Guards against reporting a deliberate kill as an early exit, and against a
// restart that truncates the log.
func TestKilledProcessStartsAgain(t *testing.T) {
	directory := t.TempDir()
	g := NewGroup("/bin", directory)
	if err := g.Start("speaker", "sh", "-c", "echo started; exec sleep 60"); err != nil {
		t.Fatal(err)
	}
	log := filepath.Join(directory, "speaker.log")
	for starts := 1; starts <= 2; starts++ {
		for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
			if text, _ := os.ReadFile(log); strings.Count(string(text), "started") == starts {
				break
			}
		}
		if err := g.Pause(t.Context(), "speaker", time.Millisecond); err != nil {
			t.Fatal(err)
		}
		if err := g.Kill("speaker"); err != nil {
			t.Fatal(err)
		}
		if err := g.Restart("speaker"); err != nil {
			t.Fatal(err)
		}
	}
	if text, err := os.ReadFile(log); err != nil || strings.Count(string(text), "started") < 2 {
		t.Errorf("got log %q, %v; want the output of two starts", text, err)
	}
	if err := errors.Join(g.EarlyExit(), g.Kill("speaker")); err != nil {
		t.Error(err)
	}
}
