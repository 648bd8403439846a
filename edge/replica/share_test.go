package replica

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/coord/connlimit"
)

// callOrStream answers a request by its path: a stream lasts for streamTime, a call for callTime.
func callOrStream(callTime, streamTime time.Duration) func(c net.Conn, r *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			if q.URL.Path == "/stream" {
				time.Sleep(streamTime)
			} else {
				time.Sleep(callTime)
			}
			if _, err := io.WriteString(c, responseText(q.Header.Get("Attempt-Id"), "ok")); err != nil {
				return
			}
		}
	}
}

// waveHost is a host with streams and waves of calls at one replica.
type waveHost struct {
	t       *testing.T
	pool    *Pool
	address string
	name    string
	sent    atomic.Int64
}

// do sends a request and reports whether it was served.
func (h *waveHost) do(kind string, maxWait time.Duration) bool {
	id := fmt.Sprintf("%s-%d", h.name, h.sent.Add(1))
	resp, err := h.pool.Do(h.t.Context(), Request{
		Address: h.address, Method: http.MethodPost, Target: "/" + kind, Host: "h.example", Headers: http.Header{"Attempt-Id": {id}}, AttemptID: id,
		MaxConnectionWait: maxWait, Connections: connlimit.NewBounds(18, 2, 8), Kind: kind,
	})
	if err != nil {
		return false
	}
	defer resp.Close()
	_, err = io.ReadAll(resp)
	return err == nil
}

// wave sends calls at the same time and returns how many were refused.
func (h *waveHost) wave(size int, maxWait time.Duration) int {
	var refused atomic.Int64
	var calls sync.WaitGroup
	for range size {
		calls.Go(func() {
			if !h.do("call", maxWait) {
				refused.Add(1)
			}
		})
	}
	calls.Wait()
	return int(refused.Load())
}

// Guards against callers that are refused for want of a connection while another host keeps idle ones
// to the replica: it accepts fewer connections than its configured limit, and one host has got
// most of them (review/6 with a replica that accepts 10 and a limit of 18).
func TestHostsShareLowerLimit(t *testing.T) {
	const (
		accepted   = 10
		streams    = 2 // of host b
		waveSize   = 24
		streamTime = 2 * time.Second
		callTime   = 20 * time.Millisecond
		// maxWait is the wait for an objective of 300 ms. Three connections serve a wave in 160 ms.
		maxWait = 255 * time.Millisecond
	)
	s := serveLimited(t, accepted, closePort, callOrStream(callTime, streamTime))
	newHost := func(name string) *waveHost {
		p := NewPool(Config{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: waveSize})
		t.Cleanup(p.Close)
		return &waveHost{t: t, pool: p, address: s.address, name: name}
	}
	a, b := newHost("a"), newHost("b")
	for range streams {
		go b.do("stream", time.Second)
	}
	b.pool.at(s.address).recordUse("stream", streamTime)
	awaitConnections(t, b.pool, s.address, streams)
	a.wave(accepted-streams, maxWait)
	awaitConnections(t, a.pool, s.address, accepted-streams)
	if refused := b.wave(waveSize, maxWait); refused < waveSize {
		t.Fatalf("%d of %d calls were refused, want all: the other host has the connections", refused, waveSize)
	}
	for range 2 { // the second report follows the same refusals
		a.pool.YieldIdle(s.address, streams)
	}
	if n, want := a.pool.OpenConnections(s.address), (accepted-streams+streams)/2; n != want {
		t.Errorf("the other host has kept %d connections, want %d", n, want)
	}
	time.Sleep(connlimit.GrowthInterval * (accepted - streams)) // the host may try as many again
	turnedAway := accepted - streams                            // connections that may be reset because the port closes
	if refused := b.wave(waveSize, maxWait); refused > turnedAway {
		t.Errorf("%d of %d calls were refused, though connections are free", refused, waveSize)
	}
	if refused := b.wave(waveSize, maxWait); refused > 0 {
		t.Errorf("%d of %d calls were refused, though the host has connections", refused, waveSize)
	}
}

// awaitConnections waits until a pool has the given number of connections to an address.
func awaitConnections(t *testing.T, p *Pool, address string, want int) {
	t.Helper()
	for end := time.Now().Add(time.Second); p.OpenConnections(address) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want %d", p.OpenConnections(address), want)
		}
	}
}
