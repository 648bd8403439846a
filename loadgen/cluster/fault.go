package cluster

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// find returns the running process with a name.
func (p *Processes) find(name string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.running {
		if one.name == name {
			return one, nil
		}
	}
	return nil, fmt.Errorf("no process %s is running", name)
}

// Kill ends a process with SIGKILL.
func (p *Processes) Kill(name string) error {
	one, err := p.find(name)
	if err != nil {
		return err
	}
	one.killed.Store(true)
	_ = one.cmd.Process.Kill()
	<-one.done
	return nil
}

// Shutdown ends a process with SIGTERM and returns its failure.
func (p *Processes) Shutdown(name string) error {
	one, err := p.find(name)
	if err != nil {
		return err
	}
	one.killed.Store(true)
	return one.stop()
}

// Restart starts a process again that has ended.
func (p *Processes) Restart(name string) error {
	one, err := p.find(name)
	if err != nil {
		return err
	}
	<-one.done
	p.mu.Lock()
	p.running = slices.DeleteFunc(p.running, func(o *process) bool { return o == one })
	p.mu.Unlock()
	return p.start(name, one.program, one.arguments...)
}

// Pause stops a process for a time with SIGSTOP and SIGCONT.
func (p *Processes) Pause(ctx context.Context, name string, d time.Duration) error {
	one, err := p.find(name)
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
