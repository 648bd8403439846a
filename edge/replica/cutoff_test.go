package replica

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"siskinstand.example/coord/connfault"
)

// dropPackets makes a socket of a replica drop all packets that arrive, as if its machine had
// lost power or its link: none has the required time to live.
func dropPackets(t *testing.T, s syscall.Conn) {
	t.Helper()
	raw, err := s.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_MINTTL, 255)
	})
	if err := errors.Join(err, sockErr); err != nil {
		t.Fatal(err)
	}
}

// Guards against a replica that is cut off or has lost power and counts as one that is at its
// limit. The first connection without an answer makes it unreachable and offers its requests to
// move, and those that stay end by a timeout of their own connection.
func TestCutOffReplicaIsUnreachable(t *testing.T) {
	const connectTimeout = 100 * time.Millisecond
	// keepAlive is the idle time after which TCP sends a probe, and the time that it waits for
	// the answer to it.
	const keepAlive = 2 * time.Second
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // its sockets lack the option of dropPackets
	l, err := lc.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := NewPool(Config{ConnectTimeout: connectTimeout, IdleTimeout: time.Minute, MaxIdle: 4})
	t.Cleanup(p.Close)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		accepted <- c
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
		}
	}()
	offered := make(chan bool, 1)
	resp, err := p.Do(t.Context(), Request{
		Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h.example", AttemptID: "a1",
		OnSilence: func(isSilent func() bool) { offered <- isSilent() },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	c := <-accepted
	t.Cleanup(func() { c.Close() })
	dropPackets(t, c.(*net.TCPConn))
	dropPackets(t, l.(*net.TCPListener))
	cut := time.Now()
	checkState(t, p.Probe(t.Context(), l.Addr().String()), connfault.Unreachable)
	if d := time.Since(cut); d > 3*connectTimeout {
		t.Errorf("found after %s, want the connect timeout of %s", d, connectTimeout)
	}
	select {
	case isSilent := <-offered:
		if !isSilent {
			t.Error("the request does not count as silent")
		}
	case <-time.After(time.Second):
		t.Error("the request is not offered to move")
	}
	if _, err := io.ReadAll(resp); !errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("the response ended with %v, want a timeout of the connection", err)
	}
	if d := time.Since(cut); d > keepAlive+time.Second {
		t.Errorf("the request ended after %s, want %s", d, keepAlive)
	}
}
