package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"siskinstand.example/coord/responsehead/headtest"
)

const (
	// maxBrokenTime limits how long a broken response keeps its connection.
	maxBrokenTime = 3 * time.Second
	// endlessBlockBytes is the size of one write of ResponseEndless, drip and dripInterval are the
	// writes of ResponseSlowRefusal.
	endlessBlockBytes = 16 << 10
	drip              = "x"
	dripInterval      = 20 * time.Millisecond
)

// brokenResponse writes a response that is not acceptable directly to the connection.
func (r *Replica) brokenResponse(w http.ResponseWriter, q *http.Request, mode ResponseMode) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(maxBrokenTime)) // a closed connection fails the write below
	r.mu.Lock()
	n := r.broken
	r.broken++
	r.mu.Unlock()
	fields := fmt.Sprintf("Attempt-Id: %s\r\nReplica-Stamp: stamp.%s\r\n", q.Header.Get("Attempt-Id"), r.config.ID)
	if r.config.StreamEvents > 0 {
		fields += "Content-Type: text/event-stream\r\n"
	}
	switch mode {
	case ResponseBrokenHead:
		cases := headtest.Broken(fields)
		fmt.Fprint(c, cases[n%len(cases)].Text)
		_, _ = io.Copy(io.Discard, c) // ends when the host closes the connection
	case ResponseCutHead:
		cases := headtest.Cut(fields)
		fmt.Fprint(c, cases[n%len(cases)].Text)
	case ResponseEndless:
		writeEndless(c, n, fields)
	case ResponseEarlyReset:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nid: 0\ndata: token 0\n\n", fields)
		_ = c.(*net.TCPConn).SetLinger(0) // the close below resets the connection
	}
}

// writeEndless writes the n-th kind of a response without an end until the connection is closed.
func writeEndless(c net.Conn, n int, fields string) {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	kinds := []struct{ prefix, filler string }{
		{"", "\x00"}, {"HTTP/1.1 200 ", "x"}, {ok, "X-A: x\r\n"}, {ok + "X-A: ", "x"}, {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{ok + "\r\n", "x"}, {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}, {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	}
	kind := kinds[n%len(kinds)]
	block := strings.Repeat(kind.filler, endlessBlockBytes/len(kind.filler))
	_, err := io.WriteString(c, kind.prefix)
	for err == nil {
		_, err = io.WriteString(c, block)
	}
}

// refuseSlowly rejects a request with a text that does not end.
func (r *Replica) refuseSlowly(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	control := http.NewResponseController(w)
	for end := time.Now().Add(maxBrokenTime); time.Now().Before(end) && q.Context().Err() == nil; time.Sleep(dripInterval) {
		fmt.Fprint(w, drip)
		if control.Flush() != nil {
			return
		}
	}
}
