package caller

import (
	"net/http"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
)

// Guards against a fault of this program that closes the connection of a caller without an answer.
func TestPanicGetsStatus(t *testing.T) {
	s, _ := startServer(t, serveOneEvent(t, 0))
	scope := tally.NewTestScope("", nil)
	s.metrics = newMetrics(scope)
	s.config.Pool = nil
	a := dialCallers(t, s).ask("/", "a1", 1000)
	if a.err != nil || a.status != http.StatusBadGateway || !strings.Contains(a.body, `"code":"internal"`) {
		t.Errorf("answer %d %q, error %v; want the host's own 502", a.status, a.body, a.err)
	}
	checkIncomplete(t, scope, map[string]int64{})
}
