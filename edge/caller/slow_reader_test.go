package caller

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
	"siskinstand.example/service/http1"
)

const (
	eventBytes = 4096
	// eventCount events exceed the buffers of the sockets between replica, host and caller.
	eventCount = 300
	// steadyPause is the pause of a caller that reads steadily after each 4 KiB. It needs
	// more than 1 s for a stream, which the replica writes in 0.3 s.
	steadyPause = 4 * time.Millisecond
)

// recordingBudget is a ByteBudget that records the largest sum.
type recordingBudget struct {
	limit        int
	mu           sync.Mutex
	used, peak   int
	overReleased bool
}

func (b *recordingBudget) Reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	b.peak = max(b.peak, b.used)
	return true
}

func (b *recordingBudget) Release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.overReleased = b.overReleased || b.used < 0
}

// slowSite is an entry host with a replica that streams fast and cuts off responses that
// remain unread for a second.
type slowSite struct {
	t       *testing.T
	replica *platform.Replica
	budget  *recordingBudget
	address string
}

func newSlowSite(t *testing.T, change func(*Config)) *slowSite {
	t.Helper()
	return newSlowSiteWith(t, "", change)
}

// newSlowSiteWith returns a slowSite with a replica at another address, if it is not empty.
func newSlowSiteWith(t *testing.T, address string, change func(*Config)) *slowSite {
	t.Helper()
	r, err := platform.NewReplica(platform.ReplicaConfig{ID: "i-1", Service: "app", Zone: "z1", Slots: 64, StreamEvents: eventCount, EventBytes: eventBytes, EventInterval: time.Millisecond, UnreadTimeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	s, _ := startServer(t, cmp.Or(address, r.Address()))
	site := &slowSite{t: t, replica: r, budget: &recordingBudget{limit: 64 << 20}}
	s.config.MaxRequests, s.config.MaxUnreadBytes, s.config.ReadTimeout, s.config.Unread = 100, 4<<20, 2*time.Second, site.budget
	change(&s.config)
	s = New(s.config)
	s.SetMaxProofAge(time.Minute)
	l, err := ListenConfig(s.config.ReadTimeout, 16<<10).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := http1.New(http1.Config{Handler: s, MaxHeaderBytes: 65536, Timeouts: func() http1.Timeouts { return http1.Timeouts{Header: time.Second, Idle: time.Minute} }})
	go func() { _ = server.Serve(l) }() // ends by Close
	t.Cleanup(func() { server.Close() })
	site.address = l.Addr().String()
	return site
}

// call sends a request for a stream on a connection with a small receive buffer.
func (s *slowSite) call(id string) net.Conn {
	s.t.Helper()
	return s.callPath("/resumable/", id)
}

func (s *slowSite) callPath(path, id string) net.Conn {
	s.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10); err != nil {
				s.t.Error(err)
			}
		})
	}}
	c, err := d.DialContext(s.t.Context(), "tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nContent-Length: 6\r\n\r\nprompt", path, id)
	return c
}

// readSteadily reads the response slowly and returns its body.
func readSteadily(c net.Conn) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReaderSize(slowReader{c}, 4096), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

type slowReader struct{ net.Conn }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(steadyPause)
	return r.Conn.Read(p[:min(len(p), 4096)])
}

func (s *slowSite) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(8 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met within 8 s: %s", what)
		}
	}
}

// checkCutOff checks that the caller has got a part of the response and no proper end, and
// that the request has run once.
func (s *slowSite) checkCutOff(c net.Conn) {
	s.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second)) // a failure shows in the read
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		s.t.Errorf("the response ended after %d bytes with %v, want it cut off", n, err)
	}
	if runs := s.replica.Runs(); len(runs) != 1 || runs[0].Unread {
		s.t.Errorf("%d runs, want one that the replica has not cut off: %+v", len(runs), runs)
	}
}

func (s *slowSite) checkReturned() {
	s.t.Helper()
	s.eventually("all bytes are returned", func() bool {
		s.budget.mu.Lock()
		defer s.budget.mu.Unlock()
		return s.budget.used == 0
	})
	if s.budget.overReleased {
		s.t.Error("more bytes were released than reserved")
	}
}

func (s *slowSite) runEnded() bool {
	runs := s.replica.Runs()
	return len(runs) > 0 && runs[len(runs)-1].Ended
}

func wantBody() string {
	var b strings.Builder
	for i := range eventCount {
		fmt.Fprintf(&b, "id: %d\ndata: token %d%s\n\n", i, i, strings.Repeat(" ", eventBytes))
	}
	return b.String()
}

