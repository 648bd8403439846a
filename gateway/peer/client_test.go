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

// The ways in which a partition treats new connections.
const (
	refuse int32 = iota
	swallow
	serve
)

// partitioned is a listener behind a partition.
type partitioned struct {
	net.Listener
	mode atomic.Int32
}

func (p *partitioned) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err != nil || p.mode.Load() == serve {
			return conn, err
		}
		if p.mode.Load() == refuse {
			conn.Close()
			continue
		}
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
}

// Guards against a gateway that stays behind after a partition: first the peer
// refuses connections, then it swallows what is sent on one that stays open.
func TestReconnect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &partitioned{Listener: listener}
	server := grpc.NewServer()
	New(Config{ID: "p", InForce: config.NewActive(nil)}).Register(server)
	go func() { _ = server.Serve(p) }()
	defer server.Stop()
	n := New(Config{ID: "n", InForce: config.NewActive(nil), DialOptions: plain})
	defer n.clients.keep(nil)
	to := gossip.Peer{ID: "p", Address: listener.Addr().String()}
	for _, mode := range []int32{refuse, swallow} {
		p.mode.Store(mode)
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if n.exchange(t.Context(), to) == nil {
				t.Fatal("exchange through a partition")
			}
		}
	}
	p.mode.Store(serve)
	for began := time.Now(); n.exchange(t.Context(), to) != nil; time.Sleep(100 * time.Millisecond) {
		if time.Since(began) > 4*time.Second {
			t.Fatal("no exchange 4 s after the peer answers again")
		}
	}
}
