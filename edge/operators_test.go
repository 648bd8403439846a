package main

import (
	"net/http"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

func (s *site) inForce() {
	s.t.Helper()
	s.eventually("the configuration is in force", func() bool { return s.edge.loop.View().Catalog.Version() == s.version })
}

func TestRevokedKey(t *testing.T) {
	t.Run("in touch", func(t *testing.T) {
		s := newSite(t)
		s.add("i-1", "app", "z1", 0)
		s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "")
		s.accounts = []platform.Account{{Name: "t1", Keys: []string{"key-2"}}}
		s.configure()
		s.inForce()
		s.checkVerdict(s.send(platform.PlainCall("idempotent")), http.StatusUnauthorized, "not_run")
	})
	for _, fault := range []platform.Fault{platform.FaultHang, platform.FaultUnavailable, platform.FaultTooManyRequests, platform.FaultReset} {
		t.Run("store "+string(fault), func(t *testing.T) {
			// Guards against a host that can't know of a revocation and serves the key after the bound (here 1 s).
			s := newSite(t)
			s.add("i-1", "app", "z1", 0)
			s.store.SetFault(fault)
			s.accounts = nil
			s.configure()
			time.Sleep(1100 * time.Millisecond)
			s.checkVerdict(s.send(platform.PlainCall("idempotent")), http.StatusServiceUnavailable, "not_run")
			if s.ready() == http.StatusOK {
				t.Error("a host that knows no newest configuration takes new connections")
			}
			s.accounts = []platform.Account{{Name: "t1", Keys: []string{platform.SampleAPIKey}}}
			s.configure()
			s.store.SetFault(platform.FaultNone)
			s.eventually("the host serves again", func() bool { return s.send(platform.PlainCall("idempotent")).Status == http.StatusOK })
		})
	}
}

func TestUnknownKeyAtAHostOutOfTouch(t *testing.T) {
	// Guards against 401 for a key that the operators have just added and this host can't know.
	s := newSite(t)
	s.add("i-1", "app", "z1", 0)
	s.store.SetFault(platform.FaultReset)
	time.Sleep(750 * time.Millisecond)
	c := platform.PlainCall("idempotent")
	c.APIKey = "key-new"
	s.checkVerdict(s.send(c), http.StatusServiceUnavailable, "not_run")
}

func TestEvacuatedZone(t *testing.T) {
	// Guards against work in an evacuated zone, and against a zone that stays out.
	s := newSite(t)
	s.add("i-1", "app", "z1", 0)
	s.add("i-2", "app", "z2", 0)
	s.store.Put(platform.EvacuatePrefix+"z1", map[string]any{})
	s.eventually("z1 is out", func() bool {
		before := s.runs("i-1")
		for range 4 {
			s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "")
		}
		return s.runs("i-1") == before
	})
	s.store.Delete(platform.EvacuatePrefix + "z1")
	s.eventually("z1 is back", func() bool {
		before := s.runs("i-1")
		s.send(platform.PlainCall("idempotent"))
		return s.runs("i-1") > before
	})
}

func TestDrainingReplica(t *testing.T) {
	// Guards against work on a replica that is leaving, reported or not.
	s := newSite(t)
	first := s.add("i-1", "app", "z1", 0)
	s.add("i-2", "app", "z1", 0)
	s.store.Put(platform.ReplicaPrefix+"i-1", first.StoreEntry("draining"))
	time.Sleep(200 * time.Millisecond)
	before := s.runs("i-1")
	for range 6 {
		s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-2")
	}
	if s.runs("i-1") != before {
		t.Error("a draining replica got work")
	}
	s.store.Delete(platform.ReplicaPrefix + "i-2")
	s.eventually("no replica is left", func() bool { return s.send(platform.PlainCall("idempotent")).Status == http.StatusServiceUnavailable })
}

func TestForgedEntries(t *testing.T) {
	// Guards against an entry of another writer that names a replica or stops the others, and an
	// invalid configuration that displaces a good one.
	s := newSite(t)
	s.add("i-1", "app", "z1", 0)
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
	s.inForce()
}

