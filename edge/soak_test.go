package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"siskinstand.example/fakes/faultproxy"
	"siskinstand.example/fakes/platform"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "seed of the faults")
	soakTime  = flag.Duration("soak.time", 12*time.Second, "length of the soak")
	soakHosts = flag.Int("soak.hosts", 3, "number of entry hosts")
	soakPast  = flag.Bool("soak.past", false, "play the seeds that failed before, too")
)

// failedSeeds holds the seeds that have failed before, with the cause. Since timing differs
// between runs, each fault in the program also has a separate test.
var failedSeeds = map[uint64]string{
	1:   "SIGHUP terminated a process during startup or shutdown (TestHangup)",
	3:   "fault of the test: connections that it had blackholed were never closed",
	5:   "a request read during the shutdown got no response (TestShutdown in service/http1)",
	12:  "requests were accepted too late to finish within the shutdown time; the last lines were missing from the log (TestAsyncWriter in service/logging)",
	24:  "a stream was continued by a response that is not a stream (TestBadContinuation)",
	204: "a prompt was queued until its host exited (TestQueue)",
	48:  "allowed: the kernel reset a connection that was not yet accepted when the listener closed",
}

const (
	soakWorkers = 8
	// soakKeptConnections is the number of connections to each host that stay in use.
	soakKeptConnections = 4
	soakEvents          = 12
	soakEventInterval   = 2 * time.Millisecond
	// soakMaxConnections is the limit of connections to a replica in the configuration. The
	// replicas accept minConnections or more, since they accept fewer while their queue is long.
	soakMaxConnections = 12
	minConnections     = 4
	// soakRouteTimeout is the timeout of all routes.
	soakRouteTimeout = 3 * time.Second
	// faultPhaseLength and plannedPhaseLength are the lengths of the phases. recoveryTime
	// is the time from a fault phase to the next planned-change phase, in which all
	// guarantees must hold again. It covers keyAge (1 s) and the longest time for which a
	// failed replica is not used.
	faultPhaseLength   = 2500 * time.Millisecond
	recoveryTime       = 5 * time.Second
	plannedPhaseLength = 2500 * time.Millisecond
	// keyAge is the setting key_age: how long a revoked key may still be accepted.
	keyAge = time.Second
	// plannedChangeBound is the time within which a drain or an evacuation must take effect.
	plannedChangeBound = time.Second
	// drainTime is the default of the setting drain_time.
	drainTime = 2 * time.Second
)

// soak sends requests to entry hosts, each of which is a separate process. In a fault phase,
// it injects faults of all kinds. In a planned-change phase, it makes only changes that
// operators make in normal operation, and no request may be lost. After that, a host is cut off
// from the store while a replica leaves.
type soak struct {
	t      *testing.T
	random *rand.Rand
	store  *platform.Store
	// storeLinks[i] is the link from hosts[i] to the store.
	hosts      []*edgeProcess
	storeLinks []*faultproxy.Proxy

	mu           sync.Mutex
	replicas     map[string]*platform.Replica
	links        map[string]*faultproxy.Proxy
	replicaCount int
	version      int64
	keys         []string
	// keysFixedUntil is the time before which the keys must not be changed.
	keysFixedUntil time.Time
	history        soakHistory
	appliedChanges []string
	// rotation holds the indices of the hosts that the load balancer uses.
	rotation    []int
	pendingUndo sync.WaitGroup
}

// TestSoak guards against responses that violate a guarantee under random faults of
// processes, connections, the store and replicas, combined with changes by operators.
func TestSoak(t *testing.T) {
	t.Run(fmt.Sprint(*soakSeed), func(t *testing.T) { runSoak(t, *soakSeed, *soakTime) })
	if !*soakPast {
		return
	}
	for _, seed := range slices.Sorted(maps.Keys(failedSeeds)) {
		// Guards against the return of an earlier failure.
		t.Run(fmt.Sprintf("past %d", seed), func(t *testing.T) {
			t.Log(failedSeeds[seed])
			runSoak(t, seed, time.Second) // one fault phase and one planned-change phase
		})
	}
}

