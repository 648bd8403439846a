package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endlessReplica sends a prefix to each request and then repeats a filler until the connection
// is closed.
type endlessReplica struct {
	address string
	// sentBytes counts the bytes that the connections have accepted. closed receives a value
	// when a connection was closed by the other side.
	sentBytes atomic.Int64
	closed    chan struct{}
}

func serveEndless(t *testing.T, prefix, filler string) *endlessReplica {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &endlessReplica{address: l.Addr().String(), closed: make(chan struct{}, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c, prefix, filler)
		}
	}()
	return r
}

func (r *endlessReplica) serve(c net.Conn, prefix, filler string) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return // a probe
	}
	block := strings.Repeat(filler, max(1, 16<<10/len(filler)))
	n, err := io.WriteString(c, prefix)
	for err == nil {
		r.sentBytes.Add(int64(n))
		n, err = io.WriteString(c, block)
	}
	r.closed <- struct{}{}
}

const (
	stampedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nReplica-Stamp: s\r\n"
	streamHead  = stampedHead + "Content-Type: text/event-stream\r\n\r\n"
)

// Guards against a replica that sends bytes without end, in a head or in a body: they must not
// fill the memory or occupy the link of an entry host until the caller's time limit, and they
// must not look like an answer.
func TestEndlessResponse(t *testing.T) {
	const (
		// maxTime leaves a request time for another replica: the objective of the route is
		// 1 s, the time limit 10 s.
		maxTime = 2500 * time.Millisecond
		// maxBytes is max_answer_bytes of startServer, 1 MiB, and the buffers of the sockets.
		maxBytes = 12 << 20
	)
	tests := map[string]struct{ path, prefix, filler string }{
		"status line":               {"/x", "HTTP/1.1 200 ", "x"},
		"bytes before a head":       {"/x", "", "\x00\x01garbage"},
		"blank lines before a head": {"/x", "", "\r\n"},
		"header line":               {"/x", "HTTP/1.1 200 OK\r\nX-Filler: ", "x"},
		"header lines":              {"/x", "HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"},
		"interim responses":         {"/x", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without a length":     {"/x", stampedHead + "\r\n", "x"},
		"failure without a length":  {"/x", strings.Replace(stampedHead, "200 OK", "500 Error", 1) + "\r\n", "x"},
		"interim response":          {"/x", "HTTP/1.1 103 Early Hints\r\n", "X-Filler: x\r\n"},
		"chunks":                    {"/x", stampedHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size":                {"/x", stampedHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":           {"/x", stampedHead + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailers":                  {"/x", stampedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: x\r\n"},
		"event":                     {"/stream/", streamHead + "id: 1\ndata: ", "x"},
		"events without an ID":      {"/stream/", streamHead, "data: x\n\n"},
		"comments":                  {"/stream/", streamHead + "id: 1\ndata: x\n\n", ":\n\n"},
		"stream head":               {"/stream/", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "X-Filler: x\r\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := serveEndless(t, tc.prefix, tc.filler)
			s, _ := startServer(t, r.address)
			front := httptest.NewServer(s)
			t.Cleanup(front.Close)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+tc.path, strings.NewReader("prompt"))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("Attempt-Id", "a1")
			req.Header.Set("Deadline-Ms", "10000")
			startedAt := time.Now()
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if err == nil && resp.StatusCode < 500 {
					t.Errorf("complete response with status %d", resp.StatusCode)
				}
				if resp.StatusCode == http.StatusServiceUnavailable {
					t.Error("status 503 for a request that may have run")
				}
			}
			if d := time.Since(startedAt); d > maxTime {
				t.Errorf("answered after %v, want at most %v", d, maxTime)
			}
			select {
			case <-r.closed:
			case <-time.After(maxTime):
				t.Errorf("the connection to the replica is still open %v after the answer", maxTime)
			}
			if n := r.sentBytes.Load(); n > maxBytes {
				t.Errorf("%d bytes read, want at most %d", n, maxBytes)
			}
		})
	}
}
