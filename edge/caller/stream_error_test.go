package caller

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"siskinstand.example/service/http1"
)

// brokenStream is a response that breaks off in its third event.
const brokenStream = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nReplica-Stamp: s\r\nContent-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\nid: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\nda"

// secondAnswer returns a response with a complete body.
func secondAnswer(status, contentType, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nAttempt-Id: a1\r\nReplica-Stamp: s\r\nContent-Type: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, contentType, headers, len(body), body)
}

// sendRaw sends a request for a resumable stream and returns all bytes received until the
// connection ends, and the error that ended it, other than io.EOF.
func sendRaw(t *testing.T, address, version string) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /resumable/ HTTP/%s\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 6\r\n\r\nprompt", version)
	data, err := io.ReadAll(c)
	return string(data), err
}

// Guards against the text of an error, or its head, in the middle of a stream, and against a
// stream that ends as if it were complete: the first replica breaks off after two events, and
// the second one answers with an error.
func TestErrorAfterBrokenStream(t *testing.T) {
	const event = "event: error\ndata: no memory left\n\n"
	for name, second := range map[string]string{
		"status 500":                        secondAnswer("500 Internal Server Error", "text/plain", "", "no memory left"),
		"status 500, as a stream":           secondAnswer("500 Internal Server Error", "text/event-stream", "", event),
		"status 503":                        secondAnswer("503 Service Unavailable", "text/plain", "Not-Executed: 1\r\n", "no memory left"),
		"status 404":                        secondAnswer("404 Not Found", "text/event-stream", "", event),
		"status 200, not a stream":          secondAnswer("200 OK", "application/json", "", `{"error":"no memory left"}`),
		"status 200, text without an event": secondAnswer("200 OK", "text/event-stream", "", "no memory left"),
		"status 200, event without an ID":   secondAnswer("200 OK", "text/event-stream", "", event),
		"event without an ID, then others":  secondAnswer("200 OK", "text/event-stream", "", event+"id: 3\ndata: three\n\n"),
		"event with an old ID":              secondAnswer("200 OK", "text/event-stream", "", "id: 1\ndata: no memory left\n\n"),
		"head inside the body":              secondAnswer("200 OK", "text/event-stream", "", "HTTP/1.1 500 Internal Server Error\nContent-Type: text/plain\n\nno memory left\n\n"),
		"no response":                       "",
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+", HTTP "+version, func(t *testing.T) {
				answers := make(chan string, 2)
				answers <- brokenStream
				answers <- second
				s, loop := startServer(t, serveInTurn(t, answers))
				addReplica(t, loop, "i-2", serveInTurn(t, answers))
				checkBrokenStream(t, serveCallers(t, s), version)
				if len(answers) > 0 {
					t.Errorf("%d replicas not asked", len(answers))
				}
			})
		}
	}
}

// serveCallers starts the listener for callers and returns its address.
func serveCallers(t *testing.T, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := http1.New(http1.Config{Handler: s, MaxHeaderBytes: 1 << 14, Timeouts: func() http1.Timeouts { return http1.Timeouts{Header: time.Second, Idle: time.Second} }})
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	return l.Addr().String()
}

// checkBrokenStream sends a request and checks that the response has the events of
// brokenStream and no end.
func checkBrokenStream(t *testing.T, address, version string) {
	t.Helper()
	got, err := sendRaw(t, address, version)
	head, body, _ := strings.Cut(got, "\r\n\r\n")
	if strings.Contains(body, "memory") || strings.Contains(body, "HTTP/1") {
		t.Errorf("the error is part of the stream: %q", body)
	}
	if !strings.Contains(body, "data: two") {
		t.Errorf("stream %q, want two events", body)
	}
	isChunked := strings.Contains(head, "chunked")
	if isChunked && strings.HasSuffix(body, "0\r\n\r\n") || !isChunked && err == nil {
		t.Errorf("the stream looks complete after %q", body)
	}
}
