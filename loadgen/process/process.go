// Package process starts programs on loopback, waits until they are ready and
// ends them by their own process identifiers.
package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// stopLimit is how long a process may take to stop after SIGTERM.
const stopLimit = 30 * time.Second

// process is one started process.
type process struct {
	name      string
	program   string
	arguments []string
	cmd       *exec.Cmd
	// killed is set before a fault ends the process.
	killed atomic.Bool
	// done is closed when the process has ended, with its result in err.
	done chan struct{}
	err  error
}

// Group is a set of processes in order of their start. It is safe for
// concurrent use.
type Group struct {
	binaries  string
	directory string

	mu      sync.Mutex
	running []*process
	// ended receives a process that ended before Stop was called.
	ended chan *process
}

// NewGroup returns a group without processes. Programs are taken from the
// directory binaries; logs go to the other directory.
func NewGroup(binaries, directory string) *Group {
	const maxProcesses = 1024
	return &Group{binaries: binaries, directory: directory, ended: make(chan *process, maxProcesses)}
}

// Start runs a program with its output in a log file named after the process.
func (g *Group) Start(name, program string, arguments ...string) error {
	return g.start(os.O_TRUNC, name, program, arguments)
}

func (g *Group) start(mode int, name, program string, arguments []string) error {
	log, err := os.OpenFile(filepath.Join(g.directory, name+".log"), os.O_CREATE|os.O_WRONLY|mode, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(g.binaries, program), arguments...)
	cmd.Stdout, cmd.Stderr = log, log
	// Signals from the terminal go to the caller only, which stops its processes
	// in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	one := &process{name: name, program: program, arguments: arguments, cmd: cmd, done: make(chan struct{})}
	g.mu.Lock()
	g.running = append(g.running, one)
	g.mu.Unlock()
	go func() {
		one.err = cmd.Wait()
		close(one.done)
		if !one.killed.Load() {
			g.ended <- one
		}
	}()
	return nil
}

// Early returns an error if a process has ended before Stop was called.
func (g *Group) Early() error {
	select {
	case one := <-g.ended:
		return fmt.Errorf("%s ended early: %w; see %s", one.name, one.err, filepath.Join(g.directory, one.name+".log"))
	default:
		return nil
	}
}

// Stop ends all processes in reverse order of their start, so that gateways
// drain before the sidecars and engines that they need. It returns an error if
// a process failed or had to be killed.
func (g *Group) Stop() error {
	g.mu.Lock()
	running := g.running
	g.running = nil
	g.mu.Unlock()
	var first error
	for i := len(running) - 1; i >= 0; i-- {
		if err := running[i].stop(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// StopConcurrently ends all processes at once and returns the first error in order
// of their start.
func (g *Group) StopConcurrently() error {
	g.mu.Lock()
	running := g.running
	g.running = nil
	g.mu.Unlock()
	errs := make([]error, len(running))
	var all sync.WaitGroup
	for i, one := range running {
		all.Go(func() { errs[i] = one.stop() })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// PIDs returns the identifiers of the running processes by name.
func (g *Group) PIDs() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := map[string]int{}
	for _, one := range g.running {
		ids[one.name] = one.cmd.Process.Pid
	}
	return ids
}

func (one *process) stop() error {
	_ = one.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-one.done:
	case <-time.After(stopLimit):
		_ = one.cmd.Process.Kill()
		<-one.done
		return fmt.Errorf("%s did not stop within %s", one.name, stopLimit)
	}
	if one.err != nil {
		return fmt.Errorf("%s: %w", one.name, one.err)
	}
	return nil
}

// FreeAddresses returns loopback addresses with free ports.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// All listeners stay open until the end, so that no port is given twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// AwaitReady waits until GET url answers 200.
func (g *Group) AwaitReady(ctx context.Context, name, url string) error {
	const limit = 20 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var last error
	for {
		if err := g.Early(); err != nil {
			return err
		}
		var status int
		if status, last = probe(ctx, url); status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready after %s: status %d, %w", name, limit, status, last)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func probe(ctx context.Context, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}
