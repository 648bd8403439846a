package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

func TestCrashCausingRequest(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		// Guards against a request that crashes one replica after the other through retries.
		checkCrashCausingRequest(t, "llm", streamCall(), platform.ResponseCrash, platform.StreamBody(4))
	})
	t.Run("call, in the middle of the response", func(t *testing.T) {
		// Guards against a request that crashes replicas without end, because its response has begun.
		checkCrashCausingRequest(t, "app", platform.PlainCall("idempotent"), platform.ResponseCrashMidway, "")
	})
	t.Run("stream, in the middle of the response", func(t *testing.T) {
		checkCrashCausingRequest(t, "llm", streamCall(), platform.ResponseCrashMidway, platform.StreamBody(4))
	})
}

// checkCrashCausingRequest sends a request that crashes replicas until it is refused. At most
// two of four replicas may crash, and another request must be served then.
func checkCrashCausingRequest(t *testing.T, service string, crash platform.Call, mode platform.ResponseMode, body string) {
	t.Helper()
	s := newTestSite(t)
	other := crash
	crash.Body = "crash"
	events := 0
	if service == "llm" {
		events = 4
	}
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s.addReplica(id, service, "z1", events).SetResponseMode(mode)
	}
	alive := func() int {
		n := 0
		for _, r := range s.replicas {
			if !r.Crashed() {
				n++
			}
		}
		return n
	}
	s.eventually("the request is refused", func() bool { return strings.Contains(s.send(crash).Body, "crash_suspect") })
	if n := alive(); n < 2 {
		t.Errorf("%d of 4 replicas are alive, want at least 2", n)
	}
	for _, r := range s.replicas {
		r.SetResponseMode(platform.ResponseComplete)
	}
	s.checkReply(s.send(other), http.StatusOK, body)
}

func TestConnectionResetsAreNotCrashes(t *testing.T) {
	// Guards against refusing requests as crash suspects because replicas reset single connections.
	s := newTestSite(t)
	for _, id := range []string{"i-1", "i-2"} {
		s.addReplica(id, "llm", "z1", 4).SetResponseMode(platform.ResponseAborted)
	}
	for range 3 {
		if r := s.send(streamCall()); strings.Contains(r.Body, "crash_suspect") {
			t.Fatalf("refused as a crash suspect: %s; want no crash suspect", r.Body)
		}
	}
	for _, r := range s.replicas {
		r.SetResponseMode(platform.ResponseComplete)
	}
	time.Sleep(500 * time.Millisecond)
	s.checkReply(s.send(streamCall()), http.StatusOK, platform.StreamBody(4))
}

func TestRefusedRequestAfterRestart(t *testing.T) {
	// Guards against a request that crashes replicas again after all hosts have been restarted, also if the store was
	// down when it was refused.
	for _, fault := range []platform.Fault{platform.FaultNone, platform.FaultUnavailable, platform.FaultLostAnswer} {
		t.Run("store "+string(fault), func(t *testing.T) {
			s := newTestSite(t)
			for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
				s.addReplica(id, "app", "z1", 0).SetResponseMode(platform.ResponseCrash)
			}
			crash := platform.PlainCall("idempotent")
			crash.Body = "crash"
			s.store.SetFault(fault)
			s.eventually("the request is refused", func() bool { return strings.Contains(s.send(crash).Body, "crash_suspect") })
			s.store.SetFault(platform.FaultNone)
			s.eventually("the request is stored", func() bool { return len(s.store.Keys("siskin/request/")) == 1 })
			s.restart()
			if r := s.send(crash); !strings.Contains(r.Body, "crash_suspect") {
				t.Errorf("response %d %q after the restart, want a refusal", r.Status, r.Body)
			}
			if keys := s.store.Keys("siskin/part/"); len(keys) > 0 {
				t.Errorf("parts %v stored for a request without a prompt", keys)
			}
		})
	}
}
