package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

func TestCrashCausingRequest(t *testing.T) {
	// Guards against a request that takes down one replica after the other.
	s := newSite(t)
	crash := streamCall()
	crash.Body = "crash"
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s.add(id, "llm", "z1", 4).SetResponseMode(platform.ResponseCrash)
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
		t.Errorf("%d of 4 replicas are left, want two", n)
	}
	for _, r := range s.replicas {
		r.SetResponseMode(platform.ResponseComplete)
	}
	s.checkReply(s.send(streamCall()), http.StatusOK, platform.StreamBody(4))
}

func TestResetsAreNoCrashes(t *testing.T) {
	// Guards against innocent requests refused because replicas reset single connections.
	s := newSite(t)
	for _, id := range []string{"i-1", "i-2"} {
		s.add(id, "llm", "z1", 4).SetResponseMode(platform.ResponseAborted)
	}
	for range 3 {
		if r := s.send(streamCall()); strings.Contains(r.Body, "crash_suspect") {
			t.Fatalf("refused as a suspect: %s", r.Body)
		}
	}
	for _, r := range s.replicas {
		r.SetResponseMode(platform.ResponseComplete)
	}
	time.Sleep(500 * time.Millisecond)
	s.checkReply(s.send(streamCall()), http.StatusOK, platform.StreamBody(4))
}
