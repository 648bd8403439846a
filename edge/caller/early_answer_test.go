package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// longUploadBytes is more than the buffers of a connection hold, so that a replica can answer
// and close while the upload is still being written.
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
					return // a probe
				}
				fmt.Fprint(c, text)
				time.Sleep(20 * time.Millisecond) // the host is writing when the connection ends
				end(c.(*net.TCPConn), q.Body)
			}()
		}
	}()
	return l.Addr().String()
}

// resetConnection resets the connection. What was sent before stays readable for the host.
func resetConnection(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }

// readAndReset reads the rest of the upload and resets the connection.
func readAndReset(c *net.TCPConn, body io.Reader) {
	_, _ = io.Copy(io.Discard, body) // ends with the upload
	_ = c.SetLinger(0)
}

// readOn ends the answer, reads the rest of the upload and closes the connection.
func readOn(c *net.TCPConn, body io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, body) // ends with the upload
}

// Guards against a part of a response that callers get as a whole one: a replica answers a long
// upload at once, without a length, and resets the connection while the upload is written. The
// failed write takes the error of the connection, and the response seems to end properly.
func TestEarlyAnswer(t *testing.T) {
	const (
		plain  = "HTTP/1.1 200 OK\r\n" + brokenFields
		events = plain + "Content-Type: text/event-stream\r\n\r\n" + "id: 1\ndata: x\n\n"
	)
	for name, tc := range map[string]struct {
		path, text string
		end        func(*net.TCPConn, io.Reader)
		// wantStatus, or 0 for any, and wantBody are what the caller gets. The body of a status
		// from 500 is the host's own.
		wantStatus int
		wantBody   string
		// wantCut is set if the caller must see that the response broke off.
		wantCut bool
	}{
		"part without a length":                   {"/x", plain + "\r\npart", resetConnection, 502, "", false},
		"part without a length, failure":          {"/x", "HTTP/1.1 500 Error\r\n" + brokenFields + "\r\npart", resetConnection, 502, "", false},
		"part without a length, version 1.0":      {"/x", "HTTP/1.0 200 OK\r\n" + brokenFields + "\r\npart", resetConnection, 502, "", false},
		"part without a length, interim response": {"/x", "HTTP/1.1 103 Early Hints\r\n\r\n" + plain + "\r\npart", resetConnection, 502, "", false},
		"nothing without a length":                {"/x", plain + "\r\n", resetConnection, 502, "", false},
		"part of a length":                        {"/x", plain + "Content-Length: 5\r\n\r\npart", resetConnection, 502, "", false},
		"part of the chunks":                      {"/x", plain + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", resetConnection, 502, "", false},
		"chunks without their end":                {"/x", plain + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n", resetConnection, 502, "", false},
		"part without a length, upload read":      {"/x", plain + "\r\npart", readAndReset, 502, "", false},
		"stream without a length, upload read":    {"/stream/", events, readAndReset, 200, "id: 1\ndata: x\n\n", true},
		"stream without a length":                 {"/stream/", events, resetConnection, 200, "id: 1\ndata: x\n\n", true},
		"stream without a length or event":        {"/stream/", plain + "Content-Type: text/event-stream\r\n\r\n", resetConnection, 0, "", true},
		"refusal without a length":                {"/x", "HTTP/1.1 503 Full\r\n" + brokenFields + "Not-Executed: 1\r\n\r\npart", resetConnection, 503, "", false},
		"refusal of the request without a length": {"/x", "HTTP/1.1 400 Bad\r\n" + brokenFields + "Not-Executed: 1\r\n\r\npart", resetConnection, 503, "", false},
		"whole length":                            {"/x", plain + "Content-Length: 5\r\n\r\nwhole", resetConnection, 200, "whole", false},
		"whole chunks":                            {"/x", plain + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", resetConnection, 200, "whole", false},
		"refusal with a length":                   {"/x", "HTTP/1.1 503 Full\r\n" + brokenFields + "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull", resetConnection, 503, "", false},
		"whole without a length, upload read":     {"/x", plain + "\r\nwhole", readOn, 200, "whole", false},
		"whole stream, upload read":               {"/stream/", events, readOn, 200, "id: 1\ndata: x\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := startServer(t, serveEarly(t, tc.text, tc.end))
			s.config.MaxBodyBytes = 2 * longUploadBytes
			front := httptest.NewServer(s)
			t.Cleanup(front.Close)
			a := ask(t, front.URL, tc.path, "broken", strings.Repeat("x", longUploadBytes))
			if isCut := a.err != nil; a.status != tc.wantStatus && tc.wantStatus != 0 || isCut != tc.wantCut {
				t.Errorf("answer %d %q, error %v; want status %d, cut off: %t", a.status, a.body, a.err, tc.wantStatus, tc.wantCut)
			}
			isOwn := strings.HasPrefix(a.body, `{"error":`) && a.header.Get("Replica-Stamp") == ""
			if wantOwn := tc.wantStatus >= 500; isOwn != wantOwn || !wantOwn && a.body != tc.wantBody {
				t.Errorf("answer %d %q, stamp %q, want %q, the host's own: %t", a.status, a.body, a.header.Get("Replica-Stamp"), tc.wantBody, wantOwn)
			}
		})
	}
}
