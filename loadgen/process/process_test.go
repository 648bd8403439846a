package process

import (
	"strings"
	"testing"
	"time"
)

// Guards against a process whose failure or refusal to stop goes unseen.
func TestProcessesReportFailures(t *testing.T) {
	g := NewGroup("/bin", t.TempDir())
	if err := g.Start("sleeper", "sleep", "60"); err != nil {
		t.Fatal(err)
	}
	if err := g.Early(); err != nil {
		t.Fatal(err)
	}
	if err := g.Start("failing", "false"); err != nil {
		t.Fatal(err)
	}
	var early error
	for range 500 {
		if early = g.Early(); early != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if early == nil || !strings.Contains(early.Error(), "failing ended early") {
		t.Errorf("got %v", early)
	}
	if err := g.Stop(); err == nil || !strings.Contains(err.Error(), "failing") {
		t.Errorf("got %v", err)
	}
}
