package replica

import (
	"io"
	"testing"
	"time"
)

// checkOpen checks how many connections the server has, within 100 ms.
func checkOpen(t *testing.T, s *limitedServer, want int64) {
	t.Helper()
	for end := time.Now().Add(100 * time.Millisecond); s.open.Load() != want && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := s.open.Load(); n != want {
		t.Errorf("%d connections are open, want %d", n, want)
	}
}

// Guards against idle connections to a replica that gets no further requests: they count for its
// limit, so that requests of other hosts wait until it accepts them.
func TestIdleConnectionsOfUnusedReplica(t *testing.T) {
	s := serveLimited(t, 4, resetAccepted, stream(50*time.Millisecond, 0, 1))
	p := testPool(t)
	running, err := send(p, s.address, "a1", "")
	if err != nil {
		t.Fatal(err)
	}
	defer running.Close()
	if got := sendAndRead(t, p, s.address, "a2"); got != "x" {
		t.Fatalf("response %q", got)
	}
	p.RetainIdle(map[string]bool{s.address: true, "other:1": true})
	checkOpen(t, s, 2)
	p.RetainIdle(map[string]bool{"other:1": true})
	checkOpen(t, s, 1)
	if body, err := io.ReadAll(running); err != nil || string(body) != "x" {
		t.Errorf("response %q, %v, want it whole", body, err)
	}
	running.Close()
	checkOpen(t, s, 0)
	p.RetainIdle(map[string]bool{s.address: true})
	sendAndRead(t, p, s.address, "a3")
	checkOpen(t, s, 1)
}
