package peer

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/gossip"
)

// Handling of new connections by a partitionedListener.
const (
	refuseConnections int32 = iota
	discardData
	serveConnections
)

// partitionedListener simulates a listener behind a network partition.
type partitionedListener struct {
	net.Listener
	mode atomic.Int32
}

func (p *partitionedListener) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err != nil || p.mode.Load() == serveConnections {
			return conn, err
		}
		if p.mode.Load() == refuseConnections {
			conn.Close()
			continue
		}
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
}

// Guards against a gateway that does not resume exchanges after a network
// partition, in which the peer first refuses connections and then accepts them
// but discards what it receives.
func TestReconnect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &partitionedListener{Listener: listener}
	server := grpc.NewServer()
	New(Config{ID: "p", ActiveConfig: config.NewActive(nil)}).Register(server)
	go func() { _ = server.Serve(p) }()
	defer server.Stop()
	n := New(Config{ID: "n", ActiveConfig: config.NewActive(nil), DialOptions: insecureDial})
	defer n.clients.closeExcept(nil)
	to := gossip.Peer{ID: "p", Address: listener.Addr().String()}
	for _, mode := range []int32{refuseConnections, discardData} {
		p.mode.Store(mode)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if n.exchange(t.Context(), to) == nil {
				t.Fatal("exchange succeeded through a partition")
			}
		}
	}
	p.mode.Store(serveConnections)
	for began := time.Now(); n.exchange(t.Context(), to) != nil; time.Sleep(100 * time.Millisecond) {
		if time.Since(began) > 4*time.Second {
			t.Fatal("no exchange 4 s after the end of the partition")
		}
	}
}
