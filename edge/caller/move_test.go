package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"siskinstand.example/coord/connfault"
	"siskinstand.example/coord/responsehead/headtest"
)

// silentReplica is a replica whose accept queue is full. It sends the head and the first event of
// a stream and is silent after that until its resume is closed.
type silentReplica struct {
	address string
	began   chan struct{}
	resume  chan struct{}
}

const (
	firstPart = streamHead + "id: 1\ndata: one\n\n"
	restPart  = "id: 2\ndata: two\n\n"
	wholeBody = "id: 1\ndata: one\n\n" + restPart
)

func startSilentReplica(t *testing.T) *silentReplica {
	t.Helper()
	l := listenWithQueue(t, 0)
	r := &silentReplica{address: l.Addr().String(), began: make(chan struct{}), resume: make(chan struct{})}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, firstPart)
		close(r.began)
		<-r.resume
		_, _ = io.WriteString(c, restPart) // and close, which ends the body
	}()
	return r
}

// listenWithQueue listens with an accept queue of the given length.
func listenWithQueue(t *testing.T, length int) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		if err := unix.Listen(int(fd), length); err != nil {
			t.Error(err)
		}
	}); err != nil {
		t.Fatal(err)
	}
	return l
}

// fillQueue opens connections to a replica until none is answered.
func fillQueue(t *testing.T, address string) {
	t.Helper()
	for range 8 {
		c, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the accept queue does not fill up")
}

// startStream sends a request for a stream that may be resumed, and returns its body once it ends.
func startStream(t *testing.T, s *Server) <-chan string {
	t.Helper()
	front := httptest.NewServer(s)
	t.Cleanup(front.Close)
	body := make(chan string, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, front.URL+"/resumable/", strings.NewReader("prompt"))
		if err != nil {
			body <- err.Error()
			return
		}
		req.Host = "h.example"
		req.Header.Set("Attempt-Id", "a1")
		req.Header.Set("Deadline-Ms", "5000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			body <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			b = fmt.Appendf(b, "\n%v", err)
		}
		body <- string(b)
	}()
	return body
}

func checkBody(t *testing.T, body <-chan string, want string) {
	t.Helper()
	select {
	case got := <-body:
		if got != want {
			t.Errorf("body %q, want %q", got, want)
		}
	case <-time.After(4 * time.Second):
		t.Error("no whole body after 4s")
	}
}

// probeUnanswered probes a replica that does not answer.
func probeUnanswered(t *testing.T, s *Server, address string) {
	t.Helper()
	err := s.config.Pool.Probe(t.Context(), address)
	if connfault.StateOf(err) != connfault.Unreachable {
		t.Fatalf("probe: %v, want the state %s", err, connfault.Unreachable)
	}
}

// Guards against a stream that is held until its time limit by a replica that is frozen or cut off,
// although another replica can continue it.
func TestSilentStreamMoves(t *testing.T) {
	silent := startSilentReplica(t)
	t.Cleanup(func() { close(silent.resume) })
	s, loop := startServer(t, silent.address)
	body := startStream(t, s)
	<-silent.began
	fillQueue(t, silent.address)
	addReplica(t, loop, "i-2", serveOnce(t, streamHead+restPart))
	probeUnanswered(t, s, silent.address)
	checkBody(t, body, wholeBody)
}

// Guards against a stream that is ended because its replica does not answer the opening of another
// connection. Without another replica, or without a connection to it, the stream stays.
func TestSilentStreamStays(t *testing.T) {
	tests := map[string]func(t *testing.T) string{
		"no other replica":      nil,
		"other replica refuses": refusedAddress,
		"other replica resets":  resettingAddress,
	}
	for name, other := range tests {
		t.Run(name, func(t *testing.T) {
			silent := startSilentReplica(t)
			s, loop := startServer(t, silent.address)
			body := startStream(t, s)
			<-silent.began
			fillQueue(t, silent.address)
			if other != nil {
				addReplica(t, loop, "i-2", other(t))
			}
			probeUnanswered(t, s, silent.address)
			time.Sleep(100 * time.Millisecond)
			close(silent.resume)
			checkBody(t, body, wholeBody)
		})
	}
}

// resettingAddress returns the address of a replica that accepts connections and resets them.
func resettingAddress(t *testing.T) string {
	t.Helper()
	return headtest.Listen(t, func(c net.Conn) {
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

// refusedAddress returns an address at which nothing listens.
func refusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
