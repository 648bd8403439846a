package caller

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"siskinstand.example/coord/responsehead/headtest"
)

// askInChunks sends a request whose body has no length.
func askInChunks(t *testing.T, url, method, path string, body []byte) answer {
	t.Helper()
	var reader io.Reader
	if body != nil {
		reader = io.MultiReader(bytes.NewReader(body)) // hides the length from net/http
	}
	req, err := http.NewRequestWithContext(t.Context(), method, url+path, reader)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", "broken")
	req.Header.Set("Deadline-Ms", "10000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data), err, 0}
}

// Guards against the two reported faults in forms beside a plain upload: a part of an answer that a
// replica sends before it resets the connection of a long upload, and an answer with the status
// 000. Callers must get neither as an answer.
func TestReportedBrokenAnswers(t *testing.T) {
	const (
		part        = "HTTP/1.1 200 OK\r\n" + brokenFields + "\r\npart"
		zero        = "HTTP/1.1 000 Zero\r\n" + brokenFields + "Content-Length: 5\r\n\r\nwhole"
		streamField = "Content-Type: text/event-stream\r\n"
		zeroStream  = "HTTP/1.1 000 Zero\r\n" + brokenFields + streamField + "\r\nid: 1\ndata: x\n\n"
	)
	upload := bytes.Repeat([]byte("x"), headtest.LongUploadBytes)
	tests := map[string]struct {
		method, path, text string
		body               []byte
	}{
		"part, chunked upload":              {http.MethodPost, "/x", part, upload},
		"part, chunked upload, resumable":   {http.MethodPost, "/resumable/", part, upload},
		"status 000, chunked upload":        {http.MethodPost, "/x", zero, upload},
		"status 000, HEAD":                  {http.MethodHead, "/x", zero, nil},
		"status 000, stream":                {http.MethodPost, "/stream/", zeroStream, []byte("prompt")},
		"status 000, resumable stream":      {http.MethodPost, "/resumable/", zeroStream, []byte("prompt")},
		"status 000, stream, long upload":   {http.MethodPost, "/stream/", zeroStream, upload},
		"part of a length, chunked upload":  {http.MethodPost, "/x", "HTTP/1.1 200 OK\r\n" + brokenFields + "Content-Length: 9\r\n\r\npart", upload},
		"head only of a stream, and reset":  {http.MethodPost, "/resumable/", "HTTP/1.1 200 OK\r\n" + brokenFields, upload},
		"interim, then 000, chunked upload": {http.MethodPost, "/x", "HTTP/1.1 103 Early Hints\r\n\r\n" + zero, upload},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := startServer(t, headtest.ServeEarly(t, tc.text, headtest.Reset))
			s.config.MaxBodyBytes, s.config.BodyTimeout = 2*headtest.LongUploadBytes, time.Minute
			front := httptest.NewServer(s)
			t.Cleanup(front.Close)
			a := askInChunks(t, front.URL, tc.method, tc.path, tc.body)
			if a.err != nil || a.status != http.StatusBadGateway || a.header.Get("Replica-Stamp") != "" {
				t.Errorf("answer %d %q, stamp %q, error %v; want the host's own 502", a.status, a.body, a.header.Get("Replica-Stamp"), a.err)
			}
		})
	}
}

// Guards against the same on a connection to the replica that has carried an answer before.
func TestReportedBrokenAnswerOnKeptConnection(t *testing.T) {
	upload := bytes.Repeat([]byte("x"), headtest.LongUploadBytes)
	served := make(chan bool, 4)
	address := headtest.Listen(t, func(c net.Conn) {
		var head [4096]byte
		if _, err := c.Read(head[:]); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: first\r\nReplica-Stamp: s\r\nContent-Length: 5\r\n\r\nwhole")
		if _, err := c.Read(head[:]); err != nil {
			return
		}
		served <- true
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+brokenFields+"\r\npart")
		time.Sleep(20 * time.Millisecond) // the reset would discard what is still in transit
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	s, _ := startServer(t, address)
	s.config.MaxBodyBytes, s.config.BodyTimeout = 2*headtest.LongUploadBytes, time.Minute
	front := httptest.NewServer(s)
	t.Cleanup(front.Close)
	if a := ask(t, front.URL, "/resumable/", "first", "x"); a.body != "whole" {
		t.Fatalf("answer %d %q, %v before the broken one", a.status, a.body, a.err)
	}
	a := askInChunks(t, front.URL, http.MethodPost, "/x", upload)
	checkOwnFailure(t, a)
	select {
	case <-served:
	default:
		t.Error("the broken answer was not sent on the kept connection")
	}
}
