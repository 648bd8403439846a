package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"siskinstand.example/fakes/faultproxy"
	"siskinstand.example/fakes/platform"
)

// leavingSite is a site with two hosts and one replica, which accepts as many connections as the first
// host has idle and lets others wait in its accept queue.
type leavingSite struct {
	store   *platform.Store
	replica *platform.Replica
	hosts   [2]*edgeProcess
}

const leavingConnections = 2

func startLeavingSite(t *testing.T) *leavingSite {
	t.Helper()
	s := &leavingSite{store: platform.NewStore()}
	t.Cleanup(s.store.Close)
	server := httptest.NewServer(s.store)
	t.Cleanup(server.CloseClientConnections)
	s.store.Put(platform.ConfigKey, platform.Configuration(1, soakRouteTimeout, []platform.Account{{Name: "t1", Keys: []string{platform.SampleAPIKey}}}))
	var err error
	s.replica, err = platform.NewReplica(platform.ReplicaConfig{ID: "i-app-1", Service: "app", Zone: "z1", Slots: 16, AnswerDelay: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.replica.Close)
	link, err := faultproxy.New(s.replica.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	link.SetLimit(leavingConnections, faultproxy.Ignore)
	s.replica.Advertise(link.Address())
	s.store.Put(platform.ReplicaPrefix+s.replica.ID(), s.replica.StoreEntry("ready"))
	for i, name := range []string{"edge-1", "edge-2"} {
		s.hosts[i] = startEdgeProcess(t, name, strings.TrimPrefix(server.URL, "http://"))
	}
	for _, e := range s.hosts {
		eventually(t, e.name+" is ready", e.isReady)
	}
	return s
}

// call sends a call and checks that it is served.
func (s *leavingSite) call(t *testing.T, e *edgeProcess, body string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*soakRouteTimeout)
	defer cancel()
	c := platform.PlainCall("idempotent")
	c.Body = body
	client := platform.NewClient()
	defer client.Close()
	if r := client.Send(ctx, e.callerAddress, c); r.Err != nil || r.Status != http.StatusOK {
		t.Errorf("call %s: status %d, %v, %s, want it served", body, r.Status, r.Err, r.Body)
	}
}

// Guards against a request that waits in the accept queue of a replica until its time limit: the idle
// connections of another host count for the limit of the replica, which gets no further requests.
func TestIdleConnectionsToLeavingReplica(t *testing.T) {
	for name, leave := range map[string]func(*leavingSite){
		"draining": func(s *leavingSite) {
			s.store.Put(platform.ReplicaPrefix+s.replica.ID(), s.replica.StoreEntry("draining"))
		},
		"removed": func(s *leavingSite) { s.store.Delete(platform.ReplicaPrefix + s.replica.ID()) },
		"zone is evacuated": func(s *leavingSite) {
			s.store.Put(platform.EvacuatePrefix+s.replica.Zone(), map[string]any{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startLeavingSite(t)
			var calls sync.WaitGroup
			for _, body := range []string{"first", "second"} {
				calls.Go(func() { s.call(t, s.hosts[0], body) })
			}
			calls.Wait()
			calls.Go(func() { s.call(t, s.hosts[1], "waiting") })
			time.Sleep(100 * time.Millisecond) // the call waits in the accept queue
			left := time.Now()
			leave(s)
			calls.Wait()
			if d := time.Since(left); d > plannedChangeBound {
				t.Errorf("the call was answered %s after the replica had left, want at most %s", d, plannedChangeBound)
			}
		})
	}
}
