package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"siskinstand.example/edge/config"
	"siskinstand.example/fakes/loopback"
	"siskinstand.example/fakes/platform"
	"siskinstand.example/service/logging"
	"siskinstand.example/service/settings"
)

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
	}
	if _, err := logging.SetupAsync(logging.AsyncConfig{Verbosity: 1, LinesPerSecond: 1000}, io.Discard); err != nil {
		panic(err)
	}
	status := m.Run()
	removeEdgeProgram()
	os.Exit(status)
}

// testSite is a fake platform store with fake replicas and one entry host, which runs in
// the test process.
type testSite struct {
	t        *testing.T
	store    *platform.Store
	replicas map[string]*platform.Replica
	edge     *edgeDaemon
	settings config.Settings
	version  int64
	accounts []platform.Account
	timeout  time.Duration
	exited   chan error
	stop     context.CancelFunc
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newTestSite starts a store and an entry host without replicas.
func newTestSite(t *testing.T) *testSite {
	t.Helper()
	s := &testSite{
		t: t, store: platform.NewStore(), replicas: map[string]*platform.Replica{}, timeout: 5 * time.Second,
		accounts: []platform.Account{{Name: "t1", Keys: []string{platform.SampleAPIKey, "key-2"}}},
	}
	t.Cleanup(s.store.Close)
	server := httptest.NewServer(s.store)
	t.Cleanup(server.CloseClientConnections)
	s.configure()
	text := fmt.Sprintf("[process]\nid=edge-1\nzone=z1\nzones=z1=r1 z2=r2\n[callers]\naddress=%s\nready_address=%s\nbody_timeout=500ms\n[store]\naddress=%s\ntimeout=300ms\nwatch_wait=300ms\nlease_time=2s\n[peers]\naddress=%s\n[bounds]\nkey_age=1s\nshutdown=3s\nnotice=300ms\n[admin]\naddress=%s\n",
		freeAddress(t), freeAddress(t), strings.TrimPrefix(server.URL, "http://"), freeAddress(t), freeAddress(t))
	var err error
	if s.settings, err = settings.Parse[config.Settings]("test.ini", []byte(text)); err != nil {
		t.Fatal(err)
	}
	s.start()
	return s
}

// start starts the entry host and waits until it is ready.
func (s *testSite) start() {
	s.t.Helper()
	s.startWithoutWaiting()
	s.eventually("the entry host is ready", func() bool { return s.readyStatus() == http.StatusOK })
}

// startWithoutWaiting starts the entry host.
func (s *testSite) startWithoutWaiting() {
	s.t.Helper()
	var err error
	if s.edge, err = newDaemon(s.settings, func() (config.Settings, error) { return s.settings, nil }); err != nil {
		s.t.Fatal(err)
	}
	s.exited = make(chan error, 1)
	edge, ended := s.edge, s.exited
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { ended <- edge.runUntil(ctx) }()
	s.t.Cleanup(func() {
		stop()
		edge.close()
	})
}

func (s *testSite) readyStatus() int {
	resp, err := http.Get("http://" + s.settings.Callers.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (s *testSite) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
		select {
		case err := <-s.exited:
			s.t.Fatalf("the daemon ended with %v before the condition was met: %s", err, what)
		default:
		}
	}
	s.t.Fatalf("condition not met within 5s: %s", what)
}

// configure writes the next version of the configuration.
func (s *testSite) configure() {
	s.version++
	s.store.Put(platform.ConfigKey, platform.Configuration(s.version, s.timeout, s.accounts))
}

func (s *testSite) addReplica(id, service, zone string, events int) *platform.Replica {
	s.t.Helper()
	r, err := platform.NewReplica(platform.ReplicaConfig{ID: id, Service: service, Zone: zone, Slots: 16, StreamEvents: events, EventInterval: 5 * time.Millisecond})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	known := s.edge.loop.View().ReplicaCount
	s.replicas[id] = r
	s.store.Put(platform.ReplicaPrefix+id, r.StoreEntry("ready"))
	s.eventually("replica "+id+" is known", func() bool { return s.edge.loop.View().ReplicaCount > known })
	return r
}

func (s *testSite) runCount(id string) int { return len(s.replicas[id].Runs()) }

func streamCall() platform.Call { return platform.StreamCall(5000) }

func (s *testSite) send(c platform.Call) platform.Reply {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return s.sendContext(ctx, c)
}

func (s *testSite) sendContext(ctx context.Context, c platform.Call) platform.Reply {
	return platform.SendOnNewConnection(ctx, s.settings.Callers.Address, c)
}

func (s *testSite) checkReply(r platform.Reply, status int, body string) {
	s.t.Helper()
	if r.Err != nil || r.Status != status || body != "" && r.Body != body {
		s.t.Errorf("response %d %q (%v), want %d %q", r.Status, r.Body, r.Err, status, body)
	}
}

func (s *testSite) checkVerdict(r platform.Reply, status int, verdict string) {
	s.t.Helper()
	if r.Err != nil || r.Status != status || !strings.Contains(r.Body, `"verdict":"`+verdict+`"`) {
		s.t.Errorf("response %d %q (%v), want %d with the verdict %s", r.Status, r.Body, r.Err, status, verdict)
	}
}