func runSoak(t *testing.T, seed uint64, length time.Duration) {
	t.Helper()
	s := newSoak(t, seed)
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	for i := range soakWorkers {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		workers.Go(func() { s.sendCalls(ctx, random) })
	}
	for i := range *soakHosts * soakKeptConnections {
		random := rand.New(rand.NewPCG(seed, uint64(200+i)))
		workers.Go(func() { s.sendOnKeptConnection(ctx, i%*soakHosts, random) })
	}
	workers.Go(func() { s.balance(ctx) })
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.runPhase(faultPhaseLength, s.injectFault)
		s.clearFaults()
		time.Sleep(recoveryTime)
		s.history.beginPlannedPhase(time.Now())
		s.runPhase(plannedPhaseLength, s.plannedChange)
		s.clearFaults()
		s.history.endPlannedPhase(time.Now())
		s.cutFromStore()
	}
	cancel()
	workers.Wait()
	s.checkResults()
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	t.Logf("seed %d", seed)
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), store: platform.NewStore(),
		replicas: map[string]*platform.Replica{}, links: map[string]*faultproxy.Proxy{}, keys: []string{platform.SampleAPIKey, revokedKey},
	}
	t.Cleanup(s.store.Close)
	server := httptest.NewServer(s.store)
	t.Cleanup(server.CloseClientConnections)
	s.configure()
	for range 3 {
		s.startReplica("llm", nil)
		s.startReplica("app", nil)
	}
	for i := range *soakHosts {
		link := s.newLink(strings.TrimPrefix(server.URL, "http://"))
		s.storeLinks = append(s.storeLinks, link)
		s.hosts = append(s.hosts, startEdgeProcess(t, fmt.Sprintf("edge-%d", i), link.Address()))
		s.rotation = append(s.rotation, i)
	}
	t.Cleanup(func() {
		if t.Failed() {
			s.saveLogs()
		}
	})
	for _, e := range s.hosts {
		eventually(t, e.name+" is ready", e.isReady)
	}
	return s
}

// newLink starts a proxy to the target that can inject network faults.
func (s *soak) newLink(target string) *faultproxy.Proxy {
	link, err := faultproxy.New(target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(link.Close)
	return link
}

// balance maintains the rotation like the platform's load balancer. Two failed readiness
// probes in a row remove a host, one successful probe adds it again, and all hosts are used if
// more than half of them are out.
func (s *soak) balance(ctx context.Context) {
	misses := make([]int, len(s.hosts))
	for ctx.Err() == nil {
		var in []int
		for i, e := range s.hosts {
			if e.isReady() {
				misses[i] = 0
			} else {
				misses[i]++
			}
			if misses[i] < 2 {
				in = append(in, i)
			}
		}
		if 2*len(in) < len(s.hosts) {
			in = in[:0]
			for i := range s.hosts {
				in = append(in, i)
			}
		}
		s.mu.Lock()
		s.rotation = in
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *soak) pickHost(random *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if random.IntN(8) == 0 {
		return random.IntN(len(s.hosts)) // a caller that ignores the load balancer
	}
	return s.rotation[random.IntN(len(s.rotation))]
}

// sendCalls sends calls one after the other, several on each connection.
func (s *soak) sendCalls(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; {
		hostIndex := s.pickHost(random)
		client := platform.NewClient()
		for range 1 + random.IntN(12) {
			n++
			c := soakCall(random)
			c.Body = fmt.Sprintf("%d-%d", random.Uint64(), n)
			s.send(client, hostIndex, c, random)
			time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
		}
		client.Close()
	}
}

// sendOnKeptConnection sends calls to one host on a connection that is kept until the host
// closes it, whether the host is leaving or not.
func (s *soak) sendOnKeptConnection(ctx context.Context, hostIndex int, random *rand.Rand) {
	client := platform.NewClient()
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		c := soakCall(random)
		c.Body = fmt.Sprintf("%d-kept-%d", random.Uint64(), n)
		s.send(client, hostIndex, c, random)
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}

// revokedKey is revoked and allowed again; platform.SampleAPIKey is always valid.
const revokedKey = "key-2"

// maxBodyPause is the longest pause in the body of a call, which leaves hosts a margin before
// defaultBodyTimeout.
const maxBodyPause = 250 * time.Millisecond

func soakCall(random *rand.Rand) platform.Call {
	c := streamCall()
	switch random.IntN(4) {
	case 0:
		c = platform.PlainCall("idempotent")
	case 1:
		c = platform.PlainCall("non_idempotent")
	case 2:
		c = platform.StreamCall(1000 + random.IntN(500_000))
	}
	if random.IntN(4) == 0 {
		c.APIKey = revokedKey
	}
	if random.IntN(8) == 0 {
		c.BodyPause = time.Duration(random.IntN(int(maxBodyPause)))
	}
	return c
}

// send sends a call. One of 30 callers disconnects early.
func (s *soak) send(client *platform.Client, hostIndex int, c platform.Call, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*soakRouteTimeout)
	defer cancel()
	callerLeaves := random.IntN(30) == 0
	if callerLeaves {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(random.IntN(60))*time.Millisecond)
		defer cancel()
	}
	r := callResult{host: hostIndex, call: c, callerLeft: callerLeaves, timeSpan: timeSpan{from: time.Now()}}
	r.reply = client.Send(ctx, s.hosts[hostIndex].callerAddress, c)
	r.to = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.results = append(s.history.results, r)
}

