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

// Guards against idle connections that keep new ones out, against running requests that are cut
// off for new ones, and against refusals that do not arrive.
func TestMaxConnections(t *testing.T) {
	memory := newTestMemory()
	release := make(chan struct{})
	server := New(Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-release
			}
			fmt.Fprint(w, r.URL.Path)
		}),
		Timeouts:       func() Timeouts { return Timeouts{Header: time.Minute, Idle: time.Minute} },
		MaxConnections: 4, Memory: memory,
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }() // ends with Close
	defer server.Close()
	dial := func(path string) net.Conn {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if path != "" {
			fmt.Fprint(c, getRequest(path))
		}
		return c
	}
	expect := func(c net.Conn, status int) {
		t.Helper()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != status {
			t.Errorf("status %d (%v), want %d", resp.StatusCode, err, status)
		}
	}
	idle := []net.Conn{dial("/kept"), dial(""), dial(""), dial("")}
	expect(idle[0], http.StatusOK)
	time.Sleep(50 * time.Millisecond)
	var slow []net.Conn
	for range idle {
		slow = append(slow, dial("/slow"))
		time.Sleep(30 * time.Millisecond)
	}
	for i, c := range idle {
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("idle connection %d is open beside as many requests as connections: %v", i, err)
		}
	}
	expect(dial("/refused"), http.StatusServiceUnavailable)
	close(release)
	for _, c := range slow {
		expect(c, http.StatusOK)
	}
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(5 * time.Second); memory.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are charged after all connections have ended", memory.Held())
		}
	}
}
