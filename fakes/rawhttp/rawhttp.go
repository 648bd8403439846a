// Package rawhttp sends valid and malformed HTTP requests as raw bytes over TCP, to
// test how an HTTP listener responds to them.
package rawhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Case is a request on a new connection, which the client side keeps open, and the
// expected response.
type Case struct {
	Name string
	// Send is written immediately. Drip is then written repeatedly, once every
	// DripInterval, until the connection ends.
	Send         string
	Drip         string
	DripInterval time.Duration
	// HalfClose closes the client's write side after Send.
	HalfClose bool
	// WantStatus is the expected status, TimeLimit the time limit for the response.
	WantStatus int
	TimeLimit  time.Duration
	// KeepsConnection is set if the listener may keep the connection open after the
	// response. Otherwise it must close the connection.
	KeepsConnection bool
}

// rejectionTimeLimit is the time limit for the response to bytes that are
// recognizably malformed.
const rejectionTimeLimit = time.Second

// Target describes a listener and a valid request, from which the cases are
// derived.
type Target struct {
	Host, Path string
	// Headers holds the header lines of every valid request, each ending in CR LF.
	Headers string
	// StallTimeout is the listener's time limit for headers and for bodies.
	StallTimeout time.Duration
	// MaxHeaderBytes is the maximum header size that the listener accepts.
	MaxHeaderBytes int
	// Body is the body of the valid request, WantStatus the status of its response.
	Body       string
	WantStatus int
}

func (t Target) request(requestLine, extraHeaders, body string) string {
	return fmt.Sprintf("%s\r\nHost: %s\r\n%s%s\r\n%s", requestLine, t.Host, t.Headers, extraHeaders, body)
}

// Cases returns a valid request and malformed or stalled ones, with the response
// that each of them must get.
func (t Target) Cases() []Case {
	line := "POST " + t.Path + " HTTP/1.1"
	stalled := t.StallTimeout + rejectionTimeLimit
	cases := []Case{
		{Name: "valid request", Send: t.request(line, fmt.Sprintf("Content-Length: %d\r\n", len(t.Body)), t.Body), WantStatus: t.WantStatus, TimeLimit: 5 * time.Second, KeepsConnection: true},
		{Name: "TLS hello", Send: "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03abc"},
		{Name: "binary bytes", Send: "\x00\x01\x02\x03\xff\xfe"},
		{Name: "bytes above ASCII", Send: "\xd0\x9f\xd1\x80\xd0\xb8"},
		{Name: "control byte in the method", Send: "PO\x01ST / HTTP/1.1\r\n"},
		{Name: "endless method", Send: strings.Repeat("A", 4096)},
		{Name: "text with a line end", Send: "hello there\n"},
		{Name: "JSON without HTTP", Send: `{"model":"m"}`},
		{Name: "word without an end", Send: "hello", WantStatus: http.StatusRequestTimeout, TimeLimit: stalled},
		{Name: "request line without an end", Send: "GET /", WantStatus: http.StatusRequestTimeout, TimeLimit: stalled},
		{Name: "header without an end", Send: line + "\r\nHost: " + t.Host + "\r\nX-A: b", WantStatus: http.StatusRequestTimeout, TimeLimit: stalled},
		{Name: "slow header", Send: line + "\r\nX-A: ", Drip: "b", DripInterval: t.StallTimeout / 8, WantStatus: http.StatusRequestTimeout, TimeLimit: stalled},
		{Name: "blank lines", Send: "\r\n\r\n\r\n"},
		{Name: "no version", Send: "GET /\r\n\r\n"},
		{Name: "version 9.9", Send: t.request("GET "+t.Path+" HTTP/9.9", "", ""), WantStatus: http.StatusHTTPVersionNotSupported},
		{Name: "bad escape in the path", Send: t.request("GET /%zz HTTP/1.1", "", "")},
		{Name: "space in the path", Send: t.request("GET /a b HTTP/1.1", "", "")},
		{Name: "no host", Send: "GET " + t.Path + " HTTP/1.1\r\n\r\n"},
		{Name: "two hosts", Send: t.request(line, "Host: other\r\n", "")},
		{Name: "header without a colon", Send: t.request(line, "nonsense\r\n", "")},
		{Name: "space before a colon", Send: t.request(line, "X-A : b\r\n", "")},
		{Name: "NUL in a header", Send: t.request(line, "X-A: b\x00c\r\n", "")},
		{Name: "two lengths", Send: t.request(line, "Content-Length: 2\r\nContent-Length: 3\r\n", "{}")},
		{Name: "length below zero", Send: t.request(line, "Content-Length: -1\r\n", "")},
		{Name: "length beyond any number", Send: t.request(line, "Content-Length: 99999999999999999999\r\n", "")},
		{Name: "length that is no number", Send: t.request(line, "Content-Length: two\r\n", "")},
		{Name: "unknown transfer coding", Send: t.request(line, "Transfer-Encoding: brotli\r\n", ""), WantStatus: http.StatusNotImplemented},
		{Name: "bad size of a chunk", Send: t.request(line, "Transfer-Encoding: chunked\r\n", "zz\r\n{}\r\n")},
		{Name: "body that ends early", Send: t.request(line, "Content-Length: 20\r\n", "{}"), HalfClose: true},
		{Name: "body that stalls", Send: t.request(line, "Content-Length: 20\r\n", "{}"), WantStatus: http.StatusRequestTimeout, TimeLimit: stalled},
		{Name: "chunks that stall", Send: t.request(line, "Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n"), WantStatus: http.StatusRequestTimeout, TimeLimit: stalled},
		{Name: "unknown expectation", Send: t.request(line, "Expect: gold\r\nContent-Length: 2\r\n", "{}"), WantStatus: http.StatusExpectationFailed},
		{Name: "over-long header", Send: t.request(line, "X-A: "+strings.Repeat("a", t.MaxHeaderBytes+8192)+"\r\n", ""), WantStatus: http.StatusRequestHeaderFieldsTooLarge},
		{Name: "over-long path", Send: t.request("POST /"+strings.Repeat("a", t.MaxHeaderBytes+8192)+" HTTP/1.1", "", ""), WantStatus: http.StatusRequestHeaderFieldsTooLarge},
		{Name: "header of several MB", Send: t.request(line, "X-A: "+strings.Repeat("a", 6<<20)+"\r\n", ""), WantStatus: http.StatusRequestHeaderFieldsTooLarge},
		{Name: "many headers", Send: t.request(line, strings.Repeat("X-A: b\r\n", t.MaxHeaderBytes/8+2048), ""), WantStatus: http.StatusRequestHeaderFieldsTooLarge},
	}
	for i := range cases {
		if cases[i].WantStatus == 0 {
			cases[i].WantStatus = http.StatusBadRequest
		}
		if cases[i].TimeLimit == 0 {
			cases[i].TimeLimit = rejectionTimeLimit
		}
	}
	return cases
}

