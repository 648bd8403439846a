package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

const crashPartPrefix = "siskin/part/"

// partCall returns a call whose prompt shares its first part with the others and has a body
// of its own.
func partCall(part string, i int) platform.Call {
	c := streamCall()
	c.Body = fmt.Sprintf("prompt %d", i)
	c.Header["Prompt-Prefix"] = fmt.Sprintf("%s:4000,%x:1000", part, 1000+i)
	return c
}

// crashSpan is longer than the time that the crashes for a refusal have to span.
const crashSpan = 350 * time.Millisecond

// refusePart makes the host refuse a part by crashes of replicas.
func (s *testSite) refusePart(part string) {
	s.t.Helper()
	i := 0
	s.eventually("part "+part+" is refused", func() bool {
		i++
		if strings.Contains(s.send(partCall(part, i)).Body, "crash_suspect") {
			return true
		}
		time.Sleep(crashSpan)
		return false
	})
}

func (s *testSite) restart() {
	s.t.Helper()
	s.stop()
	if err := <-s.exited; err != nil {
		s.t.Fatal(err)
	}
	s.start()
}

func TestRefusedPartAfterRestart(t *testing.T) {
	// Guards against a part that crashes replicas again after all hosts have been restarted,
	// also if the store was down when the part was refused.
	for _, fault := range []platform.Fault{platform.FaultNone, platform.FaultUnavailable, platform.FaultLostAnswer} {
		t.Run("store "+string(fault), func(t *testing.T) {
			s := newTestSite(t)
			for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
				s.addReplica(id, "llm", "z1", 4).SetResponseMode(platform.ResponseCrash)
			}
			s.store.SetFault(fault)
			s.refusePart("ab")
			for _, r := range s.replicas {
				r.SetResponseMode(platform.ResponseComplete)
			}
			s.store.SetFault(platform.FaultNone)
			s.eventually("the part is in the store", func() bool { return len(s.store.Keys(crashPartPrefix)) == 1 })
			s.restart()
			// The first request after the start is refused already.
			if r := s.send(partCall("ab", 100)); !strings.Contains(r.Body, "crash_suspect") {
				t.Errorf("response %d %q to the part after the restart, want a refusal", r.Status, r.Body)
			}
			s.eventually("other prompts are served", func() bool { return s.send(partCall("cd", 101)).Status == http.StatusOK })
			s.store.Delete(s.store.Keys(crashPartPrefix)[0])
			s.eventually("the part is served after its withdrawal", func() bool { return s.send(partCall("ab", 102)).Status == http.StatusOK })
		})
	}
}

func TestRefusedPartFromOtherHost(t *testing.T) {
	// Guards against a refusal that reaches a running host only by datagrams, and against
	// entries of other writers that stop a host from reading the store.
	s := newTestSite(t)
	s.addReplica("i-1", "llm", "z1", 4)
	s.store.Put(crashPartPrefix+"x", []byte("\xff"))
	s.store.Put(crashPartPrefix+"00000000000000ab", map[string]any{"crashes": []string{"0000000000000001", "0000000000000002"}, "refused_at_ms": time.Now().UnixMilli()})
	s.configure()
	s.waitForConfiguration() // it comes after the entries
	if r := s.send(partCall("ab", 1)); !strings.Contains(r.Body, "crash_suspect") {
		t.Errorf("response %d %q to the part, want a refusal", r.Status, r.Body)
	}
	s.checkReply(s.send(partCall("cd", 2)), http.StatusOK, platform.StreamBody(4))
	if n := len(s.store.Keys(crashPartPrefix)); n != 2 {
		t.Errorf("%d entries, want 2", n)
	}
}