func TestStoreForgetsItsHistory(t *testing.T) {
	// Guards against a host that misses what changed while its watch was cut.
	s := newSite(t)
	s.add("i-1", "app", "z1", 0)
	s.store.SetFault(platform.FaultUnavailable)
	time.Sleep(50 * time.Millisecond)
	s.configure()
	s.store.Delete(platform.ReplicaPrefix + "i-1")
	s.store.CompactHistory()
	s.store.SetFault(platform.FaultNone)
	s.inForce()
	s.eventually("the replica is gone", func() bool { return s.send(platform.PlainCall("idempotent")).Status == http.StatusServiceUnavailable })
}

func TestLeasesLapseInAnOutage(t *testing.T) {
	// Guards against an empty list of replicas right after an outage, and against an own entry that stays lost.
	s := newSite(t)
	s.add("i-1", "app", "z1", 0)
	s.eventually("the host has its entry", func() bool { return len(s.store.Keys("siskin/edge/")) == 1 })
	s.store.SetFault(platform.FaultReset)
	time.Sleep(400 * time.Millisecond)
	s.store.ExpireLeases()
	s.store.Delete(platform.ReplicaPrefix + "i-1")
	s.store.SetFault(platform.FaultNone)
	s.eventually("the store answers", func() bool { return !s.edge.loop.View().StoreLost })
	s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-1")
	s.store.Put(platform.ReplicaPrefix+"i-1", s.replicas["i-1"].StoreEntry("ready"))
	time.Sleep(1600 * time.Millisecond)
	s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-1")
	s.eventually("the host has its entry again", func() bool { return len(s.store.Keys("siskin/edge/")) == 1 })
}

func TestGracefulShutdown(t *testing.T) {
	// Guards against a shutdown that cuts a request, and against one that does not tell the balancer first.
	s := newSite(t)
	s.add("i-1", "llm", "z1", 120)
	done := make(chan platform.Reply, 1)
	go func() { done <- s.send(streamCall()) }()
	s.eventually("the stream runs", func() bool { return s.runs("i-1") == 1 })
	s.stop()
	s.eventually("the host is not ready", func() bool { return s.ready() == http.StatusServiceUnavailable })
	s.checkReply(<-done, http.StatusOK, platform.StreamBody(120))
	select {
	case err := <-s.ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(4 * time.Second):
		t.Error("the process does not end")
	}
	if keys := s.store.Keys("siskin/edge/"); len(keys) != 0 {
		t.Errorf("the host's entry stays after its end: %v", keys)
	}
}

func TestRestartRightAfterAChange(t *testing.T) {
	// Guards against a restarted host that serves an older configuration.
	s := newSite(t)
	s.add("i-1", "app", "z1", 0)
	s.accounts = []platform.Account{{Name: "t1", Keys: []string{"key-3"}}}
	s.configure()
	s.stop()
	<-s.ended
	s.start()
	s.checkVerdict(s.send(platform.PlainCall("idempotent")), http.StatusUnauthorized, "not_run")
	c := platform.PlainCall("idempotent")
	c.APIKey = "key-3"
	s.checkReply(s.send(c), http.StatusOK, "answer of i-1")
}

func TestRestartOfAllHosts(t *testing.T) {
	restart := func(t *testing.T, outage time.Duration) (platform.Reply, time.Duration) {
		t.Helper()
		s := newSite(t)
		s.add("i-1", "app", "z1", 0)
		s.stop()
		<-s.ended
		s.store.SetFault(platform.FaultUnavailable)
		s.launch()
		s.eventually("the host listens", func() bool { return s.ready() != 0 })
		time.AfterFunc(outage, func() { s.store.SetFault(platform.FaultNone) })
		began := time.Now()
		r := s.send(platform.PlainCall("idempotent"))
		return r, time.Since(began)
	}
	t.Run("configuration comes soon", func(t *testing.T) {
		// Guards against callers who lose their only repeat because the hosts
		// that have just started refuse it, all of them.
		if r, took := restart(t, 200*time.Millisecond); r.Status != http.StatusOK {
			t.Errorf("answer %d %q after %v", r.Status, r.Body, took)
		}
	})
	t.Run("store stays away", func(t *testing.T) {
		// Guards against a request that waits for a configuration without end.
		r, took := restart(t, time.Minute)
		if r.Status != http.StatusServiceUnavailable || took > time.Second {
			t.Errorf("answer %d %q after %v, want 503 within 1s", r.Status, r.Body, took)
		}
	})
}
