package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/connlimit"
	"siskinstand.example/coord/verdict"
)

// sendWaiting sends a request that may wait for a connection.
func sendWaiting(p *Pool, address, attempt string, wait time.Duration, b connlimit.Bounds) error {
	resp, err := p.Do(context.Background(), Request{
		Address: address, Method: http.MethodPost, Target: "/x", Host: "h.example", Headers: http.Header{"Attempt-Id": {attempt}}, AttemptID: attempt,
		MaxConnectionWait: wait, Connections: b,
	})
	if err != nil {
		return err
	}
	defer resp.Close()
	_, err = io.ReadAll(resp)
	return err
}

func checkState(t *testing.T, err error, want connfault.State) {
	t.Helper()
	if err == nil || connfault.StateOf(err) != want {
		t.Errorf("error %v, want one with the state %s", err, want)
	}
}

// Guards against ending the requests and idle connections at a replica that turns one connection
// away: a refusal and a reset say nothing about the connections that it has accepted.
func TestTurnedAwayConnectionKeepsOthers(t *testing.T) {
	for _, how := range []turnAway{closePort, resetAccepted, resetLate} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			s := serveLimited(t, 2, how, stream(300*time.Millisecond, 10*time.Millisecond, 5))
			p := testPool(t)
			if got := sendAndRead(t, p, s.address, "idle"); got != "xxxxx" {
				t.Fatalf("response %q", got)
			}
			resp, err := send(p, s.address, "a1", "")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			second, err := send(p, s.address, "a2", "")
			if err != nil {
				t.Fatal(err)
			}
			defer second.Close()
			_, err = send(p, s.address, "a3", "")
			checkState(t, err, connfault.AtLimit)
			if how == closePort {
				checkVerdict(t, err, verdict.NotRun)
				checkState(t, p.Probe(t.Context(), s.address), connfault.AtLimit)
			}
			for _, r := range []*Response{resp, second} {
				if body, err := io.ReadAll(r); err != nil || string(body) != "xxxxx" {
					t.Errorf("response %q, %v, want it whole", body, err)
				}
			}
		})
	}
}

// Guards against a replica that has ended and counts as one that is at its limit. It must be found
// as soon as a connection is refused, and the requests that it had end with it.
func TestEndedReplicaIsUnreachable(t *testing.T) {
	s := serveLimited(t, 8, closePort, stream(time.Minute, 0, 1))
	p := testPool(t)
	resp, err := send(p, s.address, "a1", "")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	s.end()
	ended := time.Now()
	if _, err := io.ReadAll(resp); err == nil {
		t.Error("the response is complete")
	}
	_, err = send(p, s.address, "a2", "")
	checkState(t, err, connfault.Unreachable)
	checkState(t, p.Probe(t.Context(), s.address), connfault.Unreachable)
	if d := time.Since(ended); d > 100*time.Millisecond {
		t.Errorf("found after %s, want at most 100ms", d)
	}
}

// Guards against requests that fail while the replica works and its limit is reached: they wait for
// a connection that becomes free, and the host learns how many it gets.
func TestRequestsWaitForConnections(t *testing.T) {
	for _, how := range []turnAway{closePort, resetAccepted} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			s := serveLimited(t, 4, how, answerAfter(20*time.Millisecond))
			p := testPool(t)
			burst := func(name string, width int) (failed, lost int64) {
				var failures, lostCount atomic.Int64
				var wg sync.WaitGroup
				for i := range width {
					wg.Go(func() {
						err := sendWaiting(p, s.address, fmt.Sprint(name, i), 2*time.Second, connlimit.NewBounds(100, 10, 1))
						if err != nil {
							failures.Add(1)
						}
						if err != nil && verdict.FromError(err) != verdict.NotRun {
							lostCount.Add(1)
						}
					})
				}
				wg.Wait()
				return failures.Load(), lostCount.Load()
			}
			if failed, _ := burst("first", 4); failed > 0 { // connections that carry a response
				t.Fatalf("%d of the first requests failed", failed)
			}
			for round := range 3 {
				turnedAway := s.turnedAway.Load()
				failed, lost := burst(fmt.Sprint("round", round), 16)
				turnedAway = s.turnedAway.Load() - turnedAway
				if failed > lost || lost > turnedAway || round > 0 && failed > 0 {
					t.Errorf("round %d: %d requests failed, %d of them may have run, %d connections were turned away after the accept", round, failed, lost, turnedAway)
				}
			}
			if n := s.accepted.Load(); n > 4 {
				t.Errorf("%d connections accepted, want the 4 of the limit to be reused", n)
			}
		})
	}
}

// Guards against a host that keeps to the limit of a replica for good after a refusal, and against
// requests that are lost on the further connections that it tries.
func TestLimitGrowsAgain(t *testing.T) {
	s := serveLimited(t, 2, resetAccepted, answerAfter(20*time.Millisecond))
	p := testPool(t)
	burst := func(name string) time.Duration {
		started := time.Now()
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				if err := sendWaiting(p, s.address, fmt.Sprint(name, i), 2*time.Second, connlimit.NewBounds(100, 10, 12)); err != nil && name != "first" {
					t.Errorf("%s: %v", name, err)
				}
			})
		}
		wg.Wait()
		return time.Since(started)
	}
	burst("first")
	s.limit.Store(100)
	for range 10 {
		burst("then")
	}
	if n := s.most.Load(); n < 4 {
		t.Errorf("at most %d connections were open after the limit had risen, want more than the 2 before", n)
	}
}

