package main

import (
	"net/http"
	"testing"
	"time"

	"siskinstand.example/edge/control"
	"siskinstand.example/fakes/platform"
)

func (s *testSite) waitForConfiguration() {
	s.t.Helper()
	s.eventually("the configuration is in force", func() bool { return s.edge.loop.View().Catalog.Version() == s.version })
}

func TestRevokedKey(t *testing.T) {
	t.Run("store reachable", func(t *testing.T) {
		s := newTestSite(t)
		s.addReplica("i-1", "app", "z1", 0)
		s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "")
		s.accounts = []platform.Account{{Name: "t1", Keys: []string{"key-2"}}}
		s.configure()
		s.waitForConfiguration()
		s.checkVerdict(s.send(platform.PlainCall("idempotent")), http.StatusUnauthorized, "not_run")
	})
	for _, fault := range []platform.Fault{platform.FaultHang, platform.FaultUnavailable, platform.FaultTooManyRequests, platform.FaultReset} {
		t.Run("store "+string(fault), func(t *testing.T) {
			// Guards against a host that cannot learn of a revocation and serves the key beyond key_age (here 1 s).
			s := newTestSite(t)
			s.addReplica("i-1", "app", "z1", 0)
			s.store.SetFault(fault)
			s.accounts = nil
			s.configure()
			time.Sleep(1100 * time.Millisecond)
			s.checkVerdict(s.send(platform.PlainCall("idempotent")), http.StatusServiceUnavailable, "not_run")
			if s.readyStatus() == http.StatusOK {
				t.Error("a host without a fresh configuration proof is ready")
			}
			s.accounts = []platform.Account{{Name: "t1", Keys: []string{platform.SampleAPIKey}}}
			s.configure()
			s.store.SetFault(platform.FaultNone)
			s.eventually("the host serves again", func() bool { return s.send(platform.PlainCall("idempotent")).Status == http.StatusOK })
		})
	}
}

func TestUnknownKeyDuringStoreOutage(t *testing.T) {
	// Guards against a 401 for a key that the operators have just added and this host cannot know.
	s := newTestSite(t)
	s.addReplica("i-1", "app", "z1", 0)
	s.store.SetFault(platform.FaultReset)
	time.Sleep(750 * time.Millisecond)
	c := platform.PlainCall("idempotent")
	c.APIKey = "key-new"
	s.checkVerdict(s.send(c), http.StatusServiceUnavailable, "not_run")
}

func TestEvacuatedZone(t *testing.T) {
	// Guards against requests in an evacuated availability zone, and against a zone that is not used again afterwards.
	s := newTestSite(t)
	s.addReplica("i-1", "app", "z1", 0)
	s.addReplica("i-2", "app", "z2", 0)
	s.store.Put(platform.EvacuatePrefix+"z1", map[string]any{})
	s.eventually("z1 gets no more requests", func() bool {
		before := s.runCount("i-1")
		for range 4 {
			s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "")
		}
		return s.runCount("i-1") == before
	})
	s.store.Delete(platform.EvacuatePrefix + "z1")
	s.eventually("z1 gets requests again", func() bool {
		before := s.runCount("i-1")
		s.send(platform.PlainCall("idempotent"))
		return s.runCount("i-1") > before
	})
}

func TestDrainingReplica(t *testing.T) {
	// Guards against requests to a replica that is draining or has been removed.
	s := newTestSite(t)
	first := s.addReplica("i-1", "app", "z1", 0)
	s.addReplica("i-2", "app", "z1", 0)
	s.store.Put(platform.ReplicaPrefix+"i-1", first.StoreEntry("draining"))
	time.Sleep(200 * time.Millisecond)
	before := s.runCount("i-1")
	for range 6 {
		s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-2")
	}
	if s.runCount("i-1") != before {
		t.Error("a draining replica got requests")
	}
	s.store.Delete(platform.ReplicaPrefix + "i-2")
	s.eventually("no replica is left", func() bool { return s.send(platform.PlainCall("idempotent")).Status == http.StatusServiceUnavailable })
}

