package replica

import (
	"bufio"
	"net"
	"testing"
	"time"

	"siskinstand.example/service/bootclock"
)

func TestIdleHint(t *testing.T) {
	// Guards against a hint that does not follow the pool, and against a control goroutine that
	// waits for a request goroutine that holds the pool's lock.
	s := serveRaw(t, func(s *rawServer, c net.Conn, r *bufio.Reader) {
		for {
			id, ok := s.readRequest(r)
			if !ok {
				return
			}
			if _, err := c.Write([]byte(responseText(id, "x"))); err != nil {
				return
			}
		}
	})
	p := testPool(t)
	check := func(when string, want bool) {
		t.Helper()
		p.mu.Lock()
		defer p.mu.Unlock()
		if got := p.IdleUntil(s.address).Load() > int64(bootclock.Now()); got != want {
			t.Errorf("%s: connected = %v, want %v", when, got, want)
		}
	}
	check("before the first request", false)
	sendAndRead(t, p, s.address, "a")
	check("after a request", true)
	if c := p.takeIdleLocked(Request{Address: s.address, AttemptID: "b"}); c == nil {
		t.Fatal("no idle connection")
	} else {
		check("while the connection is used", false)
		p.putIdle(c, 500*time.Millisecond) // shorter than the margin: the connection is closed
	}
	check("after the connection was closed", false)
}

// takeIdleLocked calls takeIdle with the lock.
func (p *Pool) takeIdleLocked(r Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeIdle(p.at(r.Address), r, bootclock.Now())
}
