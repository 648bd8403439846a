package faultproxy

import (
	"net"
	"testing"
	"time"
)

// Guards against a soak that can't tell a request which was sent late from one that a replica
// accepted late.
func TestQueueTime(t *testing.T) {
	const wait = 100 * time.Millisecond
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p, err := New(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	p.SetLimit(1, Ignore)
	// peer ends the next connection to the target, once its first byte has come, and returns its
	// address.
	peer := func() string {
		t.Helper()
		target, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer target.Close()
		if _, err := target.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		return target.RemoteAddr().String()
	}
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp4", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		return c
	}
	first := dial()
	if d := p.QueueTime(peer()); d > wait/2 {
		t.Errorf("the first connection waited %s, want none", d)
	}
	dial()
	time.Sleep(wait)
	first.Close()
	if d := p.QueueTime(peer()); d < wait*9/10 || d > 10*wait {
		t.Errorf("the second connection waited %s, want about %s", d, wait)
	}
}
