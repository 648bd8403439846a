package main

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

// Guards against faulty replicas that send bytes without end, in heads and bodies: a process that
// keeps them runs out of memory, and the requests of other clients end with it.
func TestCrowdBeforeEndlessReplicas(t *testing.T) {
	s := newCrowdSite(t, buildEdge(t), crowdMemoryMB, crowdBodyLimit)
	const (
		callers = 40
		// crowdLength is long enough for replicas that have failed to be tried again.
		crowdLength = 3 * time.Second
		// minRuns is the number of endless responses that the host must have met.
		minRuns = 20
	)
	var endless []*platform.Replica
	for id, c := range map[string]platform.ReplicaConfig{
		"i-app-2": {Service: platform.PlainService}, "i-app-3": {Service: platform.PlainService},
		"i-llm-2": {Service: platform.ModelService, StreamEvents: 1}, "i-llm-3": {Service: platform.ModelService, StreamEvents: 1},
	} {
		c.ID, c.Zone, c.Slots = id, "z1", 100
		r, err := platform.NewReplica(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		r.SetResponseMode(platform.ResponseEndless)
		s.store.Put(platform.ReplicaPrefix+id, r.StoreEntry("ready"))
		endless = append(endless, r)
	}
	var g sync.WaitGroup
	for i := range callers {
		g.Go(func() {
			call := platform.PlainCall("non_idempotent")
			if i%2 == 0 {
				call = platform.StreamCall(1000)
			}
			for end := time.Now().Add(crowdLength); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				r := platform.SendOnNewConnection(t.Context(), s.edge.callerAddress, call)
				if r.Err == nil && r.Status == http.StatusOK && r.Body != "answer" && r.Body != "" {
					t.Errorf("an endless response counts as whole: %d bytes", len(r.Body))
				}
			}
		})
	}
	g.Wait()
	served, peak, runs := holdsWithin5s(s.isServed), s.peakMemoryMB(), 0
	for _, r := range endless {
		runs += len(r.Runs())
	}
	t.Logf("peak memory %d MB, %d endless responses, ordinary request served: %t", peak, runs, served)
	if peak > crowdMemoryMB || runs < minRuns || !served {
		t.Errorf("peak memory %d MB (at most %d), %d endless responses (at least %d), ordinary request served: %t", peak, crowdMemoryMB, runs, minRuns, served)
	}
}
