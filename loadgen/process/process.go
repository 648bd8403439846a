// Package process starts programs, waits until they are ready and stops them by
// process ID.
package process

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"siskinstand.example/fakes/loopback"
)

// stopTimeout bounds the time from SIGTERM to the exit of a process.
const stopTimeout = 30 * time.Second

type process struct {
	name      string
	program   string
	arguments []string
	cmd       *exec.Cmd
	// exitExpected is set before Kill or Shutdown ends the process, so that its
	// exit doesn't count as early.
	exitExpected atomic.Bool
	// done is closed after the process has exited and err is set.
	done chan struct{}
	err  error
}

// Group is a set of processes in start order. It is safe for concurrent use.
type Group struct {
	binaries  string
	directory string

	mu        sync.Mutex
	processes []*process
	// earlyExits receives each process that exits, unless Kill or Shutdown ended it.
	earlyExits chan *process
}

// NewGroup returns an empty group. Programs are looked up in binaries; logs are
// written to directory.
func NewGroup(binaries, directory string) *Group {
	const maxProcesses = 1024
	return &Group{binaries: binaries, directory: directory, earlyExits: make(chan *process, maxProcesses)}
}

// Start starts a program and writes its output to a log file named after the
// process.
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
	// In its own process group, the process gets no signals from the terminal. The
	// caller stops its processes in order instead.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	p := &process{name: name, program: program, arguments: arguments, cmd: cmd, done: make(chan struct{})}
	g.mu.Lock()
	g.processes = append(g.processes, p)
	g.mu.Unlock()
	go func() {
		p.err = cmd.Wait()
		close(p.done)
		if !p.exitExpected.Load() {
			g.earlyExits <- p
		}
	}()
	return nil
}

// EarlyExit returns an error if a process has exited without Kill or Shutdown, and
// reports each exit only once. It must be called before Stop and StopConcurrently,
// which do not mark the exits as expected.
func (g *Group) EarlyExit() error {
	select {
	case p := <-g.earlyExits:
		return fmt.Errorf("%s ended early: %w; see %s", p.name, p.err, filepath.Join(g.directory, p.name+".log"))
	default:
		return nil
	}
}

// Stop stops all processes in reverse start order, so that gateways drain before
// the sidecars and engines that they depend on. It returns the first error of a
// process that failed or had to be killed, also if Kill ended it and it was not
// started again.
func (g *Group) Stop() error {
	g.mu.Lock()
	processes := g.processes
	g.processes = nil
	g.mu.Unlock()
	var first error
	for i := len(processes) - 1; i >= 0; i-- {
		if err := processes[i].stop(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// StopConcurrently stops all processes at the same time. It returns the same kinds
// of errors as Stop, the first one in start order.
func (g *Group) StopConcurrently() error {
	g.mu.Lock()
	processes := g.processes
	g.processes = nil
	g.mu.Unlock()
	errs := make([]error, len(processes))
	var all sync.WaitGroup
	for i, p := range processes {
		all.Go(func() { errs[i] = p.stop() })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// PIDs returns the process IDs by process name, including those of processes that
// have exited.
func (g *Group) PIDs() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := map[string]int{}
	for _, p := range g.processes {
		ids[p.name] = p.cmd.Process.Pid
	}
	return ids
}

func (p *process) stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
		return fmt.Errorf("%s did not stop within %s", p.name, stopTimeout)
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.name, p.err)
	}
	return nil
}

// FreeAddresses returns n loopback addresses with different IPs and free ports.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// AwaitReady waits until a GET of url returns status 200. It fails after 20 s or
// when a process of the group exits early.
func (g *Group) AwaitReady(ctx context.Context, name, url string) error {
	const readyTimeout = 20 * time.Second
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var last error
	for {
		if err := g.EarlyExit(); err != nil {
			return err
		}
		var status int
		if status, last = getStatus(ctx, url); status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready after %s: status %d, %w", name, readyTimeout, status, last)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func getStatus(ctx context.Context, url string) (int, error) {
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
