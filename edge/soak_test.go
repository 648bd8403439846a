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
	soakSeed = flag.Uint64("soak.seed", 1, "seed of the faults")
	soakTime = flag.Duration("soak.time", 12*time.Second, "length of the soak")
	soakPast = flag.Bool("soak.past", false, "play the seeds that failed before, too")
)

// failedSeeds are the seeds that ever failed, with the cause. Timing differs
// between runs, so each cause in the program also has a test of its own.
var failedSeeds = map[uint64]string{
	1:   "SIGHUP ended a process that started or ended (TestHangup)",
	3:   "connections that the soak had silenced were never ended: the soak's fault",
	5:   "a request read during the shutdown got no answer (TestShutdown in service/http1)",
	12:  "requests were accepted for longer than the shutdown time allows; lines of the end were left out of the log (TestOutput)",
	24:  "an answer that is no stream continued a stream (TestContinuationThatIsNoContinuation)",
	204: "a prompt waited for replicas until its host ended (TestWaiting)",
	48:  "the kernel reset a connection that was not accepted when the listener closed: allowed",
}

const (
	soakEntries = 3
	soakWorkers = 8
	soakEvents  = 12
	soakPause   = 2 * time.Millisecond
	// soakLimit is the time limit of the routes.
	soakLimit = 3 * time.Second
	// storm and calm are the lengths of the phases, settle the time after a
	// storm from which everything must hold again: the store's bound for keys
	// (1 s), and the longest pause of a replica that failed.
	storm  = 2500 * time.Millisecond
	settle = 5 * time.Second
	calm   = 2500 * time.Millisecond
	// keyAge is the settings' bound for keys that were taken away.
	keyAge = time.Second
	// planBound is the time in which a drain or an evacuation must act.
	planBound = time.Second
)

// soak sends requests to entry hosts, each a process of its own, while faults
// come from outside. In a storm anything fails; in a calm phase there is only
// planned work, and then nothing may be lost.
type soak struct {
	t      *testing.T
	random *rand.Rand
	store  *platform.Store
	// entries and storeLinks have the same order.
	entries    []*entry
	storeLinks []*faultproxy.Proxy

	mu       sync.Mutex
	replicas map[string]*platform.Replica
	links    map[string]*faultproxy.Proxy
	born     int
	version  int64
	keys     []string
	// keysStay is the time until which the keys do not change again.
	keysStay time.Time
	history  soakHistory
	faults   []string
	// rotation holds the entries that the balancer uses.
	rotation []int
	healing  sync.WaitGroup
}

// TestSoak guards against an answer that breaks a promise while processes,
// connections, the store, the replicas and the operators do anything at any time.
func TestSoak(t *testing.T) {
	t.Run(fmt.Sprint(*soakSeed), func(t *testing.T) { play(t, *soakSeed, *soakTime) })
	if !*soakPast {
		return
	}
	for _, seed := range slices.Sorted(maps.Keys(failedSeeds)) {
		// Guards against a failure that comes back.
		t.Run(fmt.Sprintf("past %d", seed), func(t *testing.T) {
			t.Log(failedSeeds[seed])
			play(t, seed, time.Second) // one storm and one calm phase
		})
	}
}

func play(t *testing.T, seed uint64, length time.Duration) {
	t.Helper()
	s := newSoak(t, seed)
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	for i := range soakWorkers {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		workers.Go(func() { s.work(ctx, random) })
	}
	workers.Go(func() { s.balance(ctx) })
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.phase(storm, s.stormFault)
		s.heal()
		time.Sleep(settle)
		s.history.beginCalm(time.Now())
		s.phase(calm, s.plannedWork)
		s.heal()
		s.history.endCalm(time.Now())
	}
	cancel()
	workers.Wait()
	s.finish()
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
		s.bear("llm", nil)
		s.bear("app", nil)
	}
	for i := range soakEntries {
		k := s.link(strings.TrimPrefix(server.URL, "http://"))
		s.storeLinks = append(s.storeLinks, k)
		s.entries = append(s.entries, newEntry(t, fmt.Sprintf("edge-%d", i), k.Address()))
		s.rotation = append(s.rotation, i)
	}
	for _, e := range s.entries {
		eventually(t, e.name+" is ready", e.isReady)
	}
	return s
}

