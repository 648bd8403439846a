package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"siskinstand.example/edge/control"
	"siskinstand.example/platform"
	"siskinstand.example/service/bootclock"
)

// serveOnce answers each request with the text and closes the connection.
func serveOnce(t *testing.T, text string) string {
	t.Helper()
	return serveEach(t, func() string { return text })
}

// serveInTurn answers each request with the next text, or nothing if none is left, and closes the
// connection.
func serveInTurn(t *testing.T, texts <-chan string) string {
	t.Helper()
	return serveEach(t, func() string {
		select {
		case text := <-texts:
			return text
		default:
			return ""
		}
	})
}

// serveEach answers each request with the result of next and closes the connection.
func serveEach(t *testing.T, next func() string) string {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, next()) // the host may have closed the connection
				}
			}()
		}
	}()
	return l.Addr().String()
}

func addReplica(t *testing.T, l *control.Loop, id, address string) {
	t.Helper()
	change := platform.Change{Kind: platform.ChangeReplica, Name: id, Replica: platform.Replica{ID: id, Service: "app", Address: address, Zone: "z1", Slots: 4}}
	if err := l.ApplyChanges(t.Context(), []platform.Change{change}, bootclock.Now()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a caller that gets the events of two runs of a stream. A stream whose events
// have no ID cannot be continued at another replica.
func TestStreamWithoutIDsIsNotContinued(t *testing.T) {
	broken := streamHead[:len(streamHead)-2] + "Content-Length: 100\r\n\r\ndata: first\n\n"
	address := serveOnce(t, broken)
	s, loop := startServer(t, address)
	addReplica(t, loop, "i-2", serveOnce(t, broken))
	front := httptest.NewServer(s)
	t.Cleanup(front.Close)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/resumable/", strings.NewReader("prompt"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", "a1")
	req.Header.Set("Deadline-Ms", "5000")
	client := http.Client{Timeout: 4 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if n := strings.Count(string(body), "first"); n != 1 || err == nil {
		t.Errorf("%d first events, complete %t, want 1 and a broken stream:\n%s", n, err == nil, body)
	}
}
