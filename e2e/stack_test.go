package e2e

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	platformengine "siskinstand.example/adapters/engine"
	"siskinstand.example/adapters/hostlist"
	"siskinstand.example/coord/config"
	"siskinstand.example/fakes/engine"
	fakehosts "siskinstand.example/fakes/hostlist"
	"siskinstand.example/fakes/server"
)

const (
	token = "e2e-token"
	model = "siskin-small"
	// largeMemory holds every prompt but that of the group test.
	largeMemory = 600_000
)

// binaries is the directory of the programs, which TestMain builds.
var binaries string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	var err error
	if binaries, err = os.MkdirTemp("", "siskin-e2e"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(binaries)
	for _, program := range []string{"gateway", "sidecar"} {
		build := exec.Command("go", "build", "-o", filepath.Join(binaries, program), "siskinstand.example/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// stack is a gateway program in front of two sidecar programs, each with a fake
// engine.
type stack struct {
	engines []*engine.Engine
	// addresses are those of the engines.
	addresses []string
	base      string
	client    openai.Client
}

func startStack(t *testing.T, memoryTokens int64) *stack {
	t.Helper()
	directory := t.TempDir()
	s := &stack{}
	var hosts []hostlist.Host
	for i := range 2 {
		hosts = append(hosts, s.startEndpoint(t, directory, memoryTokens, fmt.Sprintf("host-%d", i+1)))
	}
	list := serve(t, fakehosts.New(hosts, fakehosts.Switches{}).Handler())
	hash := config.HashToken(token)
	write(t, directory, "routes.ini", fmt.Sprintf("[account e2e]\ntoken_sha256 = %s\n[route chat]\naccounts = e2e\nmodel = %s\npool = chat\n", hex.EncodeToString(hash[:]), model))
	write(t, directory, "pools.ini", fmt.Sprintf("[pool chat]\nkind = model\nservice = engine\nmodel = %s\n", model))
	callers, admin := freeAddress(t), freeAddress(t)
	path := write(t, directory, "gateway.ini", fmt.Sprintf(
		"[process]\nid = gateway-1\nzone = zone-a\n[callers]\naddress = %s\n[admin]\naddress = %s\n[tables]\nroutes = %s\npools = %s\n[platform]\nhost_list = http://%s\n[shutdown]\nnotice = 0s\n",
		callers, admin, filepath.Join(directory, "routes.ini"), filepath.Join(directory, "pools.ini"), list.Address()))
	startProgram(t, directory, "gateway", "gateway", path, admin)
	s.base = "http://" + callers
	s.client = openai.NewClient(option.WithBaseURL(s.base+"/v1/"), option.WithAPIKey(token))
	return s
}

func (s *stack) startEndpoint(t *testing.T, directory string, memoryTokens int64, name string) hostlist.Host {
	t.Helper()
	var front *server.Server
	c := engine.DefaultConfig()
	c.MemoryTokens = memoryTokens
	c.OnCrash = func(d time.Duration) { front.StopFor(d) }
	fake := engine.New(c)
	t.Cleanup(fake.Close)
	front = serve(t, fake.Handler())
	s.engines = append(s.engines, fake)
	s.addresses = append(s.addresses, front.Address())
	listen, admin := freeAddress(t), freeAddress(t)
	path := write(t, directory, name+".ini", fmt.Sprintf(
		"[endpoint]\nname = %s\nzone = zone-a\n[listen]\naddress = %s\n[admin]\naddress = %s\n[engine]\naddress = %s\n",
		name, listen, admin, front.Address()))
	startProgram(t, directory, "sidecar", name, path, admin)
	return hostlist.Host{Name: name, Zone: "zone-a", Role: hostlist.RoleEndpoint, Service: "engine", Address: listen, Incarnation: 1, State: hostlist.StateLive}
}

func serve(t *testing.T, handler http.Handler) *server.Server {
	t.Helper()
	s, err := server.Start("127.0.0.1:0", handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func write(t *testing.T, directory, name, text string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startProgram starts a program, waits until it is ready, and at the end of the
// test expects it to stop by itself after SIGTERM.
func startProgram(t *testing.T, directory, program, name, settings, admin string) {
	t.Helper()
	path := filepath.Join(directory, name+".log")
	log, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(binaries, program), "--config", settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	t.Cleanup(func() { stopProgram(t, name, path, cmd, done) })
	const limit = 15 * time.Second
	for begin := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + admin + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Since(begin) > limit {
			t.Fatalf("%s is not ready after %s: %v", name, limit, err)
		}
	}
}

func stopProgram(t *testing.T, name, log string, cmd *exec.Cmd, done <-chan error) {
	const limit = 15 * time.Second
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
	case <-time.After(limit):
		_ = cmd.Process.Kill()
		t.Errorf("%s did not stop within %s", name, limit)
	}
	if text, err := os.ReadFile(log); t.Failed() && err == nil {
		t.Logf("log of %s:\n%s", name, text)
	}
}

// awaitNoHolds fails if an engine keeps memory for a group after its answer.
func (s *stack) awaitNoHolds(t *testing.T) {
	t.Helper()
	const limit = 15 * time.Second
	for begin := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		held := ""
		for _, address := range s.addresses {
			state, err := platformengine.NewModelClient(address, platformengine.DefaultLimits()).State(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range state.Allocations {
				if p.Kind != platformengine.AllocationPrefix {
					held = string(p.Kind) + " " + p.ID
				}
			}
		}
		if held == "" {
			return
		}
		if time.Since(begin) > limit {
			t.Fatalf("%s is still held after %s", held, limit)
		}
	}
}
