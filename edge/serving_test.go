package main

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskinstand.example/edge/control"
	"siskinstand.example/fakes/platform"
)

func TestNormalOperation(t *testing.T) {
	s := newTestSite(t)
	s.addReplica("i-llm", "llm", "z1", 6)
	s.addReplica("i-app", "app", "z1", 0)
	t.Run("stream", func(t *testing.T) {
		// Guards against lost, merged or reordered events, and against headers that are not the replica's.
		s.t = t
		r := s.send(streamCall())
		s.checkReply(r, http.StatusOK, platform.StreamBody(6))
		if r.Header.Get("Replica-Stamp") != "stamp.i-llm" || r.Header.Get("Attempt-Id") == "" {
			t.Errorf("headers %v, want the stamp of i-llm and an attempt ID", r.Header)
		}
		run := s.replicas["i-llm"].Runs()[0]
		if run.Account != "t1" || run.Authorization != "" || run.Target != "/streaming/x" || run.Body != "prompt" || run.TimeLeft < 3*time.Second || run.TimeLeft > 5*time.Second {
			t.Errorf("the replica got the request %+v, want it from t1 without the key, unchanged, with 3 s to 5 s left", run)
		}
	})
	t.Run("plain", func(t *testing.T) {
		s.t = t
		s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-app")
		s.checkReply(s.send(platform.PlainCall("non_idempotent")), http.StatusOK, "answer of i-app")
	})
	t.Run("public route", func(t *testing.T) {
		// Guards against a client account's key that is passed on where none is needed.
		s.t = t
		call := platform.PlainCall("public")
		s.checkReply(s.send(call), http.StatusOK, "answer of i-app")
		call.Header = map[string]string{"Authorization": "Basic own"}
		s.checkReply(s.send(call), http.StatusOK, "answer of i-app")
		var got []string
		for _, run := range s.replicas["i-app"].Runs() {
			if strings.HasPrefix(run.Target, platform.PublicPath) {
				got = append(got, run.Authorization)
			}
		}
		if diff := cmp.Diff([]string{"", "Basic own"}, got); diff != "" {
			t.Errorf("Authorization at the replica (-want +got):\n%s", diff)
		}
	})
	t.Run("refused", func(t *testing.T) {
		// Guards against refusals with a status whose meaning in the platform's rules is different.
		s.t = t
		unknownRoute := platform.PlainCall("idempotent")
		unknownRoute.Path = "/nowhere/"
		s.checkVerdict(s.send(unknownRoute), http.StatusNotFound, "not_run")
		unknownKey := platform.PlainCall("idempotent")
		unknownKey.APIKey = "key-9"
		s.checkVerdict(s.send(unknownKey), http.StatusUnauthorized, "not_run")
		longBody := platform.PlainCall("idempotent")
		longBody.Body = strings.Repeat("x", 2<<20)
		s.checkVerdict(s.send(longBody), http.StatusRequestEntityTooLarge, "not_run")
	})
	t.Run("metrics", func(t *testing.T) {
		// Guards against metrics that are missing at the metrics address.
		s.t = t
		s.eventually("responses are counted", func() bool {
			resp, err := http.Get("http://" + s.settings.Admin.Address + "/metrics")
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			var b strings.Builder
			_ = resp.Write(&b) // the search below fails on a truncated text
			return strings.Contains(b.String(), "siskin_edge_answers") && strings.Contains(b.String(), "siskin_edge_first_byte_bucket")
		})
	})
}

func TestCutStreamContinuesOnAnotherReplica(t *testing.T) {
	// Guards against a stream that ends in the middle of an event because its replica fails.
	s := newTestSite(t)
	s.addReplica("i-1", "llm", "z1", 10).SetResponseMode(platform.ResponseTruncated)
	if r := s.send(streamCall()); r.Err == nil {
		t.Errorf("a truncated stream ended without an error: %q", r.Body)
	}
	s.addReplica("i-2", "llm", "z1", 10)
	// Placement prefers the replicas in a fixed order, so each of them is made to fail once.
	for _, first := range []string{"i-1", "i-2"} {
		for id, r := range s.replicas {
			r.SetResponseMode(platform.ResponseComplete)
			if id == first {
				r.SetResponseMode(platform.ResponseTruncated)
			}
		}
		s.checkReply(s.send(streamCall()), http.StatusOK, platform.StreamBody(10))
	}
}

