package engine

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

	"siskinstand.example/coord/verdict"
)

// serveWithIdleTimeout serves connections that it closes when they have been idle for the
// given time.
func serveWithIdleTimeout(t *testing.T, idle time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			_ = c.SetReadDeadline(time.Now().Add(idle)) // a closed connection fails the read below
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Guards against calls that may have run because the engine closes a connection as idle
// while the sidecar sends a call on it. The calls are spread over the moment at which the
// engine does so.
func TestEngineClosesIdleConnections(t *testing.T) {
	const clients, idle, span = 300, 2 * time.Second, time.Millisecond
	address := serveWithIdleTimeout(t, idle)
	var failed atomic.Int64
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			c := NewPlainClient(address, DefaultLimits())
			call := func() {
				_, err := c.Run(t.Context(), Request{Method: http.MethodPost, Path: "/", Body: []byte("{}")}, func(Chunk) error { return nil })
				if err != nil && verdict.FromError(err) != verdict.NotRun {
					failed.Add(1)
				}
			}
			call()
			time.Sleep(idle - span/2 + span*time.Duration(i)/clients)
			call()
		})
	}
	wg.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d calls may have run without a response, want none", n, clients)
	}
}