// connectionEndTimeout is the time after a case's TimeLimit within which the
// listener must close the connection, unless the case sets KeepsConnection.
const connectionEndTimeout = 2 * time.Second

// Run sends a case to an address and returns an error if the response is not the
// expected one, or if the connection stays open although the case does not set
// KeepsConnection.
func Run(address string, c Case) error {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	start := time.Now()
	if err := conn.SetDeadline(start.Add(c.TimeLimit + connectionEndTimeout)); err != nil {
		return err
	}
	written := make(chan error, 1)
	go func() { written <- c.write(conn) }()
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return fmt.Errorf("no response after %v: %w", time.Since(start).Round(time.Millisecond), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	took := time.Since(start)
	switch {
	case err != nil:
		return fmt.Errorf("response %d with an incomplete body: %w", resp.StatusCode, err)
	case resp.StatusCode != c.WantStatus:
		return fmt.Errorf("response %d %q, want %d", resp.StatusCode, body, c.WantStatus)
	case took > c.TimeLimit:
		return fmt.Errorf("response after %v, want at most %v", took, c.TimeLimit)
	case c.KeepsConnection:
		return nil
	}
	if rest, err := io.ReadAll(reader); err != nil {
		return fmt.Errorf("got %q and then %w after the response, want the connection closed", rest, err)
	}
	return nil
}

func (c Case) write(conn net.Conn) error {
	if _, err := io.WriteString(conn, c.Send); err != nil {
		return err
	}
	if c.HalfClose {
		return conn.(*net.TCPConn).CloseWrite()
	}
	if c.Drip == "" {
		return nil
	}
	for {
		time.Sleep(c.DripInterval)
		if _, err := io.WriteString(conn, c.Drip); err != nil {
			return err
		}
	}
}
