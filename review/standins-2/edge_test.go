package cases

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
	"unsafe"
)

// edgeHost is a process of siskin-edge.
type edgeHost struct {
	name, zone           string
	callers, ready       string
	cmd                  *exec.Cmd
	config, log, program string
	descriptors          int
	exited               chan struct{}
}

// loopback is the address of all processes of a play. Plays that run at the same time have
// different ones, so that they can't take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, max(1, os.Getpid()&0xff))

// freePort returns a free port for TCP and UDP of the loopback address.
func freePort() string {
	for {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			panic(err)
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return address
	}
}

// settings are what a case sets of the settings file; the rest is what the template of the
// deploy file gives for the small deployment of our pages.
type settings struct {
	memoryMB, fds int
	zones         []string
}

func newEdge(dir, program, name, zone, storeAddress string, s settings) (*edgeHost, error) {
	e := &edgeHost{name: name, zone: zone, callers: freePort(), ready: freePort(), program: program, descriptors: s.fds}
	if s.memoryMB == 0 {
		s.memoryMB = 284
	}
	if s.fds == 0 {
		s.fds = 4100
	}
	list := ""
	for _, z := range s.zones {
		list += z + "=region-1 "
	}
	text := fmt.Sprintf(`[process]
id = %s
zone = %s
region = region-1
cores = 0.304
memory_mb = %d
descriptors = %d
zones = %s

[callers]
address = %s
ready_address = %s

[store]
address = %s
reads_per_second = 2000

[peers]
address = %s

[placement]
burst_admission = yes
zone_delays = yes
learned_speeds = yes
cost_prediction = yes
fair_shares = yes

[bounds]
key_age = 5000ms
apply_time = 2000ms
drain_time = 2000ms
retry_share = 0.2
retry_slack = 104
shutdown = 8s
hold_max = 20000ms

[admin]
address = %s
`, name, zone, s.memoryMB, s.fds, list, e.callers, e.ready, storeAddress, freePort(), freePort())
	e.config, e.log = filepath.Join(dir, name+".ini"), filepath.Join(dir, name+".log")
	return e, os.WriteFile(e.config, []byte(text), 0o600)
}

func (e *edgeHost) start() error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command(e.program, "--config", e.config)
	e.cmd.Env = append(os.Environ(), "SISKINSTAND_BOOT="+e.config)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(e.cmd, e.exited)
	if e.descriptors > 0 {
		return limitDescriptors(e.cmd.Process.Pid, e.descriptors)
	}
	return nil
}

// limitDescriptors gives a process that this one has started the number of descriptors that its
// machine has.
func limitDescriptors(pid, n int) error {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil {
		return err
	}
	limit := syscall.Rlimit{Cur: min(uint64(n), own.Max), Max: min(uint64(n), own.Max)}
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0); errno != 0 {
		return errno
	}
	return nil
}

// openDescriptors returns how many descriptors a process has open.
func (e *edgeHost) openDescriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid))
	return len(list)
}

func (e *edgeHost) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// stop ends the process.
func (e *edgeHost) stop() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGCONT)
	_ = e.cmd.Process.Kill()
	select {
	case <-e.exited:
	case <-time.After(3 * time.Second):
	}
}

// awaitReady waits until the host counts as ready.
func (e *edgeHost) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, err := get(e.ready, "/siskinstand/readyz"); err == nil && status == 200 {
			return true
		}
	}
	return false
}
