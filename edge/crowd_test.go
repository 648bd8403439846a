package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"siskinstand.example/fakes/platform"
)

// The limits of the host under test. The bounds of the tests are the same figures: the process
// must stay within the memory and the descriptors of its host.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 256
	crowdBodyLimit   = 1 << 20
	crowdAnswerBytes = 900 << 10
	// crowdTime is how long a crowd sends before the ordinary request.
	crowdTime = 1500 * time.Millisecond
)

// crowdSite is a fake store, replicas that keep no request, and one siskin-edge process that is
// built without the race detector, which multiplies the memory in use.
type crowdSite struct {
	t     *testing.T
	store *platform.Store
	edge  *edgeProcess
}

// edgeProgram is the path of siskin-edge, built once for all tests. TestMain removes it.
var edgeProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "siskin-edge-test-")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "siskin-edge")
	if output, err := exec.Command("go", "build", "-race=false", "-o", program, ".").CombinedOutput(); err != nil {
		return program, fmt.Errorf("build of siskin-edge: %w\n%s", err, output)
	}
	return program, nil
})

// edgeProgramUsed is set once edgeProgram has been called.
var edgeProgramUsed bool

func buildEdge(t *testing.T) string {
	t.Helper()
	edgeProgramUsed = true
	program, err := edgeProgram()
	if err != nil {
		t.Fatal(err)
	}
	return program
}

func removeEdgeProgram() {
	if edgeProgramUsed {
		program, _ := edgeProgram()
		_ = os.RemoveAll(filepath.Dir(program)) // best effort
	}
}

func newCrowdSite(t *testing.T, program string, memoryMB, bodyLimit int) *crowdSite {
	t.Helper()
	store := platform.NewStore()
	t.Cleanup(store.Close)
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	configuration := platform.Configuration(1, 5*time.Second, []platform.Account{{Name: "t1", Keys: []string{platform.SampleAPIKey}}})
	configuration["limits"] = map[string]any{"max_body_bytes": bodyLimit, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	store.Put(platform.ConfigKey, configuration)
	for id, service := range map[string]string{"i-app": platform.PlainService, "i-llm": platform.ModelService} {
		replica := httptest.NewServer(http.HandlerFunc(serveCrowd))
		t.Cleanup(replica.CloseClientConnections)
		store.Put(platform.ReplicaPrefix+id, map[string]any{
			"backend": service, "address": replica.Listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 100,
			"state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1700000000000,
		})
	}
	dir := t.TempDir()
	e := &edgeProcess{
		t: t, name: "edge-1", program: program, callerAddress: freeAddress(t), readyAddress: freeAddress(t),
		settingsPath: filepath.Join(dir, "edge.ini"), logPath: filepath.Join(dir, "edge.log"),
	}
	text := fmt.Sprintf("[process]\nid=edge-1\nzone=z1\nzones=z1=r1\nmemory_mb=%d\ndescriptors=%d\n[callers]\naddress=%s\nready_address=%s\n[store]\naddress=%s\n[peers]\naddress=%s\n",
		memoryMB, crowdDescriptors, e.callerAddress, e.readyAddress, strings.TrimPrefix(server.URL, "http://"), freeAddress(t))
	if err := os.WriteFile(e.settingsPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	e.start()
	t.Cleanup(e.kill)
	eventually(t, "the entry host is ready", e.isReady)
	s := &crowdSite{t: t, store: store, edge: e}
	eventually(t, "an ordinary request is served", s.isServed)
	return s
}

// serveCrowd is the handler of the replicas: a path that ends with /large gets a large answer,
// or a stream that only ends when it is closed.
func serveCrowd(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // fails only if the entry host closes the connection
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Replica-Stamp", "s")
	isLarge := strings.HasSuffix(r.URL.Path, "/large")
	if !strings.HasPrefix(r.URL.Path, "/streaming/") {
		if isLarge {
			_, _ = w.Write(make([]byte, crowdAnswerBytes))
		} else {
			fmt.Fprint(w, "answer")
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 0; isLarge && r.Context().Err() == nil; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, crowdFiller[:4000])
	}
}

func (s *crowdSite) isServed() bool {
	reply := platform.SendOnNewConnection(s.t.Context(), s.edge.callerAddress, platform.PlainCall("idempotent"))
	return reply.Err == nil && reply.Status == http.StatusOK && reply.Body == "answer"
}

// peakMemoryMB returns the largest memory that the process has had resident.
func (s *crowdSite) peakMemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.edge.cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest + " none")[0])
	if err != nil {
		s.t.Fatalf("the process has ended: %v\n%s", err, s.edge.logTail())
	}
	return kilobytes >> 10
}

