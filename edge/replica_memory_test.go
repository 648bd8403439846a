package main

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

// Guards against a replica that crashes because it holds the bodies of too many requests.
func TestReplicaMemory(t *testing.T) {
	s := newTestSite(t)
	s.stop()
	<-s.exited
	s.settings.Placement.ReplicaMemory, s.settings.Replicas.MaxBytes = true, 8<<20
	s.start()
	r, err := platform.NewReplica(platform.ReplicaConfig{ID: "i-1", Service: "app", Zone: "z1", Slots: 16, MaxHeldBytes: 8 << 20})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	s.replicas["i-1"] = r
	r.SetResponseMode(platform.ResponseHang)
	s.timeout = time.Second
	s.configure()
	s.store.Put(platform.ReplicaPrefix+"i-1", r.StoreEntry("ready"))
	s.eventually("the replica and the time limit are known", func() bool {
		v := s.edge.loop.View()
		return v.ReplicaCount == 1 && v.Catalog.Version() == s.version
	})
	call := platform.PlainCall("idempotent")
	call.Body = strings.Repeat("x", 900<<10)
	var wg sync.WaitGroup
	for range 24 {
		wg.Go(func() {
			if r := s.send(call); r.Status != http.StatusServiceUnavailable && r.Status != http.StatusGatewayTimeout {
				t.Errorf("response %d %q (%v), want 503 or 504", r.Status, r.Body, r.Err)
			}
		})
	}
	wg.Wait()
	if r.Crashed() {
		t.Error("the replica has crashed")
	}
	if n := len(r.Runs()); n < 4 {
		t.Errorf("%d requests at the replica, want at least 4", n)
	}
	r.SetResponseMode(platform.ResponseComplete)
	s.eventually("the replica takes requests again", func() bool { return s.send(call).Status == http.StatusOK })
}