func TestFailingReplica(t *testing.T) {
	repeated := func(t *testing.T, mode platform.ResponseMode) {
		// Guards against passing on the failure of one replica although another one can serve the request.
		s := newTestSite(t)
		s.addReplica("i-1", "app", "z1", 0).SetResponseMode(mode)
		s.addReplica("i-2", "app", "z1", 0)
		for range 6 {
			s.checkReply(s.send(platform.PlainCall("idempotent")), http.StatusOK, "answer of i-2")
		}
	}
	for _, mode := range []platform.ResponseMode{platform.ResponseAtCapacity, platform.ResponseServerError, platform.ResponseTruncated, platform.ResponseAborted, platform.ResponseUnstamped, platform.ResponseWrongID, platform.ResponseMalformed} {
		t.Run("repeated after "+string(mode), func(t *testing.T) { repeated(t, mode) })
	}
	once := map[platform.ResponseMode]struct {
		status  int
		verdict string
	}{
		platform.ResponseAtCapacity: {http.StatusServiceUnavailable, "not_run"},
		platform.ResponseAborted:    {http.StatusBadGateway, "may_have_run"},
		platform.ResponseTruncated:  {http.StatusBadGateway, "may_have_run"},
	}
	for mode, want := range once {
		t.Run("never repeated after "+string(mode), func(t *testing.T) {
			// Guards against a call that runs twice, and against the verdict "not run" for one that may have run.
			s := newTestSite(t)
			s.addReplica("i-1", "app", "z1", 0).SetResponseMode(mode)
			s.addReplica("i-2", "app", "z1", 0).SetResponseMode(mode)
			s.checkVerdict(s.send(platform.PlainCall("non_idempotent")), want.status, want.verdict)
			if n := s.runCount("i-1") + s.runCount("i-2"); n > 1 {
				t.Errorf("%d runs, want at most one", n)
			}
		})
	}
	t.Run("own failure passed on", func(t *testing.T) {
		// Guards against replacing a replica's own error response.
		s := newTestSite(t)
		s.addReplica("i-1", "app", "z1", 0).SetResponseMode(platform.ResponseServerError)
		r := s.send(platform.PlainCall("non_idempotent"))
		s.checkReply(r, http.StatusInternalServerError, "failed")
		if r.Header.Get("Replica-Stamp") == "" {
			t.Error("the replica's response lost its stamp")
		}
	})
}

func TestAddressUsedByAnotherReplica(t *testing.T) {
	// Guards against running a request at a different replica that has taken over an address.
	s := newTestSite(t)
	other := s.addReplica("i-new", "app", "z1", 0)
	s.store.Put(platform.ReplicaPrefix+"i-old", other.StoreEntry("ready"))
	s.eventually("both entries are known", func() bool { return s.edge.loop.View().ReplicaCount == 2 })
	s.store.Delete(platform.ReplicaPrefix + "i-new")
	s.eventually("the entry is gone", func() bool { return s.edge.loop.View().ReplicaCount == 1 })
	s.checkVerdict(s.send(platform.PlainCall("idempotent")), http.StatusServiceUnavailable, "not_run")
	if n := s.runCount("i-new"); n != 0 {
		t.Errorf("%d requests ran at the wrong replica, want none", n)
	}
}

func TestCallerDisconnects(t *testing.T) {
	// Guards against a replica that continues to work after the caller has closed its connection.
	s := newTestSite(t)
	s.addReplica("i-1", "llm", "z1", 1000)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, cancel)
	s.sendContext(ctx, streamCall())
	s.eventually("the run has ended", func() bool {
		runs := s.replicas["i-1"].Runs()
		return len(runs) == 1 && runs[0].Ended && !runs[0].Completed
	})
}

func TestRouteTimeout(t *testing.T) {
	// Guards against a request without a final response at the timeout of its route.
	s := newTestSite(t)
	s.timeout = 300 * time.Millisecond
	s.configure()
	s.addReplica("i-1", "app", "z1", 0).SetResponseMode(platform.ResponseHang)
	s.eventually("the timeout is in force", func() bool { return s.edge.loop.View().Catalog.Version() == s.version })
	start := time.Now()
	s.checkVerdict(s.send(platform.PlainCall("non_idempotent")), http.StatusGatewayTimeout, "may_have_run")
	if took := time.Since(start); took > 800*time.Millisecond {
		t.Errorf("the response took %v, want at most 800ms", took)
	}
}

