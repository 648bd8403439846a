package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// serveRepeatedRefusals refuses the first request. It runs the others, after it has written the
// refusal once more without an attempt ID.
func serveRepeatedRefusals(t *testing.T) (address string, runs *atomic.Int64) {
	t.Helper()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	runs = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for isFirst := true; ; isFirst = false {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					id := "Attempt-Id: " + req.Header.Get("Attempt-Id") + "\r\n"
					if isFirst {
						fmt.Fprintf(c, refusal, id)
						continue
					}
					runs.Add(1)
					fmt.Fprintf(c, refusal, "")
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sReplica-Stamp: s\r\nContent-Length: 3\r\n\r\nran", id)
				}
			}()
		}
	}()
	return l.Addr().String(), runs
}

// Guards against "not run, try again" for a request that a replica has run: a faulty replica
// writes its refusal of an earlier request once more on the kept connection.
func TestRepeatedRefusalOfEarlierRequest(t *testing.T) {
	address, runs := serveRepeatedRefusals(t)
	s, _ := startServer(t, address)
	send := func(id string) int {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
		r.Host = "h.example"
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Deadline-Ms", "2000")
		s.ServeHTTP(w, r)
		return w.Code
	}
	got := []int{send("a1")}
	time.Sleep(100 * time.Millisecond) // the replica gets no requests for 60 ms after a refusal
	got = append(got, send("a2"))
	if diff := cmp.Diff([]int{http.StatusServiceUnavailable, http.StatusBadGateway}, got); diff != "" || runs.Load() != 1 {
		t.Errorf("%d requests run, want the second; statuses (-want +got):\n%s", runs.Load(), diff)
	}
}