// clearFaults waits until all faults are undone, and resets the store and the replicas.
func (s *soak) clearFaults() {
	s.pendingUndo.Wait()
	s.store.SetFault(platform.FaultNone)
	for _, r := range s.replicas {
		r.SetResponseMode(platform.ResponseComplete)
	}
}

// unfinishedWork lists the remaining reservations and the runs that have not ended.
func (s *soak) unfinishedWork() []string {
	var list []string
	for _, r := range s.replicas {
		if n := r.ReservationCount(); n > 0 {
			list = append(list, fmt.Sprintf("%d reservations at %s", n, r.ID()))
		}
		for _, run := range r.Runs() {
			if !run.Ended {
				list = append(list, fmt.Sprintf("run of %s at %s since %s", run.AttemptID, r.ID(), run.StartedAt.Format("15:04:05.000")))
			}
		}
	}
	return list
}

// runsAt lists the runs of a replica.
func (s *soak) runsAt(r *platform.Replica) []soakRun {
	var list []soakRun
	isOpen := map[string]bool{}
	for _, run := range r.Runs() {
		entry := soakRun{replica: r.ID(), zone: r.Zone(), Run: run}
		if !isOpen[run.Peer] {
			entry.queued = s.links[r.ID()].QueueTime(run.Peer)
		}
		isOpen[run.Peer] = true
		list = append(list, entry)
	}
	return list
}

// checkResults checks that all hosts serve requests again and that no work is left over.
// Then it checks the results of all calls and runs, and the logs of the hosts.
func (s *soak) checkResults() {
	for _, e := range s.hosts {
		eventually(s.t, "requests are served again by "+e.name, func() bool {
			return platform.SendOnNewConnection(s.t.Context(), e.callerAddress, streamCall()).Status == http.StatusOK &&
				platform.SendOnNewConnection(s.t.Context(), e.callerAddress, platform.PlainCall("non_idempotent")).Status == http.StatusOK
		})
	}
	for _, link := range s.links {
		link.ResetBlackholed()
	}
	var unfinished []string
	if !holdsWithin5s(func() bool {
		unfinished = s.unfinishedWork()
		return len(unfinished) == 0
	}) {
		s.t.Errorf("unfinished after 5s: %v", unfinished)
	}
	for _, r := range s.replicas {
		s.history.runs = append(s.history.runs, s.runsAt(r)...)
	}
	for _, violation := range s.history.violations() {
		s.t.Error(violation)
	}
	for _, e := range s.hosts {
		for _, text := range []string{"panic:", "DATA RACE", "fatal error:"} {
			if n := e.countInLog(text); n > 0 {
				s.t.Errorf("the log of %s contains %q %d times", e.name, text, n)
			}
		}
	}
	s.t.Logf("%s; faults: %s", s.history.summary(), strings.Join(s.appliedChanges, "; "))
}
