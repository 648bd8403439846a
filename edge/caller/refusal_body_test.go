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

	"siskinstand.example/coord/responsehead/headtest"
)

// serveRefusals refuses each request with the given rest of a response, and then repeats the
// filler, if there is one, at an interval.
func serveRefusals(t *testing.T, rest, filler string, interval time.Duration) string {
	t.Helper()
	return headtest.Listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		q, _, err := headtest.ReadRequest(r)
		if err != nil {
			return // a probe
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n%s", q.Header.Get("Attempt-Id"), rest)
		for err == nil && filler != "" {
			time.Sleep(interval)
			_, err = io.WriteString(c, filler)
		}
		_, _ = r.ReadByte() // the host closes the connection
	})
}

// Guards against a refusal whose text does not end: the head alone says that the request was not
// run, so that another replica or the caller must not wait for the rest until the time limit.
func TestRefusalWithoutEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		rest, filler string
		interval     time.Duration
	}{
		"part of a length":   {"Content-Length: 100\r\n\r\npart", "", 0},
		"part of the chunks": {"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "", 0},
		"no length":          {"\r\npart", "", 0},
		"slow text":          {"\r\npart", "x", 20 * time.Millisecond},
		"slow chunks":        {"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 20 * time.Millisecond},
		"endless text":       {"\r\n", strings.Repeat("x", 16<<10), 0},
		"endless chunk size": {"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 16<<10), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := startServer(t, serveRefusals(t, tc.rest, tc.filler, tc.interval))
			front := httptest.NewServer(s)
			t.Cleanup(front.Close)
			a := ask(t, front.URL, "/x", "a1", "body")
			if a.err != nil || a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, `"not_run"`) {
				t.Errorf("answer %d %q, error %v; want 503 not_run", a.status, a.body, a.err)
			}
			if a.took > maxBrokenAnswerTime {
				t.Errorf("answered after %v, want at most %v", a.took, maxBrokenAnswerTime)
			}
		})
	}
}
