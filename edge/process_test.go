package main

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

// runAsProgramEnv is the environment variable that makes the test binary run as
// siskin-edge.
const runAsProgramEnv = "SISKIN_EDGE_TEST_PROGRAM"

// edgeProcess runs siskin-edge as a separate process.
type edgeProcess struct {
	t    *testing.T
	name string
	// program is the path of the program, or empty to run the test binary as siskin-edge.
	program       string
	callerAddress string
	readyAddress  string
	settingsPath  string
	logPath       string

	mu  sync.Mutex
	cmd *exec.Cmd
	// done receives the exit status of the process and is then closed.
	done chan error
	// startCount is the number of times the process was started.
	startCount int
	// stopRequested is set before a signal that terminates the process is sent.
	stopRequested bool
	// restarting is set while the process is being restarted.
	restarting bool
}

// processSettings holds the settings that differ between hosts or change during a test.
type processSettings struct {
	Store, Peers, Admin string
	KeyAge              time.Duration
	// BodyTimeout is defaultBodyTimeout if it is 0.
	BodyTimeout time.Duration
	Verbosity   int
}

const defaultBodyTimeout = 500 * time.Millisecond

func startEdgeProcess(t *testing.T, name, store string) *edgeProcess {
	t.Helper()
	return startEdgeProcessWith(t, name, processSettings{Store: store, KeyAge: keyAge, Verbosity: 1})
}

// startEdgeProcessWith does what startEdgeProcess does. It chooses the addresses of the process
// in the settings.
func startEdgeProcessWith(t *testing.T, name string, settings processSettings) *edgeProcess {
	t.Helper()
	dir := t.TempDir()
	e := &edgeProcess{
		t: t, name: name, callerAddress: freeAddress(t), readyAddress: freeAddress(t),
		settingsPath: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"),
	}
	settings.Peers, settings.Admin = freeAddress(t), freeAddress(t)
	e.writeSettings(settings)
	e.start()
	t.Cleanup(e.kill)
	return e
}

func (e *edgeProcess) writeSettings(settings processSettings) {
	e.t.Helper()
	text := fmt.Sprintf("[process]\nid=%s\nzone=z1\nzones=z1=r1 z2=r2\n[callers]\naddress=%s\nready_address=%s\nbody_timeout=%s\n[store]\naddress=%s\ntimeout=300ms\nwatch_wait=300ms\nlease_time=2s\n[peers]\naddress=%s\n[bounds]\nkey_age=%s\nshutdown=%s\nnotice=300ms\n[admin]\naddress=%s\n[log]\nverbosity=%d\nlines_per_second=100000\n",
		e.name, e.callerAddress, e.readyAddress, cmp.Or(settings.BodyTimeout, defaultBodyTimeout), settings.Store, settings.Peers, settings.KeyAge, shutdownTime, settings.Admin, settings.Verbosity)
	if err := os.WriteFile(e.settingsPath, []byte(text), 0o600); err != nil {
		e.t.Error(err)
	}
}

// shutdownTime is the time from SIGTERM until the tests kill a process.
const shutdownTime = 3 * time.Second

func (e *edgeProcess) start() {
	e.t.Helper()
	log, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		e.t.Error(err)
		return
	}
	defer log.Close()
	cmd := exec.Command(cmp.Or(e.program, os.Args[0]), "--config", e.settingsPath)
	// By default, the race detector waits for a second before the process exits.
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "GORACE=atexit_sleep_ms=0")
	if e.program != "" {
		// Entry hosts have less than one processor; and other packages' tests run meanwhile.
		cmd.Env = append(cmd.Env, "GOMAXPROCS=2")
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		e.t.Error(err)
		return
	}
	done := make(chan error, 1)
	go func() {
		err := cmd.Wait()
		e.mu.Lock()
		if e.cmd == cmd && !e.stopRequested {
			e.t.Errorf("%s exited unexpectedly: %v; end of its log:\n%s", e.name, err, e.logTail())
		}
		e.mu.Unlock()
		done <- err
		close(done)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.done, e.stopRequested = cmd, done, false
	e.startCount++
}

// signal sends a signal to the process if it is running.
func (e *edgeProcess) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopRequested = e.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = e.cmd.Process.Signal(s) // fails only if the process has exited
}

// kill kills the process and waits for its exit.
func (e *edgeProcess) kill() {
	e.signal(syscall.SIGKILL)
	<-e.exited()
}

// reloadSettings sends SIGHUP, but only after the process has logged its start: before
// that, it may not handle the signal yet.
func (e *edgeProcess) reloadSettings() {
	if e.countInLog(`"started"`) >= e.starts() {
		e.signal(syscall.SIGHUP)
	}
}

func (e *edgeProcess) starts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startCount
}

// beginRestart marks the process as being restarted. It returns false if it already is.
func (e *edgeProcess) beginRestart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := !e.restarting
	e.restarting = true
	return ok
}

func (e *edgeProcess) endRestart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restarting = false
}

func (e *edgeProcess) exited() chan error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.done
}

// terminate stops the process as the platform does, with SIGTERM and, after
// shutdownTime, SIGKILL. It returns an error if SIGKILL was necessary or the process failed.
func (e *edgeProcess) terminate() error {
	e.signal(syscall.SIGTERM)
	done := e.exited()
	select {
	case err := <-done:
		return err
	case <-time.After(shutdownTime):
		e.signal(syscall.SIGKILL)
		<-done
		return fmt.Errorf("%s was still running %v after SIGTERM", e.name, shutdownTime)
	}
}

// isReady sends a readiness probe, as the load balancer does.
func (e *edgeProcess) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + e.readyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logTail returns the last 2,000 bytes of the log.
func (e *edgeProcess) logTail() string {
	const bytes = 2000
	data, err := os.ReadFile(e.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-bytes):])
}

// countInLog returns the number of occurrences of a text in the log.
func (e *edgeProcess) countInLog(text string) int {
	data, err := os.ReadFile(e.logPath)
	if err != nil {
		e.t.Error(err)
	}
	return strings.Count(string(data), text)
}

// saveLogs copies the logs of a failed soak to a directory that is not removed after the
// test.
func (s *soak) saveLogs() {
	dir, err := os.MkdirTemp("", "siskin-soak-")
	if err != nil {
		s.t.Error(err)
		return
	}
	for _, e := range s.hosts {
		data, err := os.ReadFile(e.logPath)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, e.name+".log"), data, 0o600)
		}
		if err != nil {
			s.t.Error(err)
		}
	}
	s.t.Logf("logs are in %s", dir)
}

// holdsWithin5s polls a condition for up to 5 s and reports whether it became true.
func holdsWithin5s(ok func() bool) bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	if !holdsWithin5s(ok) {
		t.Fatalf("condition not met within 5s: %s", what)
	}
}
