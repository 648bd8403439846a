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
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

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

// Guards against cutting off the requests at a replica that works: one failed attempt to
// open another connection closed all connections to its address.
func TestFailedDialKeepsWorkingConnections(t *testing.T) {
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
		after      time.Duration
		dial       dial
		wantClosed bool
	}{
		"silent replica":             {0, acquireOnce, true},
		"silent replica, probe":      {0, probeOnce, true},
		"replica that sends":         {(events + 2) * interval, acquireOnce, false},
		"replica that sends, probe":  {(events + 2) * interval, probeOnce, false},
		"time limit of the request":  {0, acquireBeforeLateDeadline, false},
		"end of the probe's context": {0, probeCancelled, false},
		"no descriptors":             {0, withControlError(syscall.EMFILE, acquireOnce), false},
		"no local port":              {0, withForeignSource(acquireOnce), false},
		"no descriptors, probe":      {0, withControlError(syscall.EMFILE, probeCancelled), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, fill := startFullServer(t, serve)
			p := NewPool(Config{ConnectTimeout: connectTimeout, IdleTimeout: time.Minute, MaxIdle: 4})
			t.Cleanup(p.Close)
			resp, err := send(p, address, "a1", "")
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
			if err := tc.dial(p, address); err == nil {
				t.Fatal("the dial succeeded")
			}
			if err := <-body; (err != nil) != tc.wantClosed {
				t.Errorf("the response ended with %v, want a closed connection: %t", err, tc.wantClosed)
			}
		})
	}
}

// Guards against cutting off requests on connections that were opened or reused after the
// start of a dial that fails.
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
			before := p.receivedBytes(s.address)
			time.AfterFunc(20*time.Millisecond, func() { p.closeSilent(s.address, before) })
			if got := sendAndRead(t, p, s.address, name); got != "ok" {
				t.Errorf("response %q, want ok", got)
			}
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

// withForeignSource makes the next dial fail with EADDRNOTAVAIL.
func withForeignSource(next func(*Pool, string) error) func(*Pool, string) error {
	return func(p *Pool, address string) error {
		p.dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1)}
		return next(p, address)
	}
}
