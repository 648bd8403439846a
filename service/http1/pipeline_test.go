package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against status 400 for a valid pipelined request. It is sent if more than the
// method of that request arrives together with the previous request.
func TestSplitPipelinedRequest(t *testing.T) {
	tests := map[string]struct {
		first, rest string
		// pause is the time between the two parts. The handler of /slow takes 500 ms.
		pause time.Duration
	}{
		"split in the version, rest during the response":   {"GET /3 HT", "TP/1.1\r\nHost: x\r\n\r\n", 100 * time.Millisecond},
		"split in the version, rest after the response":    {"GET /3 HT", "TP/1.1\r\nHost: x\r\n\r\n", 600 * time.Millisecond},
		"split in the host name, rest during the response": {"GET /3 HTTP/1.1\r\nHo", "st: x\r\n\r\n", 100 * time.Millisecond},
		"split in the host name, rest after the response":  {"GET /3 HTTP/1.1\r\nHo", "st: x\r\n\r\n", 600 * time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			s.timeouts.Store(&Timeouts{Header: 3 * time.Second, Idle: 3 * time.Second})
			c := s.dial()
			c.send(getRequest("/slow") + tc.first)
			time.Sleep(tc.pause)
			c.send(tc.rest)
			c.expectResponse(200, "/slow")
			c.expectResponse(200, "/3")
		})
	}
}

// Guards against a connection that counts as unused although the first bytes of its next
// request were read together with the previous one. A shutdown answered such a request with
// status 400, and a stalled header got it only at the idle timeout.
func TestPartOfPipelinedHeader(t *testing.T) {
	t.Run("shutdown", func(t *testing.T) {
		s := startServer(t)
		s.timeouts.Store(&Timeouts{Header: 3 * time.Second, Idle: 3 * time.Second})
		c := s.dial()
		c.send(getRequest("/1") + "GET /2 HTTP/1.1\r\nHo")
		c.expectResponse(200, "/1")
		result := s.shutDown(t.Context())
		time.Sleep(unusedConnectionGrace + 150*time.Millisecond)
		c.send("st: x\r\n\r\n")
		c.expectResponse(200, "/2")
		if err := <-result; err != nil {
			t.Errorf("Shutdown = %v", err)
		}
	})
	t.Run("header timeout", func(t *testing.T) {
		s := startServer(t)
		c := s.dial()
		c.send(getRequest("/1") + "GET /2 HTTP/1.1\r\nHo")
		c.expectResponse(200, "/1")
		c.expectResponse(408, "408 Request Timeout")
	})
}

// retiringListener accepts connections that are retired each time net/http removes their read
// deadline, while isArmed is set.
type retiringListener struct {
	net.Listener
	server  *Server
	isArmed atomic.Bool
}

func (l *retiringListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &retiringConn{TCPConn: n.(*net.TCPConn), listener: l}, nil
}

type retiringConn struct {
	*net.TCPConn
	listener *retiringListener
}

func (c *retiringConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() && c.listener.isArmed.Load() {
		for range 8 {
			go c.listener.server.retireUnused(time.Now().Add(time.Second))
		}
		time.Sleep(3 * time.Millisecond)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Guards against a body that is cut off by the past deadline of a connection that was retired
// just before its request became active.
func TestRetirementBeforeRequestIsActive(t *testing.T) {
	for range 30 {
		l := &retiringListener{Listener: newPausingListener(t).Listener}
		l.server = New(Config{
			Timeouts: func() Timeouts { return Timeouts{Header: 3 * time.Second, Idle: 3 * time.Second} },
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				l.isArmed.Store(true)
				body, err := io.ReadAll(r.Body)
				if err != nil {
					t.Errorf("body %q, %v", body, err)
				}
			}),
		})
		go func() { _ = l.server.Serve(l) }() // ends with Close
		n, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = n.SetDeadline(time.Now().Add(5 * time.Second)) // a closed connection fails the read below
		fmt.Fprint(n, getRequest("/1")+"POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nConnection: close\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		fmt.Fprint(n, "hello")
		if _, err := io.ReadAll(n); err != nil {
			t.Errorf("response: %v", err)
		}
		n.Close()
		l.server.Close()
	}
}
