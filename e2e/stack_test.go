package e2e

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
	"siskinstand.example/fakes/loopback"
	"siskinstand.example/fakes/server"
)

const (
	token = "e2e-token"
	model = "siskin-small"
	// largeMemoryTokens is enough engine memory for every prompt of the tests.
	// TestPromptBeyondOneEngine uses engines with less.
	largeMemoryTokens = 600_000
)

// programDir is the directory of the gateway and sidecar programs that TestMain
// builds.
var programDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	var err error
	if programDir, err = os.MkdirTemp("", "siskin-e2e"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(programDir)
	for _, program := range []string{"gateway", "sidecar"} {
		build := exec.Command("go", "build", "-o", filepath.Join(programDir, program), "siskinstand.example/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// stack is a running gateway program and up to two sidecar programs, each with a
// fake engine.
type stack struct {
	engines         []*engine.Engine
	engineAddresses []string
	baseURL         string
	client          openai.Client
	gateway         *os.Process
}

// startStack starts a stack. callerSettings are lines of the gateway's section [callers].
func startStack(t *testing.T, memoryTokens int64, callerSettings ...string) *stack {
	t.Helper()
	dir := t.TempDir()
	s := &stack{}
	var hosts []hostlist.Host
	for i := range 2 {
		hosts = append(hosts, s.startEndpoint(t, dir, memoryTokens, fmt.Sprintf("host-%d", i+1)))
	}
	hostListServer := startServer(t, fakehosts.New(hosts, fakehosts.Switches{}).Handler())
	tokenHash := config.HashToken(token)
	writeFile(t, dir, "routes.ini", fmt.Sprintf("[account e2e]\ntoken_sha256 = %s\n[route chat]\naccounts = e2e\nmodel = %s\npool = chat\n", hex.EncodeToString(tokenHash[:]), model))
	writeFile(t, dir, "pools.ini", fmt.Sprintf("[pool chat]\nkind = model\nservice = engine\nmodel = %s\n", model))
	callerAddress, adminAddress := freeAddress(t), freeAddress(t)
	settingsPath := writeFile(t, dir, "gateway.ini", fmt.Sprintf(
		"[process]\nid = gateway-1\nzone = zone-a\n[callers]\naddress = %s\n%s[admin]\naddress = %s\n[tables]\nroutes = %s\npools = %s\n[platform]\nhost_list = http://%s\n[shutdown]\nnotice = 0s\n",
		callerAddress, strings.Join(callerSettings, ""), adminAddress, filepath.Join(dir, "routes.ini"), filepath.Join(dir, "pools.ini"), hostListServer.Address()))
	s.gateway = startProgram(t, dir, "gateway", "gateway", settingsPath, adminAddress)
	s.baseURL = "http://" + callerAddress
	s.client = openai.NewClient(option.WithBaseURL(s.baseURL+"/v1/"), option.WithAPIKey(token))
	return s
}

// startEndpoint starts a fake engine and a sidecar program, waits until the
// sidecar is ready and returns its entry in the host list.
func (s *stack) startEndpoint(t *testing.T, dir string, memoryTokens int64, name string) hostlist.Host {
	t.Helper()
	var engineServer *server.Server
	engineConfig := engine.DefaultConfig()
	engineConfig.MemoryTokens = memoryTokens
	engineConfig.OnCrash = func(d time.Duration) { engineServer.StopFor(d) }
	fake := engine.New(engineConfig)
	t.Cleanup(fake.Close)
	engineServer = startServer(t, fake.Handler())
	s.engines = append(s.engines, fake)
	s.engineAddresses = append(s.engineAddresses, engineServer.Address())
	listenAddress, adminAddress := freeAddress(t), freeAddress(t)
	settingsPath := writeFile(t, dir, name+".ini", fmt.Sprintf(
		"[endpoint]\nname = %s\nzone = zone-a\n[listen]\naddress = %s\n[admin]\naddress = %s\n[engine]\naddress = %s\n",
		name, listenAddress, adminAddress, engineServer.Address()))
	startProgram(t, dir, "sidecar", name, settingsPath, adminAddress)
	return hostlist.Host{Name: name, Zone: "zone-a", Role: hostlist.RoleEndpoint, Service: "engine", Address: listenAddress, Incarnation: 1, State: hostlist.StateLive}
}

func startServer(t *testing.T, handler http.Handler) *server.Server {
	t.Helper()
	s, err := server.StartLoopback(handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// startProgram starts a program and waits until it is ready. At the end of the
// test it sends SIGTERM and fails the test if the program does not exit without
// an error.
func startProgram(t *testing.T, dir, program, name, settingsPath, adminAddress string) *os.Process {
	t.Helper()
	logPath := filepath.Join(dir, name+".log")
	logFile, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(programDir, program), "--config", settingsPath)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	t.Cleanup(func() { stopProgram(t, name, logPath, cmd, done) })
	const readyTimeout = 15 * time.Second
	for start := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + adminAddress + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return cmd.Process
			}
		}
		if time.Since(start) > readyTimeout {
			t.Fatalf("%s is not ready after %s: %v", name, readyTimeout, err)
		}
	}
}

// stopProgram stops a program with SIGTERM, and prints its log if the test has
// failed.
func stopProgram(t *testing.T, name, logPath string, cmd *exec.Cmd, done <-chan error) {
	const stopTimeout = 15 * time.Second
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill()
		t.Errorf("%s did not stop within %s", name, stopTimeout)
	}
	if text, err := os.ReadFile(logPath); t.Failed() && err == nil {
		t.Logf("log of %s:\n%s", name, text)
	}
}

// awaitMemoryReleased waits until the engines have no allocations, such as the holds of a
// group, other than cached prefixes. It fails the test after 15 s.
func (s *stack) awaitMemoryReleased(t *testing.T) {
	t.Helper()
	const releaseTimeout = 15 * time.Second
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		held := ""
		for _, address := range s.engineAddresses {
			state, err := platformengine.NewModelClient(address, platformengine.DefaultLimits()).State(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, allocation := range state.Allocations {
				if allocation.Kind != platformengine.AllocationPrefix {
					held = string(allocation.Kind) + " " + allocation.ID
				}
			}
		}
		if held == "" {
			return
		}
		if time.Since(start) > releaseTimeout {
			t.Fatalf("%s is still held after %s", held, releaseTimeout)
		}
	}
}