func (s *crowdSite) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.edge.cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	return len(entries)
}

// crowdDialer opens connections with small receive buffers, so that the kernel does not hold a
// large answer that the client does not read.
var crowdDialer = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
}}

// crowdConn is one connection of a client in a crowd.
type crowdConn struct{ net.Conn }

// crowdFiller is the text from which bodies are made.
var crowdFiller = bytes.Repeat([]byte("x"), 64<<10)

// head sends the header of a request.
func (c crowdConn) head(host, path, fields string) {
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nAttempt-Id: %p\r\nDeadline-Ms: 60000\r\nToken-Counts: 5000,100\r\n%s\r\n", path, host, platform.SampleAPIKey, c.Conn, fields)
}

func (c crowdConn) plainHead(fields string) { c.head(platform.PlainHost, "/idempotent/x", fields) }

// repeat writes a text until the given number of bytes is sent or the connection is closed.
func (c crowdConn) repeat(text []byte, total int, pause time.Duration) {
	for sent := 0; sent < total; {
		n, err := c.Write(text[:min(len(text), total-sent)])
		if err != nil {
			return
		}
		sent += n
		time.Sleep(pause)
	}
}

// hold keeps the connection open until the other side closes it, and reads its answers.
func (c crowdConn) hold() { _, _ = io.Copy(io.Discard, c) }

// holdUnread keeps the connection open and reads nothing, until the other side resets it or the
// crowd ends.
func (c crowdConn) holdUnread() {
	for {
		time.Sleep(20 * time.Millisecond)
		if _, err := c.Write([]byte("\r\n")); err != nil {
			return
		}
	}
}

// readSlowly reads 20 KB/s until the other side closes the connection.
func (c crowdConn) readSlowly() {
	buffer := make([]byte, 1024)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c crowdConn) chunks(size, count int) {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, crowdFiller[:size])
	batch := bytes.Repeat(chunk, max(1, 32<<10/len(chunk)))
	c.repeat(batch, count*len(chunk), 0)
}

const chunked = "Transfer-Encoding: chunked\r\n"

