package http1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// longBodyBytes exceeds maxDrainBytes and what the sockets of a connection buffer.
const longBodyBytes = 32 << 20

// startRefusing starts a server that refuses each request without reading its body.
func startRefusing(t *testing.T, maxConnections int) (*Server, string) {
	t.Helper()
	server := New(Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			DrainOnClose(r)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			fmt.Fprint(w, "refused")
		}),
		Timeouts:       func() Timeouts { return Timeouts{Header: time.Minute, Idle: time.Minute} },
		MaxConnections: maxConnections, Memory: newTestMemory(),
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return server, l.Addr().String()
}

// sendLongBody sends a request with a long body. The error of the write arrives on the channel.
func (c testClient) sendLongBody(method string) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(c.Conn, "%s / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", method, longBodyBytes)
		part := make([]byte, 64<<10)
		for n := 0; n < longBodyBytes && err == nil; n += len(part) {
			_, err = c.Write(part)
		}
		written <- err
	}()
	return written
}

// Guards against a reset that overtakes a refusal: a caller whose write fails before it has read
// the response reports the failed write.
func TestRefusalReachesCallerThatStillSends(t *testing.T) {
	// readDelay is the time until the caller reads the response.
	const readDelay = drainTimeout / 2
	tests := map[string]struct {
		maxConnections int
		// earlier is the number of other callers that do not read their response.
		earlier int
		act     func(s *Server) <-chan error
		method  string
		status  int
		body    string
	}{
		"alone":                            {method: "POST", status: 413, body: "refused"},
		"after others":                     {maxConnections: 2 * maxLingering, earlier: 3, method: "POST", status: 413, body: "refused"},
		"during shutdown":                  {act: shutDown, method: "POST", status: 413, body: "refused"},
		"during shutdown, invalid request": {act: shutDown, method: "\x01", status: 400, body: "400 Bad Request"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			server, address := startRefusing(t, tc.maxConnections)
			s := &testServer{t: t, address: address}
			for range tc.earlier {
				s.dial().sendLongBody(tc.method)
				time.Sleep(20 * time.Millisecond)
			}
			c := s.dial()
			written := c.sendLongBody(tc.method)
			time.Sleep(20 * time.Millisecond)
			var result <-chan error
			if tc.act != nil {
				result = tc.act(server)
			}
			select {
			case err := <-written:
				t.Fatalf("the write ended before the response was read: %v", err)
			case <-time.After(readDelay):
			}
			select {
			case err := <-result:
				t.Fatalf("Shutdown = %v before the response was read", err)
			default:
			}
			c.expectResponse(tc.status, tc.body)
			if err := <-written; err == nil {
				t.Error("the whole body was read, want it to exceed maxDrainBytes")
			}
			if tc.act != nil {
				if err := <-result; err != nil {
					t.Errorf("Shutdown = %v", err)
				}
			}
		})
	}
}

// shutDown does what a process does before it exits.
func shutDown(s *Server) <-chan error {
	result := make(chan error, 1)
	go func() { result <- errors.Join(s.Shutdown(context.Background()), s.Close()) }()
	return result
}