func TestReplicaSaysThatItLeaves(t *testing.T) {
	// Guards against requests to a replica that has said in a response that it leaves. Its entry does not show it.
	answers := map[string]struct {
		service string
		events  int
		call    platform.Call
		mode    platform.ResponseMode
	}{
		"call":    {"app", 0, platform.PlainCall("idempotent"), platform.ResponseComplete},
		"stream":  {"llm", 100, streamCall(), platform.ResponseComplete},
		"error":   {"app", 0, platform.PlainCall("idempotent"), platform.ResponseServerError},
		"refusal": {"app", 0, platform.PlainCall("idempotent"), platform.ResponseAtCapacity},
	}
	for name, tc := range answers {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t)
			r := s.addReplica("i-1", tc.service, "z1", tc.events)
			r.SetResponseMode(tc.mode)
			r.SetLeaving(true)
			done := make(chan platform.Reply, 1)
			go func() { done <- s.send(tc.call) }()
			// A stream of 100 events takes 0.5 s; the head says that the replica leaves.
			s.eventually("the replica is not used", func() bool {
				usable, err := s.edge.loop.IsUsable(t.Context(), tc.service, control.Target{ID: "i-1", Address: r.Address(), StartUnixMs: 1700000000000})
				return err == nil && !usable
			})
			if tc.events > 0 {
				select {
				case <-done:
					t.Error("the stream had ended before its head was considered")
				default:
				}
			}
			first := <-done
			if tc.mode == platform.ResponseComplete && first.Status != http.StatusOK {
				t.Errorf("response %d of the replica that leaves, want it passed on", first.Status)
			}
			before := s.runCount("i-1")
			s.store.Put(platform.ReplicaPrefix+"i-1", r.StoreEntry("ready"))
			time.Sleep(100 * time.Millisecond)
			s.checkVerdict(s.send(tc.call), http.StatusServiceUnavailable, "not_run")
			if n := s.runCount("i-1"); n != before {
				t.Errorf("%d requests ran at the replica after it had said that it leaves", n-before)
			}
			s.addReplica("i-2", tc.service, "z1", 1)
			s.eventually("the other replica serves", func() bool { return s.send(tc.call).Status == http.StatusOK })
		})
	}
}

