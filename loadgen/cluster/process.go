package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// stopLimit is how long a process may take to stop after SIGTERM.
const stopLimit = 30 * time.Second

// process is one process that a cluster started.
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

// Processes are all processes of a cluster, in order of their start.
type Processes struct {
	binaries  string
	directory string

	mu      sync.Mutex
	running []*process
	// ended receives a process that ended before stop was called.
	ended chan *process
}

func newProcesses(binaries, directory string) *Processes {
	const maxProcesses = 1024
	return &Processes{binaries: binaries, directory: directory, ended: make(chan *process, maxProcesses)}
}

// start runs a program with its output in a log file named after the process.
func (p *Processes) start(name, program string, arguments ...string) error {
	log, err := os.OpenFile(filepath.Join(p.directory, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(p.binaries, program), arguments...)
	cmd.Stdout, cmd.Stderr = log, log
	// Signals from the terminal go to the tool only, which stops its processes
	// in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	one := &process{name: name, program: program, arguments: arguments, cmd: cmd, done: make(chan struct{})}
	p.mu.Lock()
	p.running = append(p.running, one)
	p.mu.Unlock()
	go func() {
		one.err = cmd.Wait()
		close(one.done)
		if !one.killed.Load() {
			p.ended <- one
		}
	}()
	return nil
}

// Early returns an error if a process has ended before stop was called.
func (p *Processes) Early() error {
	select {
	case one := <-p.ended:
		return fmt.Errorf("%s ended early: %w; see %s", one.name, one.err, filepath.Join(p.directory, one.name+".log"))
	default:
		return nil
	}
}

// stop ends all processes in reverse order of their start, so that gateways
// drain before the sidecars and engines that they need. It returns an error if
// a process failed or had to be killed.
func (p *Processes) stop() error {
	p.mu.Lock()
	running := p.running
	p.running = nil
	p.mu.Unlock()
	var first error
	for i := len(running) - 1; i >= 0; i-- {
		if err := running[i].stop(); err != nil && first == nil {
			first = err
		}
	}
	return first
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

// Control runs siskinctl with the store and returns an error with its output.
func (c *Cluster) Control(ctx context.Context, arguments ...string) error {
	_, err := c.ControlOutput(ctx, arguments...)
	return err
}

// ControlOutput is Control with the command's output.
func (c *Cluster) ControlOutput(ctx context.Context, arguments ...string) (string, error) {
	arguments = append([]string{"--store", c.Layout.Store}, arguments...)
	out, err := exec.CommandContext(ctx, filepath.Join(c.config.Binaries, "siskinctl"), arguments...).CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("siskinctl %s: %w\n%s", strings.Join(arguments, " "), err, out)
	}
	return string(out), nil
}

// Ports come from below the range from which the kernel takes those of outgoing
// connections, so that a process that was killed can listen on its port again.
// Each cluster has a block of them, so that clusters that run at the same time
// don't take the port of a process that is down.
const (
	firstPort  = 10_000
	blockPorts = 1_000
	blocks     = 22
)

// block is a range of ports, reserved by a listener on its first one.
type block struct {
	reservation net.Listener
	first       int
}

func reserveBlock() (*block, error) {
	start := rand.IntN(blocks)
	for i := range blocks {
		first := firstPort + (start+i)%blocks*blockPorts
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return &block{listener, first}, nil
		}
	}
	return nil, fmt.Errorf("no block of ports is free")
}

// addresses returns loopback addresses with free ports.
func (b *block) addresses(n int) ([]string, error) {
	var list []string
	for port := b.first + 1; port < b.first+blockPorts && len(list) < n; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			list = append(list, address)
		}
	}
	if len(list) < n {
		return nil, fmt.Errorf("only %d of %d ports are free", len(list), n)
	}
	return list, nil
}

// awaitReady waits until GET url answers 200.
func (p *Processes) awaitReady(ctx context.Context, name, url string) error {
	const limit = 20 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var last error
	for {
		if err := p.Early(); err != nil {
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
