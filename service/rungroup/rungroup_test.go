package rungroup

import (
	"context"
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a task that continues after another one has failed.
func TestTasksStopTogether(t *testing.T) {
	var g Group
	stopped := make(chan struct{})
	g.Add("listener", func(ctx context.Context) error {
		<-ctx.Done()
		close(stopped)
		return nil
	})
	g.Add("control", func(context.Context) error { return errors.New("broken") })
	err := g.Run()
	if err == nil || !strings.Contains(err.Error(), "control: broken") {
		t.Errorf("Run() = %v, want control: broken", err)
	}
	<-stopped
}

// Guards against a process that is killed by a signal because its listeners already accept
// connections while the task that handles signals has not started yet.
func TestSignalBeforeTasksStart(t *testing.T) {
	var g Group
	drained := false
	g.AddSignalHandler(func(context.Context) { drained = true })
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := g.Run(); err != nil || !drained {
		t.Errorf("Run() = %v, drained: %t; want a drain", err, drained)
	}
}

// Guards against a repeated SIGTERM that ends a drain, and against a drain that a SIGINT does
// not end.
func TestSignalsDuringDrain(t *testing.T) {
	send := func(s syscall.Signal) {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	var g Group
	g.AddSignalHandler(func(ctx context.Context) {
		send(syscall.SIGTERM)
		send(syscall.SIGTERM)
		if ctx.Err() != nil {
			t.Error("a repeated SIGTERM ended the drain")
		}
		send(syscall.SIGINT)
		if ctx.Err() == nil {
			t.Error("SIGINT did not end the drain")
		}
	})
	send(syscall.SIGTERM)
	if err := g.Run(); err != nil {
		t.Errorf("Run() = %v", err)
	}
}
