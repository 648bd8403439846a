package cases

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The processes end with the thread that started them, so main keeps its thread.
func init() { runtime.LockOSThread() }

// EdgeConfig describes one entry host.
type EdgeConfig struct {
	Name, Zone   string
	Zones        string // as in the settings: zone=region, separated by spaces
	StoreAddress string
	// Dir holds the settings and the log of the process.
	Dir string
}

// Edge is one entry host: a process of the program of the deploy file.
type Edge struct {
	Config                         EdgeConfig
	Callers, Ready, Peers, Metrics string

	cmd  *exec.Cmd
	done chan struct{}
}

// Ports of the stand-ins and hosts are below the range from which systems usually take the
// ports of outgoing connections, so that a process can be started again at its address.
const (
	firstPort = 20000
	portCount = 11000
)

var (
	portMu   sync.Mutex
	nextPort = os.Getpid() * 97 % portCount
)

// FreeAddress returns a free loopback address, another one at each call.
func FreeAddress() string {
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		nextPort = (nextPort + 1) % portCount
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	panic("no free port")
}

// NewEdge chooses the addresses of a host.
func NewEdge(c EdgeConfig) *Edge {
	return &Edge{Config: c, Callers: FreeAddress(), Ready: FreeAddress(), Peers: FreeAddress(), Metrics: FreeAddress()}
}

// program is the program that the deploy file builds and runs.
func program() string {
	wd, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	for dir := wd; dir != "/"; dir = filepath.Dir(dir) {
		if p := filepath.Join(dir, "target", "siskin-edge"); isFile(p) {
			return p
		}
	}
	return "target/siskin-edge"
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

// Start starts the process with the settings that the template of the deploy file gives.
func (e *Edge) Start() error {
	text := fmt.Sprintf(`[process]
id = %s
zone = %s
region = r1
cores = 0.304
zones = %s

[callers]
address = %s
ready_address = %s

[store]
address = %s
reads_per_second = 2000

[peers]
address = %s

[bounds]
key_age = 5000ms
apply_time = 2000ms
retry_share = 0.2
retry_slack = 100
shutdown = 8s
hold_max = 20000ms

[admin]
address = %s
`, e.Config.Name, e.Config.Zone, e.Config.Zones, e.Callers, e.Ready, e.Config.StoreAddress, e.Peers, e.Metrics)
	path := filepath.Join(e.Config.Dir, e.Config.Name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(e.Config.Dir, e.Config.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	e.cmd = exec.Command(program(), "--config", path)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), e.cmd
	e.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (e *Edge) Signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// Terminate stops the process as the platform does: SIGTERM, and SIGKILL after 8 s.
func (e *Edge) Terminate() {
	e.Signal(syscall.SIGTERM)
	select {
	case <-e.done:
	case <-time.After(8 * time.Second):
		e.Kill()
	}
}

// Kill ends the process and waits for its end.
func (e *Edge) Kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.done
}

// IsReady asks as the platform does.
func (e *Edge) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.Ready + "/siskinstand/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the host says that it is ready.
func (e *Edge) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready within %s", e.Config.Name, limit)
}

// Log returns the lines of the host's log that contain a text.
func (e *Edge) Log(text string) []string {
	data, err := os.ReadFile(filepath.Join(e.Config.Dir, e.Config.Name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