// Guards against a request that waits for a connection although none can be free in time. It is
// refused at once, with the time at which one is expected.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	s := serveLimited(t, 1, closePort, answerAfter(200*time.Millisecond))
	p := testPool(t)
	bounds := connlimit.NewBounds(1, 1, 1)
	if err := sendWaiting(p, s.address, "first", 0, bounds); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- sendWaiting(p, s.address, "second", 0, bounds) }()
	time.Sleep(20 * time.Millisecond)
	started := time.Now()
	err := sendWaiting(p, s.address, "third", 100*time.Millisecond, bounds)
	checkVerdict(t, err, verdict.NotRun)
	if d := time.Since(started); d > 50*time.Millisecond {
		t.Errorf("refused after %s, want at once", d)
	}
	var e *verdict.Error
	if !errors.As(err, &e) || e.RetryAfter < 100*time.Millisecond || e.RetryAfter > 400*time.Millisecond {
		t.Errorf("error %v, want one with about 200ms as the time until a connection is free", err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a later request that takes the connection for which an earlier one waits.
func TestConnectionsAreGivenInOrder(t *testing.T) {
	s := serveLimited(t, 1, closePort, answerAfter(30*time.Millisecond))
	p := testPool(t)
	var mu sync.Mutex
	var order []int
	var wg sync.WaitGroup
	for i := range 5 {
		wg.Go(func() {
			if err := sendWaiting(p, s.address, fmt.Sprint(i), 2*time.Second, connlimit.NewBounds(1, 1, 1)); err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			order = append(order, i)
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	if !slices.IsSorted(order) {
		t.Errorf("requests served in the order %v", order)
	}
}

// Guards against idle connections that take the places of other hosts' requests: after a burst, a
// host keeps its share, and none that it will not use again.
func TestIdleConnectionsAreLimited(t *testing.T) {
	s := serveLimited(t, 100, closePort, answerAfter(30*time.Millisecond))
	p := NewPool(Config{ConnectTimeout: time.Second, IdleTimeout: time.Second, MaxIdle: 24})
	t.Cleanup(p.Close)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			if err := sendWaiting(p, s.address, fmt.Sprint(i), time.Second, connlimit.NewBounds(18, 6, 12)); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	awaitOpen := func(want int64, limit time.Duration) {
		t.Helper()
		for end := time.Now().Add(limit); s.open.Load() > want; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections are open, want at most %d", s.open.Load(), want)
			}
		}
	}
	awaitOpen(3, 500*time.Millisecond)
	awaitOpen(0, 3*time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.replicas) > 0 {
		t.Errorf("%d addresses are remembered without a connection", len(p.replicas))
	}
}

// Guards against a lost request of which nothing was written, since its connection had been reset
// before: it has not run and goes to another connection.
func TestNothingWrittenHasNotRun(t *testing.T) {
	tests := map[string]struct {
		resets  int
		wantErr bool
	}{
		"one reset":   {1, false},
		"many resets": {maxUnwrittenTries, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := testPool(t)
			s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
				for attempt, ok := s.readRequest(r); ok; attempt, ok = s.readRequest(r) {
					fmt.Fprint(c, responseText(attempt, "ok"))
				}
			})
			connection, err := p.Connect(t.Context(), Request{Address: s.address})
			if err != nil {
				t.Fatal(err)
			}
			reset(connection)
			var others []*Connection
			for range tc.resets - 1 {
				other, err := p.Connect(t.Context(), Request{Address: s.address})
				if err != nil {
					t.Fatal(err)
				}
				reset(other)
				others = append(others, other)
			}
			for _, other := range others {
				other.Close() // idle, and will be taken next
			}
			resp, err := p.Do(t.Context(), Request{
				Address: s.address, Method: http.MethodPost, Target: "/", Host: "h.example", Headers: http.Header{"Attempt-Id": {"a1"}}, AttemptID: "a1",
				Body: []byte("order"), AtMostOnce: true, Connection: connection,
			})
			if tc.wantErr {
				checkVerdict(t, err, verdict.NotRun)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			resp.Close()
			if n := s.requests.Load(); n != 1 {
				t.Errorf("%d requests arrived, want 1", n)
			}
		})
	}
}

// reset makes a connection look as if its other end had just reset it.
func reset(c *Connection) {
	r := resetConn{c.conn.Conn.(*net.TCPConn)}
	c.conn.Conn, c.conn.budget.source = r, r
}

// resetConn is a connection whose other end has reset it.
type resetConn struct{ *net.TCPConn }

func (resetConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }
func (resetConn) Read([]byte) (int, error)  { return 0, syscall.ECONNRESET }

// Guards against an order about memory that ends the requests at a helper which is at its limit of
// connections, and against one that fails there although a connection becomes free.
func TestReservationAtLimit(t *testing.T) {
	s := serveLimited(t, 2, closePort, stream(100*time.Millisecond, 10*time.Millisecond, 5))
	p := testPool(t)
	var responses []*Response
	for i := range 2 {
		resp, err := send(p, s.address, fmt.Sprint("a", i), "")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Close()
		responses = append(responses, resp)
	}
	reserved := make(chan error, 1)
	go func() {
		r, err := p.Reserve(t.Context(), "e1", []ReservationTarget{{ID: "i-1", Address: s.address, Tokens: 1}})
		if err == nil {
			r.Release()
		}
		reserved <- err
	}()
	time.Sleep(20 * time.Millisecond) // the order has been refused a connection
	for _, resp := range responses {
		if body, err := io.ReadAll(resp); err != nil || string(body) != "xxxxx" {
			t.Errorf("response %q, %v, want it whole", body, err)
		}
		resp.Close()
	}
	if err := <-reserved; err != nil {
		t.Errorf("reservation: %v", err)
	}
}