func TestReplicaAsksForPause(t *testing.T) {
	// Guards against requests to a replica that has asked for a pause, which reach it until the end of the pause, and
	// against a replica that is not used afterwards.
	s := newTestSite(t)
	r := s.addReplica("i-1", "app", "z1", 0)
	r.SetResponseMode(platform.ResponseAtCapacity)
	r.SetPause("1.2")
	s.eventually("a request is refused", func() bool { s.send(platform.PlainCall("idempotent")); return len(r.Refusals()) > 0 })
	began := r.Refusals()[0]
	r.SetResponseMode(platform.ResponseComplete)
	for time.Since(began) < time.Second {
		reply := s.send(platform.PlainCall("non_idempotent"))
		s.checkVerdict(reply, http.StatusServiceUnavailable, "not_run")
		if wait := reply.Header.Get("Retry-After"); wait == "" {
			t.Error("a refusal during the pause has no Retry-After")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := len(r.Runs()); n > 0 {
		t.Errorf("%d requests reached the replica during its pause", n)
	}
	s.eventually("the replica is used again", func() bool { return s.send(platform.PlainCall("idempotent")).Status == http.StatusOK })
	if d := time.Since(began); d < 1200*time.Millisecond {
		t.Errorf("used again after %v, want 1.2s", d)
	}
}

func TestForgedEntries(t *testing.T) {
	// Guards against invalid entries of other writers that are used as a replica or block the valid ones, and against
	// an invalid configuration that replaces a valid one.
	s := newTestSite(t)
	s.addReplica("i-1", "app", "z1", 0)
	for key, value := range map[string]string{
		platform.ReplicaPrefix + "i-2": "\xff", platform.ReplicaPrefix + "i-3": `{"backend":"app"}`, platform.ReplicaPrefix: `{}`, "op/other": "x", platform.ConfigKey: `{"version":99,"routes":[{}]}`, "siskin/edge/x": "[]",
	} {
		s.store.Put(key, []byte(value))
	}
	time.Sleep(300 * time.Millisecond)
	for range 4 {
		s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-1")
	}
	s.configure()
	s.waitForConfiguration()
}

func TestStoreCompactsHistory(t *testing.T) {
	// Guards against a host that misses changes made while its watch was interrupted.
	s := newTestSite(t)
	s.addReplica("i-1", "app", "z1", 0)
	s.store.SetFault(platform.FaultUnavailable)
	time.Sleep(50 * time.Millisecond)
	s.configure()
	s.store.Delete(platform.ReplicaPrefix + "i-1")
	s.store.CompactHistory()
	s.store.SetFault(platform.FaultNone)
	s.waitForConfiguration()
	s.eventually("the replica is gone", func() bool { return s.send(platform.PlainCall("idempotent")).Status == http.StatusServiceUnavailable })
}

func TestLeasesExpireDuringOutage(t *testing.T) {
	// Guards against an empty list of replicas right after a store outage, and against losing the host's own entry.
	s := newTestSite(t)
	s.addReplica("i-1", "app", "z1", 0)
	s.eventually("the host has its entry", func() bool { return len(s.store.Keys("siskin/edge/")) == 1 })
	s.store.SetFault(platform.FaultReset)
	time.Sleep(400 * time.Millisecond)
	s.store.ExpireLeases()
	s.store.Delete(platform.ReplicaPrefix + "i-1")
	s.store.SetFault(platform.FaultNone)
	s.eventually("the store is available again", func() bool { return !s.edge.loop.View().StoreUnavailable })
	s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-1")
	s.store.Put(platform.ReplicaPrefix+"i-1", s.replicas["i-1"].StoreEntry("ready"))
	time.Sleep(1600 * time.Millisecond)
	s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-1")
	s.eventually("the host has its entry again", func() bool { return len(s.store.Keys("siskin/edge/")) == 1 })
}

func TestGracefulShutdown(t *testing.T) {
	// Guards against a shutdown that cuts a request, and against one that does not notify the load balancer first.
	s := newTestSite(t)
	s.addReplica("i-1", "llm", "z1", 120)
	done := make(chan platform.Reply, 1)
	go func() { done <- s.send(streamCall()) }()
	s.eventually("the stream runs", func() bool { return s.runCount("i-1") == 1 })
	s.stop()
	s.eventually("the host is not ready", func() bool { return s.readyStatus() == http.StatusServiceUnavailable })
	s.checkReply(<-done, http.StatusOK, platform.StreamBody(120))
	select {
	case err := <-s.exited:
		if err != nil {
			t.Errorf("the daemon ended with %v, want no error", err)
		}
	case <-time.After(4 * time.Second):
		t.Error("the daemon has not ended within 4s")
	}
	if keys := s.store.Keys("siskin/edge/"); len(keys) != 0 {
		t.Errorf("the host's entry was not removed at shutdown: %v", keys)
	}
}

func TestRestartAfterConfigurationChange(t *testing.T) {
	// Guards against a restarted host that serves with an older configuration.
	s := newTestSite(t)
	s.addReplica("i-1", "app", "z1", 0)
	s.accounts = []platform.Account{{Name: "t1", Keys: []string{"key-3"}}}
	s.configure()
	s.stop()
	<-s.exited
	s.start()
	s.checkVerdict(s.send(platform.PlainCall("idempotent")), http.StatusUnauthorized, "not_run")
	c := platform.PlainCall("idempotent")
	c.APIKey = "key-3"
	s.checkReply(s.send(c), http.StatusOK, "answer of i-1")
}

func TestRestartOfAllHosts(t *testing.T) {
	restart := func(t *testing.T, outage time.Duration) (platform.Reply, time.Duration) {
		t.Helper()
		s := newTestSite(t)
		s.addReplica("i-1", "app", "z1", 0)
		s.stop()
		<-s.exited
		s.store.SetFault(platform.FaultUnavailable)
		s.startWithoutWaiting()
		s.eventually("the host listens", func() bool { return s.readyStatus() != 0 })
		time.AfterFunc(outage, func() { s.store.SetFault(platform.FaultNone) })
		began := time.Now()
		r := s.send(platform.PlainCall("idempotent"))
		return r, time.Since(began)
	}
	t.Run("configuration comes soon", func(t *testing.T) {
		// Guards against refusing requests on all hosts right after they have started, which uses up the only
		// retry of the callers.
		if r, took := restart(t, 200*time.Millisecond); r.Status != http.StatusOK {
			t.Errorf("response %d %q after %v, want 200", r.Status, r.Body, took)
		}
	})
	t.Run("store stays unavailable", func(t *testing.T) {
		// Guards against a request that waits for a configuration indefinitely.
		r, took := restart(t, time.Minute)
		if r.Status != http.StatusServiceUnavailable || took > time.Second {
			t.Errorf("response %d %q after %v, want 503 within 1s", r.Status, r.Body, took)
		}
	})
}
