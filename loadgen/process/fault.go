package process

import (
	"context"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"
)

// find returns the running process with a name.
func (g *Group) find(name string) (*process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, one := range g.running {
		if one.name == name {
			return one, nil
		}
	}
	return nil, fmt.Errorf("no process %s is running", name)
}

// Kill ends a process with SIGKILL.
func (g *Group) Kill(name string) error {
	one, err := g.find(name)
	if err != nil {
		return err
	}
	one.killed.Store(true)
	_ = one.cmd.Process.Kill()
	<-one.done
	return nil
}

// Shutdown ends a process with SIGTERM and returns its failure.
func (g *Group) Shutdown(name string) error {
	one, err := g.find(name)
	if err != nil {
		return err
	}
	one.killed.Store(true)
	return one.stop()
}

// Restart starts a process again that has ended. Its log is continued.
func (g *Group) Restart(name string) error {
	one, err := g.find(name)
	if err != nil {
		return err
	}
	<-one.done
	g.mu.Lock()
	g.running = slices.DeleteFunc(g.running, func(o *process) bool { return o == one })
	g.mu.Unlock()
	return g.start(os.O_APPEND, name, one.program, one.arguments)
}

// Pause stops a process for a time with SIGSTOP and SIGCONT.
func (g *Group) Pause(ctx context.Context, name string, d time.Duration) error {
	one, err := g.find(name)
	if err != nil {
		return err
	}
	if err := one.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return one.cmd.Process.Signal(syscall.SIGCONT)
}
