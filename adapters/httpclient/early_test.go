package httpclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// longUploadBytes is more than the buffers of a connection hold.
const longUploadBytes = 16 << 20

// serveEarly answers each request with a text before it reads the body. end ends the exchange.
func serveEarly(t *testing.T, text string, end func(c *net.TCPConn, body io.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				q, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				fmt.Fprint(c, text)
				time.Sleep(10 * time.Millisecond) // the client is writing when the connection ends
				end(c.(*net.TCPConn), q.Body)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a part of a response without a length that counts as whole, since the write of
// a long upload took the error of the connection.
func TestEarlyResponse(t *testing.T) {
	reset := func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }
	readOn := func(c *net.TCPConn, body io.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, body) // the client may close first
	}
	for name, tc := range map[string]struct {
		text    string
		end     func(*net.TCPConn, io.Reader)
		isWhole bool
	}{
		"reset":              {"HTTP/1.1 200 OK\r\n\r\npart", reset, false},
		"reset, version 1.0": {"HTTP/1.0 200 OK\r\n\r\npart", reset, false},
		"reset, no body":     {"HTTP/1.1 200 OK\r\n\r\n", reset, false},
		"upload read":        {"HTTP/1.1 200 OK\r\n\r\nwhole", readOn, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := serveEarly(t, tc.text, tc.end)
			// Whether the read or the write of the client takes the error is a matter of chance.
			for range 20 {
				got, err := post(newClient(t), url, strings.Repeat("x", longUploadBytes))
				if tc.isWhole != (err == nil) || tc.isWhole && got != "whole" {
					t.Fatalf("response %q, error %v, want whole: %t", got, err, tc.isWhole)
				}
			}
		})
	}
}
