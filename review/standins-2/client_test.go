package cases

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func get(address, path string) (int, error) {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// channel is a client's channel to a host, which carries one request at a time.
type channel struct {
	net.Conn
	reader *bufio.Reader
	used   int
}

func openChannel(address string) (*channel, error) {
	n, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: n, reader: bufio.NewReader(n)}, nil
}

// request is a client's request.
type request struct {
	method, host, path, id, key string
	headers                     []string
	body                        []byte
	limit                       time.Duration
}

func (r request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.limit.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	for _, h := range r.headers {
		b.WriteString(h + "\r\n")
	}
	if r.body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// answer is what a client got.
type answer struct {
	status  int
	stamp   string
	id      string
	body    []byte
	headers http.Header
	// isWhole is set if the answer ended as the protocol says.
	isWhole bool
	// keep is set if the channel may be used again.
	keep bool
	err  error
}

var errNoAnswer = errors.New("the channel ended without an answer")

// send sends a request and reads the answer, also of a stream.
func (c *channel) send(r request) answer {
	return c.sendBy(r, time.Now().Add(r.limit+2*time.Second))
}

// sendBy is send with a time by which the answer must be there.
func (c *channel) sendBy(r request, end time.Time) answer {
	c.used++
	_ = c.SetDeadline(end)
	if _, err := c.Write(append([]byte(r.head()), r.body...)); err != nil {
		return answer{err: err}
	}
	return c.receive(r.method)
}

func (c *channel) receive(method string) answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: errors.Join(errNoAnswer, err)}
	}
	a := answer{status: resp.StatusCode, stamp: resp.Header.Get("Replica-Stamp"), id: resp.Header.Get("Attempt-Id"), headers: resp.Header}
	var b bytes.Buffer
	_, a.err = io.Copy(&b, resp.Body)
	a.body, a.isWhole = b.Bytes(), a.err == nil
	a.keep = a.isWhole && !resp.Close
	return a
}

// retryAfter returns how long the client waits before its next request.
func (a answer) retryAfter() time.Duration {
	if a.status == 200 {
		return 0
	}
	seconds, err := strconv.ParseFloat(a.headers.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0.2
	}
	return time.Duration(seconds * float64(time.Second))
}

// idSet is a set of ids of requests.
type idSet struct {
	mu    sync.Mutex
	count map[string]int
}

func (s *idSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == nil {
		s.count = map[string]int{}
	}
	s.count[id]++
}

func (s *idSet) has(id string) bool { return s.times(id) > 0 }

// times returns how often an id was added.
func (s *idSet) times(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[id]
}
