package process

import (
	"context"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"
)

// find returns the process of the group with the given name.
func (g *Group) find(name string) (*process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.processes {
		if p.name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("process %s is not in the group", name)
}

// Kill kills a process with SIGKILL and waits for its exit.
func (g *Group) Kill(name string) error {
	p, err := g.find(name)
	if err != nil {
		return err
	}
	p.exitExpected.Store(true)
	_ = p.cmd.Process.Kill()
	<-p.done
	return nil
}

// Shutdown stops a process with SIGTERM. It returns an error if the process
// failed or had to be killed.
func (g *Group) Shutdown(name string) error {
	p, err := g.find(name)
	if err != nil {
		return err
	}
	p.exitExpected.Store(true)
	return p.stop()
}

// Restart waits until a process has exited and starts it again. Its output is
// appended to the existing log.
func (g *Group) Restart(name string) error {
	p, err := g.find(name)
	if err != nil {
		return err
	}
	<-p.done
	g.mu.Lock()
	g.processes = slices.DeleteFunc(g.processes, func(o *process) bool { return o == p })
	g.mu.Unlock()
	return g.start(os.O_APPEND, name, p.program, p.arguments)
}

// Pause suspends a process with SIGSTOP and resumes it with SIGCONT after d or
// when ctx ends.
func (g *Group) Pause(ctx context.Context, name string, d time.Duration) error {
	p, err := g.find(name)
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
	return p.cmd.Process.Signal(syscall.SIGCONT)
}
