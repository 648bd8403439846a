package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/verdict"
)

// startFullServer starts a server that handles one connection and whose queue of new
// connections is full after that, so that opening another one runs into the timeout.
// Calling the returned function fills the queue.
func startFullServer(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) (string, func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		handle(c, bufio.NewReader(c))
	}()
	address := l.Addr().String()
	return address, func() {
		for range 8 {
			c, err := net.DialTimeout("tcp4", address, 20*time.Millisecond)
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
		}
		t.Fatal("the queue of new connections does not fill up")
	}
}

// lateContext has a deadline but ends later, as does a context whose timer waits for
// processor time.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Guards against cutting off requests because another connection to their replica could not be
// opened. Requests whose replica is silent as well may move to another replica; for those whose
// replica sends, and if the dial failed for a reason of this host, there is no offer to move.
func TestFailedDialKeepsConnections(t *testing.T) {
	const events, interval = 20, 20 * time.Millisecond
	// The replica is silent for half of the time and then sends events. Both parts are
	// longer than the connect timeout.
	serve := func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", events)
		time.Sleep(events * interval)
		for range events {
			time.Sleep(interval)
			fmt.Fprint(c, "x")
		}
	}
	const connectTimeout = 100 * time.Millisecond
	type dial func(p *Pool, address string) error
	tests := map[string]struct {
		// after is the time from the start of the request to that of the dial.
		after       time.Duration
		dial        dial
		wantOffered bool
		wantState   connfault.State
	}{
		"silent replica":                    {0, acquireOnce, true, connfault.Unreachable},
		"silent replica, probe":             {0, probeOnce, true, connfault.Unreachable},
		"replica that sends":                {(events + 2) * interval, acquireOnce, false, connfault.AtLimit},
		"replica that sends, probe":         {(events + 2) * interval, probeOnce, false, connfault.AtLimit},
		"time limit of the request":         {0, acquireBeforeLateDeadline, false, connfault.Unknown},
		"end of the probe's context":        {0, probeCancelled, false, connfault.Unknown},
		"no descriptors":                    {0, withControlError(syscall.EMFILE, acquireOnce), false, connfault.Unknown},
		"no route, silent replica":          {10 * interval, withControlError(syscall.EHOSTUNREACH, acquireOnce), true, connfault.Unreachable},
		"no route, replica that sends":      {(events + 2) * interval, withControlError(syscall.EHOSTUNREACH, acquireOnce), false, connfault.AtLimit},
		"not permitted, replica that sends": {(events + 2) * interval, withControlError(syscall.EPERM, probeOnce), false, connfault.AtLimit},
		"unknown error, replica that sends": {(events + 2) * interval, withControlError(syscall.EPROTO, acquireOnce), false, connfault.AtLimit},
		"aborted opening":                   {0, withControlError(syscall.ECONNABORTED, acquireOnce), false, connfault.AtLimit},
		"host that was held up":             {2 * interval, withHeldUpHost(acquireOnce), false, connfault.Unreachable},
		"no local port":                     {0, withForeignSource(acquireOnce), false, connfault.Unknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, fill := startFullServer(t, serve)
			p := NewPool(Config{ConnectTimeout: connectTimeout, IdleTimeout: time.Minute, MaxIdle: 4})
			t.Cleanup(p.Close)
			var offered atomic.Bool
			resp, err := p.Do(t.Context(), Request{
				Address: address, Method: http.MethodPost, Target: "/", Host: "h.example", AttemptID: "a1",
				OnSilence: func(isSilent func() bool) { offered.Store(isSilent()) },
			})
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			body := make(chan error, 1)
			go func() {
				got, err := io.ReadAll(resp)
				if err == nil && string(got) != strings.Repeat("x", events) {
					err = fmt.Errorf("body %q", got)
				}
				body <- err
			}()
			fill()
			time.Sleep(tc.after)
			checkState(t, tc.dial(p, address), tc.wantState)
			if err := <-body; err != nil {
				t.Errorf("the response ended with %v", err)
			}
			if got := offered.Load(); got != tc.wantOffered {
				t.Errorf("the request was offered to move: %t, want %t", got, tc.wantOffered)
			}
		})
	}
}

// Guards against a probe that gives up while this host has no descriptors. It says nothing about
// the replica.
func TestProbeWithoutDescriptors(t *testing.T) {
	address, _ := startFullServer(t, func(net.Conn, *bufio.Reader) {})
	p := testPool(t)
	if err := withControlError(syscall.EMFILE, probeCancelled)(p, address); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want the end of the context", err)
	}
}

// Guards against moving requests whose connections were opened or reused after the start of a dial
// that fails.
func TestFailedDialKeepsNewConnections(t *testing.T) {
	s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		for attempt, ok := s.readRequest(r); ok; attempt, ok = s.readRequest(r) {
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(c, responseText(attempt, "ok"))
		}
	})
	p := testPool(t)
	for i, name := range []string{"opened", "reused"} {
		t.Run(name, func(t *testing.T) {
			before := p.traffic(s.address)
			time.AfterFunc(20*time.Millisecond, func() { _ = p.recordFailure(s.address, before, connfault.Unanswered, syscall.ETIMEDOUT) })
			resp, err := p.Do(t.Context(), Request{
				Address: s.address, Method: http.MethodPost, Target: "/", Host: "h.example", AttemptID: name, Headers: http.Header{"Attempt-Id": {name}},
				OnSilence: func(func() bool) { t.Error("the request was offered to move") },
			})
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(resp); err != nil || string(body) != "ok" {
				t.Errorf("response %q, %v, want ok", body, err)
			}
			resp.Close()
			if n := s.connections.Load(); n != 1 {
				t.Errorf("%d connections after %d requests, want 1", n, i+1)
			}
		})
	}
}

func acquireOnce(p *Pool, address string) error {
	_, err := send(p, address, "a2", "")
	if err != nil && verdict.FromError(err) != verdict.NotRun {
		return nil
	}
	return err
}

func probeOnce(p *Pool, address string) error { return p.Probe(context.Background(), address) }

func probeCancelled(p *Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	return p.Probe(ctx, address)
}

func acquireBeforeLateDeadline(p *Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := p.acquire(lateContext{ctx, time.Now().Add(20 * time.Millisecond)}, Request{Address: address})
	return err
}

// withControlError makes the next dial fail as if a system call had returned the error.
func withControlError(err error, next func(*Pool, string) error) func(*Pool, string) error {
	return func(p *Pool, address string) error {
		p.dialer.Control = func(string, string, syscall.RawConn) error { return os.NewSyscallError("socket", err) }
		return next(p, address)
	}
}

// withHeldUpHost makes the next dial notice its timeout late.
func withHeldUpHost(next func(*Pool, string) error) func(*Pool, string) error {
	return func(p *Pool, address string) error {
		p.dialer.Control = func(string, string, syscall.RawConn) error {
			time.Sleep(3 * p.config.ConnectTimeout)
			return nil
		}
		return next(p, address)
	}
}

// withForeignSource makes the next dial fail with EADDRNOTAVAIL.
func withForeignSource(next func(*Pool, string) error) func(*Pool, string) error {
	return func(p *Pool, address string) error {
		p.dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1)}
		return next(p, address)
	}
}
