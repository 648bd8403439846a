package caller

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/responsehead/headtest"
	"siskinstand.example/coord/verdict"
)

// incompleteCounts returns the number of incomplete responses by cause.
func incompleteCounts(scope tally.TestScope) map[string]int64 {
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "incomplete_responses" && c.Value() > 0 {
			counts[c.Tags()["cause"]] = c.Value()
		}
	}
	return counts
}

func checkIncomplete(t *testing.T, scope tally.TestScope, want map[string]int64) {
	t.Helper()
	var got map[string]int64
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = incompleteCounts(scope); cmp.Equal(got, want) {
			return
		}
	}
	t.Errorf("incomplete responses by cause (-want +got):\n%s", cmp.Diff(want, got))
}

// serveOneEvent starts a replica that sends the head of a stream and one event, and ends the
// connection after the given time.
func serveOneEvent(t *testing.T, after time.Duration) string {
	t.Helper()
	return headtest.Listen(t, func(c net.Conn) {
		if _, _, err := headtest.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		fmt.Fprint(c, eventlessHead+"f\r\nid: 1\ndata: x\n\n\r\n")
		time.Sleep(after)
	})
}

// Guards against responses that end early and can't be told apart afterwards: each has its cause
// in the counter.
func TestIncompleteResponses(t *testing.T) {
	const never = 3 * time.Second // longer than each subtest
	tests := map[string]struct {
		path      string
		after     time.Duration
		timeLimit int
		act       func(*Server, net.Conn)
		want      string
	}{
		"replica breaks off":       {"/stream/", 0, 5000, func(*Server, net.Conn) {}, string(verdict.ReasonEngineFailed)},
		"time limit":               {"/stream/", never, 200, func(*Server, net.Conn) {}, string(verdict.ReasonDeadlineExceeded)},
		"end of the shutdown time": {"/stream/", never, 5000, func(s *Server, _ net.Conn) { s.EndRequests() }, string(verdict.ReasonShuttingDown)},
		"caller leaves":            {"/stream/", never, 5000, func(_ *Server, c net.Conn) { c.Close() }, string(causeCallerLeft)},
		"no failure":               {"/", 0, 200, func(*Server, net.Conn) {}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := startServer(t, serveOneEvent(t, tc.after))
			scope := tally.NewTestScope("", nil)
			s.metrics = newMetrics(scope)
			c := dialCallers(t, s)
			time.AfterFunc(100*time.Millisecond, func() { tc.act(s, c.conn) })
			a := c.ask(tc.path, "a1", tc.timeLimit)
			want := map[string]int64{}
			if tc.want != "" {
				want[tc.want] = 1
			}
			if isCut := a.err != nil; isCut != (tc.want != "") {
				t.Errorf("answer %d %q, error %v; cut off: %t", a.status, a.body, a.err, isCut)
			}
			checkIncomplete(t, scope, want)
		})
	}
}
