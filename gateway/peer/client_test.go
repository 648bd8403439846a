package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinstand.example/coord/config"
	"siskinstand.example/coord/gossip"
	"siskinstand.example/peerpb"
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

// sleepingPeer answers a claim after the time that its ID names.
type sleepingPeer struct{ peerpb.UnimplementedPeerServer }

func (sleepingPeer) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	d, err := time.ParseDuration(r.GetClaimId())
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(d):
		return &peerpb.ClaimResponse{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against one slow claim that breaks off all other calls to the same gateway.
func TestTimeoutKeepsWorkingConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, sleepingPeer{})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	pool := newClientPool(insecureDial)
	defer pool.closeExcept(nil)
	address := listener.Addr().String()
	claim := func(duration string, timeout time.Duration) error {
		return pool.call(t.Context(), address, timeout, func(ctx context.Context, c peerpb.PeerClient) error {
			_, err := c.Claim(ctx, &peerpb.ClaimRequest{ClaimId: duration})
			return err
		})
	}
	if err := claim("0s", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	t.Run("other calls are answered", func(t *testing.T) {
		running := make(chan error, 1)
		go func() { running <- claim("600ms", 5*time.Second) }()
		time.AfterFunc(100*time.Millisecond, func() { _ = claim("0s", 5*time.Second) }) // its failure shows below
		if err := claim("1m", 300*time.Millisecond); status.Code(err) != codes.DeadlineExceeded {
			t.Errorf("the slow claim ended with %v, want an exceeded deadline", err)
		}
		if err := <-running; err != nil {
			t.Errorf("another claim on the connection ended with %v", err)
		}
	})
	t.Run("late timeout on a replaced connection", func(t *testing.T) {
		old, err := pool.get(address)
		if err != nil {
			t.Fatal(err)
		}
		pool.close(address, old)
		running := make(chan error, 1)
		go func() { running <- claim("300ms", 5*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		pool.close(address, old)
		if err := <-running; err != nil {
			t.Errorf("a claim on the new connection ended with %v", err)
		}
	})
}