// Guards against a caller that makes the host stop reading from the replica, which then cuts
// off its response.
func TestCallerStopsReading(t *testing.T) {
	s := newSlowSite(t, func(c *Config) { c.ReadTimeout = 5 * time.Second })
	c := s.call("a1")
	s.eventually("the replica has written the stream", s.runEnded)
	if run := s.replica.Runs()[0]; !run.Completed || run.Unread {
		t.Fatalf("the replica has cut off its response: %+v", run)
	}
	time.Sleep(200 * time.Millisecond)
	if body, err := readSteadily(c); body != wantBody() || err != nil {
		t.Errorf("%d bytes (%v), want all %d", len(body), err, len(wantBody()))
	}
	s.checkReturned()
}

// Guards against cutting off a caller that reads slowly but steadily, and against lost or
// reordered bytes while it falls behind and catches up.
func TestSteadySlowReader(t *testing.T) {
	s := newSlowSite(t, func(c *Config) { c.ReadTimeout = 500 * time.Millisecond })
	if body, err := readSteadily(s.call("a1")); body != wantBody() || err != nil {
		t.Errorf("%d bytes (%v), want all %d", len(body), err, len(wantBody()))
	}
	if run := s.replica.Runs()[0]; !run.Completed || run.Unread {
		t.Errorf("the replica has cut off its response: %+v", run)
	}
	s.checkReturned()
	if s.budget.peak == 0 {
		t.Error("nothing was held for the caller, so the test shows nothing")
	}
}

// Guards against responses that are held for ever for callers that read nothing, and against
// a second run of a request whose caller is too slow.
func TestLimitsOfSlowReaders(t *testing.T) {
	tests := map[string]struct {
		limit  string
		change func(*Config)
	}{
		"time":       {limitReadTimeout, func(c *Config) { c.ReadTimeout = 300 * time.Millisecond }},
		"own bytes":  {limitUnreadBytes, func(c *Config) { c.MaxUnreadBytes = 256 << 10 }},
		"all bytes":  {limitUnreadShare, func(c *Config) { c.Unread.(*recordingBudget).limit = 256 << 10 }},
		"after time": {limitReadTimeout, func(c *Config) { c.ReadTimeout = 600 * time.Millisecond }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var cut atomic.Value
			s := newSlowSite(t, func(c *Config) {
				tc.change(c)
				c.OnCutOff = func(limit string) { cut.Store(limit) }
			})
			c := s.call("a1")
			s.eventually("the replica's connection is closed or its stream complete", s.runEnded)
			s.eventually("the response is cut off", func() bool { return cut.Load() != nil })
			if got := cut.Load(); got != tc.limit {
				t.Errorf("cut off by %v, want %s", got, tc.limit)
			}
			s.checkCutOff(c)
			s.checkReturned()
		})
	}
}

// Guards against a host that runs out of memory because many callers stop reading, and against
// cutting off the one that reads.
func TestManySlowReaders(t *testing.T) {
	const limit = 1 << 20
	s := newSlowSite(t, func(c *Config) { c.Unread.(*recordingBudget).limit = limit })
	for i := range 9 { // the replica takes 12 requests
		s.call(fmt.Sprintf("b%d", i))
	}
	s.eventually("the replica has ended the streams that are not read", func() bool {
		runs := s.replica.Runs()
		return len(runs) == 9 && !slices.ContainsFunc(runs, func(r platform.Run) bool { return !r.Ended })
	})
	if body, err := readSteadily(s.call("a1")); body != wantBody() || err != nil {
		t.Errorf("%d bytes (%v), want all %d", len(body), err, len(wantBody()))
	}
	s.checkReturned()
	if s.budget.peak > limit || s.budget.peak == 0 {
		t.Errorf("%d bytes held at most, want some and at most %d", s.budget.peak, limit)
	}
}

// Guards against a complete response that is held for ever for a caller that reads nothing, one
// that a steady reader does not get whole, and one that is sent again after it was cut off.
func TestBufferedResponseIsReadSlowly(t *testing.T) {
	body := strings.Repeat("0123456789abcde\n", 1<<16-1)
	var sends atomic.Int64
	address := serveEach(t, func() string {
		sends.Add(1)
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", stampedHead, len(body), body)
	})
	var cut atomic.Value
	s := newSlowSiteWith(t, address, func(c *Config) {
		c.ReadTimeout = 500 * time.Millisecond
		c.OnCutOff = func(limit string) { cut.Store(limit) }
	})
	if got, err := readSteadily(s.callPath("/x", "a1")); got != body || err != nil {
		t.Errorf("%d bytes (%v), want all %d", len(got), err, len(body))
	}
	if s.budget.peak < len(body) {
		t.Errorf("%d bytes counted, want the body of %d", s.budget.peak, len(body))
	}
	c := s.callPath("/x", "a1")
	s.eventually("the response is cut off", func() bool { return cut.Load() == limitReadTimeout })
	if got, err := readSteadily(c); err == nil {
		t.Errorf("the response ended properly after %d bytes, want it cut off", len(got))
	}
	s.checkReturned()
	if n := sends.Load(); n != 2 {
		t.Errorf("%d sends of two requests", n)
	}
}