func (s *soak) link(target string) *faultproxy.Proxy {
	k, err := faultproxy.New(target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(k.Close)
	return k
}

// bear starts a replica behind a new link, or at the address of one that is gone.
func (s *soak) bear(service string, at *faultproxy.Proxy) *platform.Replica {
	s.born++
	c := platform.ReplicaConfig{ID: fmt.Sprintf("i-%s-%d", service, s.born), Service: service, Zone: fmt.Sprintf("z%d", s.born%2+1), Slots: 16, EventInterval: soakPause}
	if service == "llm" {
		c.StreamEvents = soakEvents
	}
	r, err := platform.NewReplica(c)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(r.Close)
	if at == nil {
		at = s.link(r.Address())
	}
	at.SetTarget(r.Address())
	r.Advertise(at.Address())
	s.mu.Lock()
	s.replicas[r.ID()], s.links[r.ID()] = r, at
	s.mu.Unlock()
	s.store.Put(platform.ReplicaPrefix+r.ID(), r.StoreEntry("ready"))
	return r
}

// configure writes the next version of the configuration and records from when
// it holds.
func (s *soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	sent := time.Now()
	s.store.Put(platform.ConfigKey, platform.Configuration(s.version, soakLimit, []platform.Account{{Name: "t1", Keys: s.keys}}))
	s.history.noteKeys(sent, s.keys)
}

// setKeys takes revokedKey away or gives it back.
func (s *soak) setKeys(all bool) {
	if time.Now().Before(s.keysStay) {
		return
	}
	s.keys = []string{platform.SampleAPIKey}
	if all {
		s.keys = append(s.keys, revokedKey)
	}
	s.configure()
}

// balance keeps the rotation as the platform's balancer does: two misses take a
// host out, one answer takes it in, and all are used when half are out.
func (s *soak) balance(ctx context.Context) {
	misses := make([]int, len(s.entries))
	for ctx.Err() == nil {
		var in []int
		for i, e := range s.entries {
			if e.isReady() {
				misses[i] = 0
			} else {
				misses[i]++
			}
			if misses[i] < 2 {
				in = append(in, i)
			}
		}
		if 2*len(in) < len(s.entries) {
			in = []int{0, 1, 2}
		}
		s.mu.Lock()
		s.rotation = in
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *soak) pick(random *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if random.IntN(8) == 0 {
		return random.IntN(len(s.entries)) // a caller that keeps to its host
	}
	return s.rotation[random.IntN(len(s.rotation))]
}

// work sends calls one after the other, some of them on a kept connection.
func (s *soak) work(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; {
		at := s.pick(random)
		client := platform.NewClient()
		for range 1 + random.IntN(12) {
			n++
			c := soakCall(random)
			c.Body = fmt.Sprintf("%d-%d", random.Uint64(), n)
			s.send(client, at, c, random)
			time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
		}
		client.Close()
	}
}

// revokedKey is taken away and given back; platform.SampleKey always holds.
const revokedKey = "key-2"

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
	return c
}

// send sends a call; one of thirty callers leaves early.
func (s *soak) send(client *platform.Client, at int, c platform.Call, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*soakLimit)
	defer cancel()
	left := random.IntN(30) == 0
	if left {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(random.IntN(60))*time.Millisecond)
		defer cancel()
	}
	r := result{entry: at, call: c, left: left, span: span{from: time.Now()}}
	r.reply = client.Send(ctx, s.entries[at].callers, c)
	r.to = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.results = append(s.history.results, r)
}

// heal waits until all faults are undone.
func (s *soak) heal() {
	s.healing.Wait()
	s.store.SetFault(platform.FaultNone)
	for _, r := range s.replicas {
		r.SetResponseMode(platform.ResponseComplete)
	}
}

// leftOver lists the reservations and the runs that have not ended.
func (s *soak) leftOver() []string {
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

// finish checks that everything is served again and nothing is left over, and
// then all that callers and replicas have seen.
func (s *soak) finish() {
	for _, e := range s.entries {
		eventually(s.t, "everything is served again by "+e.name, func() bool {
			return platform.SendOnNewConnection(s.t.Context(), e.callers, streamCall()).Status == http.StatusOK &&
				platform.SendOnNewConnection(s.t.Context(), e.callers, platform.PlainCall("non_idempotent")).Status == http.StatusOK
		})
	}
	for _, k := range s.links {
		k.ResetBlackholed()
	}
	var left []string
	if !soon(func() bool {
		left = s.leftOver()
		return len(left) == 0
	}) {
		s.t.Errorf("left over after 5s: %v", left)
	}
	for _, r := range s.replicas {
		for _, run := range r.Runs() {
			s.history.runs = append(s.history.runs, soakRun{r.ID(), r.Zone(), run})
		}
	}
	for _, problem := range s.history.problems() {
		s.t.Error(problem)
	}
	for _, e := range s.entries {
		for _, text := range []string{"panic:", "DATA RACE", "fatal error:"} {
			if n := e.logged(text); n > 0 {
				s.t.Errorf("the log of %s has %q %d times", e.name, text, n)
			}
		}
	}
	s.t.Logf("%s; faults: %s", s.history.summary(), strings.Join(s.faults, "; "))
	if s.t.Failed() {
		s.keepLogs()
	}
}