func TestReservationIsReleased(t *testing.T) {
	// Guards against memory that stays reserved after the end of its request.
	s := newTestSite(t)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		s.addReplica(id, "llm", "z1", 3)
	}
	c := streamCall()
	c.Header["Token-Counts"] = "500000,100"
	s.eventually("the prompt is answered", func() bool { return s.send(c).Status == http.StatusOK })
	reserved := 0
	for _, r := range s.replicas {
		for _, op := range r.Orders() {
			if op == "reserve" {
				reserved++
			}
		}
	}
	for id, r := range s.replicas {
		// The reservation of a killed host must expire within the platform's limit of 4 s. When its time to live was
		// the expected duration of the request, it stayed for 4.1 s (a recorded run with seed 44, at 17.0 s).
		if hold := r.LongestReservation(); hold > 4*time.Second {
			t.Errorf("memory at %s was reserved for %v, want at most 4s", id, hold)
		}
	}
	// One other replica holds what does not fit into the first one's memory. A request this short must not renew the
	// reservation, because a renewal that is executed late would leak memory.
	if reserved != 1 {
		t.Errorf("%d reservations for a prompt larger than one replica's memory, want 1", reserved)
	}
	s.eventually("the memory is free", func() bool {
		n := 0
		for _, r := range s.replicas {
			n += r.ReservationCount()
		}
		return n == 0
	})
}

// Guards against a request that reaches a replica after it has left: the replica was chosen
// before, and reserving memory at the helpers took a while.
func TestReplicaLeavesDuringReservation(t *testing.T) {
	s := newTestSite(t)
	ids := []string{"i-1", "i-2", "i-3"}
	for _, id := range ids {
		s.addReplica(id, "llm", "z1", 3).SetReservationDelay(600 * time.Millisecond)
	}
	c := streamCall()
	c.Header["Token-Counts"] = "500000,100"
	done := make(chan platform.Reply, 1)
	go func() { done <- s.send(c) }()
	s.eventually("memory is being reserved", func() bool {
		return slices.ContainsFunc(ids, func(id string) bool { return len(s.replicas[id].Orders()) > 0 })
	})
	for _, id := range ids {
		s.store.Delete(platform.ReplicaPrefix + id)
	}
	s.checkVerdict(<-done, http.StatusServiceUnavailable, "not_run")
	for _, id := range ids {
		if n := s.runCount(id); n > 0 {
			t.Errorf("replica %s ran %d requests after it had left", id, n)
		}
	}
}

// Guards against prompts to a helper that has said in the response to a reservation that it
// leaves.
func TestHelperSaysThatItLeaves(t *testing.T) {
	s := newTestSite(t)
	ids := []string{"i-1", "i-2", "i-3"}
	for _, id := range ids {
		s.addReplica(id, "llm", "z1", 3).SetLeaving(true)
	}
	c := streamCall()
	c.Header["Token-Counts"] = "500000,100"
	s.checkReply(s.send(c), http.StatusOK, "")
	usable := 0
	for _, id := range ids {
		ok, err := s.edge.loop.IsUsable(t.Context(), "llm", control.Target{ID: id, Address: s.replicas[id].Address(), StartUnixMs: 1700000000000})
		if err != nil {
			t.Fatal(err)
		}
		if ok {
			usable++
		}
	}
	if usable != 1 {
		t.Errorf("%d replicas usable, want the one that got neither the prompt nor a reservation", usable)
	}
}

func TestBadContinuation(t *testing.T) {
	// Guards against continuing a stream with a response that is not a stream or that starts from the beginning: its
	// bytes would be appended to the first events.
	for _, mode := range []platform.ResponseMode{platform.ResponseDuplicated, platform.ResponseRestartedStream, platform.ResponseNotFound} {
		t.Run(string(mode), func(t *testing.T) {
			s := newTestSite(t)
			s.addReplica("i-1", "llm", "z1", 10)
			s.addReplica("i-2", "llm", "z1", 10)
			for _, first := range []string{"i-1", "i-2"} {
				for id, r := range s.replicas {
					r.SetResponseMode(mode)
					if id == first {
						r.SetResponseMode(platform.ResponseTruncated)
					}
				}
				r := s.send(streamCall())
				if r.Status != http.StatusOK || len(s.replicas[first].Runs()) == 0 {
					continue // the other replica was chosen first
				}
				if r.Err == nil || !strings.HasPrefix(platform.StreamBody(10), r.Body) {
					t.Errorf("the stream ended with %q, %v; want its first events and no end", r.Body, r.Err)
				}
			}
		})
	}
}
