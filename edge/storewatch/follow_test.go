package storewatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/edge/relay"
	fake "siskinstand.example/fakes/platform"
	"siskinstand.example/platform"
)

// zoneHosts are watchers of one availability zone that share a store.
type zoneHosts struct {
	store   *fake.Store
	address string
	hosts   []*zoneHost
	// partExpiry is the expiry of refused parts.
	partExpiry time.Duration
}

type zoneHost struct {
	*Watcher
	sink   *countingSink
	server *httptest.Server
	stop   context.CancelFunc
	// isSuspended makes the host hold all questions without an answer.
	isSuspended atomic.Bool
}

// suspendableWriter writes nothing while the host is suspended.
type suspendableWriter struct {
	http.ResponseWriter
	host *zoneHost
	ctx  context.Context
}

func (w suspendableWriter) Write(p []byte) (int, error) {
	if w.host.isSuspended.Load() {
		<-w.ctx.Done()
		return 0, w.ctx.Err()
	}
	return w.ResponseWriter.Write(p)
}

const (
	followMaxAge  = 800 * time.Millisecond
	followTimeout = 200 * time.Millisecond
	testWatchWait = 2 * time.Second
)

// startZone starts n hosts, of which two watch the store. The first two have the most cores.
func startZone(t *testing.T, n int) *zoneHosts {
	t.Helper()
	z := newZone(t)
	for i := range n {
		z.hosts = append(z.hosts, z.start(t, i))
	}
	return z
}

// newZone starts a store without hosts.
func newZone(t *testing.T) *zoneHosts {
	t.Helper()
	z := &zoneHosts{store: fake.NewStore(), partExpiry: time.Hour}
	t.Cleanup(z.store.Close)
	server := httptest.NewServer(z.store)
	t.Cleanup(server.CloseClientConnections)
	z.address = strings.TrimPrefix(server.URL, "http://")
	return z
}

func (z *zoneHosts) start(t *testing.T, i int) *zoneHost {
	t.Helper()
	log := relay.NewLog()
	h := &zoneHost{sink: &countingSink{}}
	handler := relay.NewHandler(log)
	h.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(suspendableWriter{w, h, r.Context()}, r)
	}))
	t.Cleanup(h.server.Close)
	client := relay.NewClient(relay.ClientConfig{Timeout: followTimeout})
	store := platform.NewStore(platform.StoreConfig{Address: z.address, Timeout: time.Second})
	cores := 0.1
	if i < 2 {
		cores = 0.8
	}
	h.Watcher = New(Config{
		Store: store, Sink: h.sink, MaxWatchWait: testWatchWait, Name: fmt.Sprintf("edge-%d", i), LeaseTime: 10 * time.Second,
		Peer:      platform.Peer{Address: strings.TrimPrefix(h.server.URL, "http://"), Zone: "z1", Cores: cores},
		Following: Following{Log: log, Client: client, Watchers: 2, MaxProofAge: followMaxAge},
		Parts:     NewPartStore(PartStoreConfig{Store: store, Kind: platform.ChangeCrashPart, Expiry: z.partExpiry}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Run(ctx)
	}()
	h.stop = func() {
		cancel()
		h.server.CloseClientConnections()
		<-done
		store.Close()
		client.Close()
	}
	t.Cleanup(h.stop)
	return h
}

// waitForChange writes a key and waits until the given hosts have learned of it.
func (z *zoneHosts) waitForChange(t *testing.T, limit time.Duration, hosts []*zoneHost) {
	t.Helper()
	before := make([]int, len(hosts))
	for i, h := range hosts {
		_, before[i], _ = h.sink.counts()
	}
	z.store.Put(fake.ReplicaPrefix+"i-1", map[string]any{"backend": "app"})
	if !waitUntil(limit, func() bool {
		for i, h := range hosts {
			if _, changes, _ := h.sink.counts(); changes <= before[i] {
				return false
			}
		}
		return true
	}) {
		t.Errorf("a change is not known to all %d hosts after %v", len(hosts), limit)
	}
}

// Guards against a number of calls to the store that grows with the number of hosts, against
// changes that followers learn late, and against followers that learn nothing after the hosts
// that they follow have been lost.
func TestFollowing(t *testing.T) {
	z := startZone(t, 8)
	// Hosts watch the store themselves for the first second (startupPeriod).
	time.Sleep(startupPeriod + time.Second)
	before := z.store.Calls("/siskinstand/kv-watch")
	time.Sleep(2 * time.Second)
	// Each of two watching hosts has a proof every 600 ms; followers make no calls.
	if n := z.store.Calls("/siskinstand/kv-watch") - before; n > 2*4+1 {
		t.Errorf("%d watch calls in 2s, want at most 9", n)
	}
	z.waitForChange(t, 500*time.Millisecond, z.hosts)
	for _, h := range z.hosts[:2] {
		h.server.Close() // refuses connections, as a host that is down
		h.stop()
	}
	// Their connections are closed, so the followers notice at once.
	z.waitForChange(t, time.Second, z.hosts[2:])
}

// Guards against a follower that waits for two suspended hosts in turn, each time for as long as
// if its proof were new: its change was 2.5 s late with a limit of 2 s.
func TestWatchingHostsSuspended(t *testing.T) {
	z := startZone(t, 3)
	time.Sleep(startupPeriod + testWatchWait) // the first watch of the store has ended
	for _, h := range z.hosts[:2] {
		h.isSuspended.Store(true)
	}
	const limit = followMaxAge + 2*followTimeout + 200*time.Millisecond
	z.waitForChange(t, limit, z.hosts[2:])
}

// Guards against a proof that gets older than MaxProofAge because the response to a watch came
// late in its wait: a watch of 2.4 s with a change after 2.3 s, 0.25 s of delay and another
// full wait made a proof of 4.95 s, and requests with a key were refused from 4.75 s.
func TestWatchWaitLimitsProofAge(t *testing.T) {
	w := New(Config{MaxWatchWait: 2400 * time.Millisecond, MaxProofAge: 2800 * time.Millisecond})
	w.proofAt = 10 * time.Second
	for age, want := range map[time.Duration]time.Duration{
		0:                       2400 * time.Millisecond,
		time.Second:             1800 * time.Millisecond,
		2550 * time.Millisecond: 250 * time.Millisecond,
		9 * time.Second:         minWatchWait,
	} {
		if got := w.watchWait(w.proofAt + age); got != want {
			t.Errorf("wait with a proof of age %v = %v, want %v", age, got, want)
		}
	}
}
