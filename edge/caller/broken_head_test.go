package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"siskinstand.example/coord/responsehead/headtest"
)

// maxBrokenAnswerTime is the time to an answer after a broken response: the objective of the
// routes of startServer, whose time limit is 10 s.
const maxBrokenAnswerTime = time.Second

// brokenReplica answers each request with its body echoed, except the one with the attempt ID
// "broken", which gets a text.
type brokenReplica struct {
	address string
	text    string
	// closes makes the replica close the connection after the text.
	closes bool
	// resets makes it reset the connection then.
	resets bool
	// connections counts the connections that have carried a request.
	connections atomic.Int64
}

func (r *brokenReplica) start(t *testing.T) {
	t.Helper()
	r.address = headtest.Listen(t, r.serve)
}

func (r *brokenReplica) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		q, body, err := headtest.ReadRequest(reader)
		if err != nil {
			return
		}
		if n == 0 {
			r.connections.Add(1)
		}
		id := q.Header.Get("Attempt-Id")
		if id != "broken" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
			continue
		}
		fmt.Fprint(c, r.text)
		switch {
		case r.resets:
			time.Sleep(20 * time.Millisecond) // the reset would discard what is still in transit
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case r.closes:
			return
		}
	}
}

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func ask(t *testing.T, url, path, id, body string) answer {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "10000")
	startedAt := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(startedAt)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data), err, time.Since(startedAt)}
}

// checkOwnFailure checks that an answer is the host's own and promises nothing.
func checkOwnFailure(t *testing.T, a answer) {
	t.Helper()
	if a.err != nil || a.status != http.StatusBadGateway || a.header.Get("Replica-Stamp") != "" || !strings.HasPrefix(a.body, `{"error":`) {
		t.Errorf("answer %d %q, stamp %q, error %v; want the host's own 502", a.status, a.body, a.header.Get("Replica-Stamp"), a.err)
	}
	if a.took > maxBrokenAnswerTime {
		t.Errorf("answered after %v, want at most %v", a.took, maxBrokenAnswerTime)
	}
}

// checkBroken sends a request whose response is broken, on a new or on a kept connection to the
// replica, and two requests that share its fate if bytes of that response are left over.
func checkBroken(t *testing.T, r *brokenReplica, path string, kept bool) {
	t.Helper()
	r.start(t)
	s, _ := startServer(t, r.address)
	front := httptest.NewServer(s)
	t.Cleanup(front.Close)
	if kept {
		if a := ask(t, front.URL, "/x", "first", "one"); a.body != "one" {
			t.Fatalf("answer %d %q, %v before the broken response", a.status, a.body, a.err)
		}
	}
	checkOwnFailure(t, ask(t, front.URL, path, "broken", "two"))
	for _, id := range []string{"next", "last"} {
		if a := ask(t, front.URL, "/x", id, id); a.err != nil || a.body != id {
			t.Errorf("answer %d %q, %v to request %q after the broken response", a.status, a.body, a.err, id)
		}
	}
	if n := r.connections.Load(); n < 2 {
		t.Error("the connection with the broken response was used again")
	}
}

const brokenFields = "Attempt-Id: broken\r\nReplica-Stamp: s\r\n"

// Guards against responses without an acceptable head: callers got them as answers, or the
// response that followed them, or waited for one until their time limit.
func TestBrokenHead(t *testing.T) {
	type situation struct{ kept, closes bool }
	events := brokenFields + "Content-Type: text/event-stream\r\n"
	for name, kind := range map[string]struct {
		path, fields string
		situations   []situation
	}{
		"answer":           {"/x", brokenFields, []situation{{false, false}, {true, false}, {true, true}}},
		"refusal":          {"/x", brokenFields + "Not-Executed: 1\r\n", []situation{{true, false}}},
		"stream":           {"/stream/", events, []situation{{true, false}}},
		"resumable stream": {"/resumable/", events, []situation{{false, true}}},
	} {
		for _, tc := range headtest.Broken(kind.fields) {
			for _, c := range kind.situations {
				t.Run(fmt.Sprintf("%s/%s/kept=%t/closes=%t", tc.Name, name, c.kept, c.closes), func(t *testing.T) {
					t.Parallel()
					checkBroken(t, &brokenReplica{text: tc.Text, closes: c.closes}, kind.path, c.kept)
				})
			}
		}
	}
}

// Guards against the beginning of a head that callers get as a whole answer with an empty body.
func TestCutHead(t *testing.T) {
	for path, fields := range map[string]string{"/x": brokenFields, "/stream/": brokenFields + "Content-Type: text/event-stream\r\n"} {
		for i, tc := range headtest.Cut(fields) {
			if i%5 != 0 && !strings.HasSuffix(tc.Text, "\n") && !strings.HasSuffix(tc.Text, "\r") {
				continue
			}
			t.Run(path+tc.Name, func(t *testing.T) {
				t.Parallel()
				checkBroken(t, &brokenReplica{text: tc.Text, closes: true, resets: i%2 == 1}, path, i%2 == 0)
			})
		}
	}
}

// Guards against strictness that costs replicas that keep to HTTP/1.
func TestSoundHead(t *testing.T) {
	for _, tc := range headtest.Sound(brokenFields) {
		t.Run(tc.Name, func(t *testing.T) {
			t.Parallel()
			r := &brokenReplica{text: tc.Text, closes: true}
			r.start(t)
			s, _ := startServer(t, r.address)
			front := httptest.NewServer(s)
			t.Cleanup(front.Close)
			if a := ask(t, front.URL, "/x", "broken", "two"); a.err != nil || a.status != http.StatusOK || a.body != "whole" {
				t.Errorf("answer %d %q, %v; want the replica's", a.status, a.body, a.err)
			}
		})
	}
}
