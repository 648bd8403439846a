package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

// startSingleHost starts one siskin-edge process and one replica of each service.
func startSingleHost(t *testing.T, events int) (*edgeProcess, processSettings, *platform.Store) {
	t.Helper()
	return startSingleHostWith(t, events, platform.ResponseComplete)
}

// startSingleHostWith does what startSingleHost does. The replica of the plain service
// responds as given.
func startSingleHostWith(t *testing.T, events int, plainResponse platform.ResponseMode) (*edgeProcess, processSettings, *platform.Store) {
	t.Helper()
	store := platform.NewStore()
	t.Cleanup(store.Close)
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	store.Put(platform.ConfigKey, platform.Configuration(1, 5*time.Second, []platform.Account{{Name: "t1", Keys: []string{platform.SampleAPIKey}}}))
	for id, c := range map[string]platform.ReplicaConfig{"i-llm": {Service: "llm", StreamEvents: events}, "i-app": {Service: "app"}} {
		c.ID, c.Zone, c.Slots, c.EventInterval = id, "z1", 16, 20*time.Millisecond
		r, err := platform.NewReplica(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		if id == "i-app" {
			r.SetResponseMode(plainResponse)
		}
		store.Put(platform.ReplicaPrefix+id, r.StoreEntry("ready"))
	}
	address := strings.TrimPrefix(server.URL, "http://")
	e := startEdgeProcess(t, "edge-1", address)
	eventually(t, "the process is ready", e.isReady)
	return e, processSettings{Store: address, Peers: freeAddress(t), Admin: freeAddress(t), KeyAge: time.Second, Verbosity: 1}, store
}

func TestHangup(t *testing.T) {
	e, settings, store := startSingleHost(t, 20)
	t.Run("start line", func(t *testing.T) {
		// Guards against a log that does not tell which revision of the program has written it.
		if n := e.countInLog(`revision="`); n != 1 {
			t.Errorf("%d lines name the revision, want the first one", n)
		}
	})
	stream := make(chan platform.Reply, 1)
	go func() { stream <- platform.SendOnNewConnection(t.Context(), e.callerAddress, streamCall()) }()
	time.Sleep(100 * time.Millisecond)
	t.Run("settings change", func(t *testing.T) {
		// Guards against a process that exits on SIGHUP, and against settings that are read but not applied.
		settings.KeyAge = 400 * time.Millisecond
		e.writeSettings(settings)
		e.signal(syscall.SIGHUP)
		eventually(t, "the settings are reloaded", func() bool { return e.countInLog(`"settings reloaded" by_signal=true restart_needed=true`) == 1 })
		store.SetFault(platform.FaultReset)
		time.Sleep(500 * time.Millisecond)
		if r := platform.SendOnNewConnection(t.Context(), e.callerAddress, platform.PlainCall("idempotent")); r.Status != http.StatusServiceUnavailable {
			t.Errorf("request with a key beyond the new key_age: %d %s, want 503", r.Status, r.Body)
		}
		store.SetFault(platform.FaultNone)
	})
	t.Run("bad settings", func(t *testing.T) {
		// Guards against an invalid settings file that makes the process exit.
		bad := settings
		bad.KeyAge = -time.Second
		e.writeSettings(bad)
		e.signal(syscall.SIGHUP)
		eventually(t, "the error is logged", func() bool { return e.countInLog("settings not reloaded") >= 1 })
		e.writeSettings(settings)
		eventually(t, "requests are served", func() bool {
			return platform.SendOnNewConnection(t.Context(), e.callerAddress, platform.PlainCall("idempotent")).Status == http.StatusOK
		})
	})
	t.Run("file changes without a signal", func(t *testing.T) {
		settings.Verbosity = 2
		e.writeSettings(settings)
		eventually(t, "the settings are reloaded", func() bool { return e.countInLog(`"settings reloaded" by_signal=false`) >= 1 })
	})
	if r := <-stream; r.Err != nil || r.Body != platform.StreamBody(20) {
		t.Errorf("the running stream ended with %d %q, %v; want all its events and no error", r.Status, r.Body, r.Err)
	}
}

func TestTermination(t *testing.T) {
	// Guards against a shutdown that cuts a stream or leaves a request on a reused connection without a response.
	e, _, _ := startSingleHost(t, 60)
	var streams sync.WaitGroup
	for range 4 {
		streams.Go(func() {
			if r := platform.SendOnNewConnection(t.Context(), e.callerAddress, streamCall()); r.Err != nil || r.Body != platform.StreamBody(60) {
				t.Errorf("the running stream ended with %d %q, %v; want all its events and no error", r.Status, r.Body, r.Err)
			}
		})
	}
	kept := platform.NewClient()
	defer kept.Close()
	if r := kept.Send(t.Context(), e.callerAddress, platform.PlainCall("non_idempotent")); r.Status != http.StatusOK {
		t.Fatalf("response %d, %v", r.Status, r.Err)
	}
	ended := make(chan error, 1)
	go func() { ended <- e.terminate() }()
	eventually(t, "the process is not ready", func() bool { return !e.isReady() })
	r := kept.Send(t.Context(), e.callerAddress, platform.PlainCall("non_idempotent"))
	if r.Status != http.StatusOK || !r.Reused || !r.ClosesConnection {
		t.Errorf("second response: reused connection: %t, status %d (%v), closing: %t; want 200 on the reused connection, which then closes", r.Reused, r.Status, r.Err, r.ClosesConnection)
	}
	streams.Wait()
	if err := <-ended; err != nil {
		t.Errorf("the process ended with %v, want exit status 0", err)
	}
}

// Guards against a request that ends with a closed connection, without a response, because
// the shutdown time is over before its replica has answered.
func TestRequestsAtEndOfShutdownTime(t *testing.T) {
	e, _, _ := startSingleHostWith(t, 1, platform.ResponseHang)
	replies := make(chan platform.Reply, 2)
	for _, route := range []string{"idempotent", "non_idempotent"} {
		go func() {
			replies <- platform.SendOnNewConnection(t.Context(), e.callerAddress, platform.PlainCall(route))
		}()
	}
	time.Sleep(100 * time.Millisecond)
	if err := e.terminate(); err != nil {
		t.Errorf("the process ended with %v, want exit status 0", err)
	}
	for range cap(replies) {
		if r := <-replies; r.Err != nil || r.Status != http.StatusBadGateway || !strings.Contains(r.Body, `"shutting_down"`) {
			t.Errorf("response %d %q, %v; want 502 shutting_down", r.Status, r.Body, r.Err)
		}
	}
}

// Guards against a repeated SIGTERM that cuts the requests of a host that is shutting down.
func TestRepeatedTermination(t *testing.T) {
	e, _, _ := startSingleHost(t, 60)
	stream := make(chan platform.Reply, 1)
	go func() { stream <- platform.SendOnNewConnection(t.Context(), e.callerAddress, streamCall()) }()
	time.Sleep(100 * time.Millisecond)
	for range 3 {
		e.signal(syscall.SIGTERM)
		time.Sleep(50 * time.Millisecond)
	}
	if r := <-stream; r.Err != nil || r.Body != platform.StreamBody(60) {
		t.Errorf("the running stream ended with %d %q, %v; want all its events and no error", r.Status, r.Body, r.Err)
	}
	if err := <-e.exited(); err != nil {
		t.Errorf("the process ended with %v, want exit status 0", err)
	}
}
