package replica

import (
	"net"
	"testing"
	"time"

	"siskinstand.example/coord/connfault"
)

// opaqueConn is a connection of which the system does not tell whether it is open.
type opaqueConn struct{ net.Conn }

// hideState makes the system tell nothing about the connections to a replica.
func hideState(p *Pool, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.replicas[address].active {
		c.Conn = opaqueConn{c.Conn}
	}
}

// Guards against a replica at its limit that counts as dead where the state of the other connections
// can't be read, and against a dead one that counts as alive there.
func TestEvidenceWithoutConnectionState(t *testing.T) {
	s := serveLimited(t, 1, closePort, stream(time.Minute, 0, 1))
	p := testPool(t)
	resp, err := send(p, s.address, "a1", "")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	hideState(p, s.address)
	checkState(t, p.Probe(t.Context(), s.address), connfault.AtLimit)
	s.end()
	ended := time.Now()
	if _, err := resp.Read(make([]byte, 1)); err == nil {
		t.Error("the response goes on")
	}
	resp.Close()
	checkState(t, p.Probe(t.Context(), s.address), connfault.Unreachable)
	if d := time.Since(ended); d > 100*time.Millisecond {
		t.Errorf("found after %s, want at most 100ms", d)
	}
}
