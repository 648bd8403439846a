package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/bytebudget"
	"siskinstand.example/service/membudget"
)

func newTestMemory() *membudget.Budget {
	return membudget.New(bytebudget.Config{
		Limit: 1 << 20, Reserve: 1 << 20, SmallBytes: 64 << 10, Share: 1, BodyShare: 1,
		StallTime: time.Minute, ProgressBytes: 1, QuietTime: 20 * time.Millisecond, MaxClaims: 100,
	}, tally.NoopScope)
}

// limitedServer is a server with a maximum of connections. A request to /slow ends with release.
type limitedServer struct {
	t       *testing.T
	server  *Server
	address string
	memory  *membudget.Budget
	release chan struct{}
}

func startLimited(t *testing.T, maxConnections int) *limitedServer {
	t.Helper()
	s := &limitedServer{t: t, memory: newTestMemory(), release: make(chan struct{})}
	s.server = New(Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-s.release
			}
			fmt.Fprint(w, r.URL.Path)
		}),
		Timeouts:       func() Timeouts { return Timeouts{Header: time.Minute, Idle: time.Minute} },
		MaxConnections: maxConnections, Memory: s.memory,
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	go func() { _ = s.server.Serve(l) }() // ends with Close
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

func (s *limitedServer) dial(path string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if path != "" {
		fmt.Fprint(c, getRequest(path))
	}
	return c
}

func (s *limitedServer) expect(c net.Conn, status int) {
	s.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != status {
		s.t.Errorf("status %d (%v), want %d", resp.StatusCode, err, status)
	}
}

// Guards against idle connections that keep new ones out, against running requests that are cut
// off for new ones, and against refusals that do not arrive.
func TestMaxConnections(t *testing.T) {
	s := startLimited(t, 4)
	idle := []net.Conn{s.dial("/kept"), s.dial(""), s.dial(""), s.dial("")}
	s.expect(idle[0], http.StatusOK)
	time.Sleep(50 * time.Millisecond)
	var slow []net.Conn
	for range idle {
		slow = append(slow, s.dial("/slow"))
		time.Sleep(30 * time.Millisecond)
	}
	for i, c := range idle {
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("idle connection %d is open beside as many requests as connections: %v", i, err)
		}
	}
	s.expect(s.dial("/refused"), http.StatusServiceUnavailable)
	close(s.release)
	for _, c := range slow {
		s.expect(c, http.StatusOK)
	}
	if err := s.server.Close(); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(5 * time.Second); s.memory.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are charged after all connections have ended", s.memory.Held())
		}
	}
}

// Guards against a refusal because of connections whose callers have closed them: on a busy host
// it takes a while until they have ended.
func TestClosedConnectionsMakeRoom(t *testing.T) {
	for _, closed := range []int{0, 1, 3} {
		t.Run(fmt.Sprintf("%d closed", closed), func(t *testing.T) {
			s := startLimited(t, 2*connectionMargin)
			var conns []net.Conn
			for range s.server.config.MaxConnections {
				conns = append(conns, s.dial("/slow"))
			}
			time.Sleep(50 * time.Millisecond)
			for _, c := range conns[:closed] {
				c.Close()
			}
			// More than MaxConnections by a part of 1/connectionMargin may be open.
			for range min(closed, 2) {
				conns = append(conns, s.dial("/slow"))
			}
			s.expect(s.dial("/refused"), http.StatusServiceUnavailable)
			close(s.release)
			for _, c := range conns[closed:] {
				s.expect(c, http.StatusOK)
			}
		})
	}
}