func lengthField(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// crowds are the load patterns. Each client repeats its part on a new connection whenever the
// host has closed the last one.
var crowds = map[string]struct {
	clients int
	send    func(c crowdConn)
}{
	"bodies one byte short of their length": {120, func(c crowdConn) {
		c.plainHead(lengthField(crowdBodyLimit))
		c.repeat(crowdFiller, crowdBodyLimit-1, 0)
		c.hold()
	}},
	"bodies in pieces, one byte short": {120, func(c crowdConn) {
		c.plainHead(lengthField(crowdBodyLimit))
		c.repeat(crowdFiller[:16<<10], crowdBodyLimit-1, 5*time.Millisecond)
		c.hold()
	}},
	"whole bodies": {120, func(c crowdConn) {
		c.plainHead(lengthField(crowdBodyLimit))
		c.repeat(crowdFiller, crowdBodyLimit, 0)
		c.hold()
	}},
	"bodies short on persistent connections": {120, func(c crowdConn) {
		c.plainHead(lengthField(5))
		c.repeat(crowdFiller, 5, 0)
		time.Sleep(50 * time.Millisecond)
		c.plainHead(lengthField(crowdBodyLimit))
		c.repeat(crowdFiller, crowdBodyLimit-1, 0)
		c.hold()
	}},
	"three large chunks without an end": {120, func(c crowdConn) {
		c.plainHead(chunked)
		c.chunks(60<<10, 3*5)
		c.hold()
	}},
	"chunks of one byte without an end": {120, func(c crowdConn) {
		c.plainHead(chunked)
		c.chunks(1, 100_000)
		c.hold()
	}},
	"bodies over the limit, announced": {120, func(c crowdConn) {
		c.plainHead(lengthField(40 << 20))
		c.repeat(crowdFiller, 40<<20, 0)
		c.hold()
	}},
	"bodies over the limit in chunks": {120, func(c crowdConn) {
		c.plainHead(chunked)
		c.chunks(60<<10, 40<<20/(60<<10))
		c.hold()
	}},
	"long chunk extensions": {120, func(c crowdConn) {
		c.plainHead(chunked)
		c.repeat(fmt.Appendf(nil, "1;%s\r\nx\r\n", crowdFiller[:3000]), 4<<20, 0)
		c.hold()
	}},
	"long trailers": {120, func(c crowdConn) {
		c.plainHead(chunked)
		c.chunks(60<<10, 10)
		_, _ = io.WriteString(c, "0\r\n")
		c.repeat(fmt.Appendf(nil, "T: %s\r\n", crowdFiller[:1000]), 4<<20, 0)
		c.hold()
	}},
	"connections without a header": {400, crowdConn.hold},
	"half a header": {400, func(c crowdConn) {
		c.head(platform.PlainHost, "/idempotent/x", fmt.Sprintf("X: %s", crowdFiller[:15<<10]))
		c.hold()
	}},
	"large answers, none read": {240, func(c crowdConn) {
		c.head(platform.PlainHost, "/idempotent/large", lengthField(0))
		c.holdUnread()
	}},
	"large answers, read slowly": {240, func(c crowdConn) {
		c.head(platform.PlainHost, "/idempotent/large", lengthField(0))
		c.readSlowly()
	}},
	"pipelined requests, no answer read": {120, func(c crowdConn) {
		for range 20 {
			c.head(platform.PlainHost, "/idempotent/large", lengthField(0))
		}
		c.holdUnread()
	}},
	"streams, none read": {60, func(c crowdConn) {
		c.head(platform.StreamHost, "/streaming/large", lengthField(0))
		c.holdUnread()
	}},
	"streams, read slowly": {60, func(c crowdConn) {
		c.head(platform.StreamHost, "/streaming/large", lengthField(0))
		c.readSlowly()
	}},
}

// run lets a crowd send until stop is closed.
func (s *crowdSite) run(clients int, send func(crowdConn), stop chan struct{}) *sync.WaitGroup {
	var g sync.WaitGroup
	for range clients {
		g.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				n, err := crowdDialer.Dial("tcp4", s.edge.callerAddress)
				if err != nil {
					continue
				}
				ended := make(chan struct{})
				go func() {
					select {
					case <-stop:
					case <-ended:
					}
					n.Close()
				}()
				send(crowdConn{n})
				close(ended)
			}
		})
	}
	return &g
}

// Guards against crowds of clients that make the process exceed the memory or the descriptors of
// its host, or keep it from answering others.
func TestCrowds(t *testing.T) {
	program := buildEdge(t)
	for name, crowd := range crowds {
		t.Run(name, func(t *testing.T) {
			s := newCrowdSite(t, program, crowdMemoryMB, crowdBodyLimit)
			stop := make(chan struct{})
			g := s.run(crowd.clients, crowd.send, stop)
			descriptors := 0
			for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				descriptors = max(descriptors, s.descriptors())
			}
			served := holdsWithin5s(s.isServed)
			close(stop)
			g.Wait()
			peak := s.peakMemoryMB()
			t.Logf("peak memory %d MB, %d descriptors, ordinary request served: %t", peak, descriptors, served)
			if peak > crowdMemoryMB || descriptors > crowdDescriptors || !served {
				t.Errorf("peak memory %d MB (at most %d), %d descriptors (at most %d), ordinary request served: %t", peak, crowdMemoryMB, descriptors, crowdDescriptors, served)
			}
		})
	}
}
