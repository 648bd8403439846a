package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinstand.example/coord/gossip"
	"siskinstand.example/peerpb"
)

// clientPool holds one connection per known gateway.
type clientPool struct {
	options []grpc.DialOption
	mu      sync.Mutex
	conns   map[string]*clientConn
}

type clientConn struct {
	*grpc.ClientConn
	// answered counts the calls that were answered.
	answered atomic.Int64
}

// connectParams limits the backoff between connection attempts. With gRPC's
// default of up to 120 s, a gateway would lack configuration changes for that
// long after the end of a network partition.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

func newClientPool(options []grpc.DialOption) *clientPool {
	options = append([]grpc.DialOption{grpc.WithConnectParams(connectParams)}, options...)
	return &clientPool{options: options, conns: map[string]*clientConn{}}
}

// call makes a call to an address. It closes the connection if the call runs into the
// timeout and no other call on the connection was answered meanwhile. A connection that a
// network partition has cut silently would otherwise stay in use until the operating
// system times it out, long after the end of the partition.
func (c *clientPool) call(ctx context.Context, address string, timeout time.Duration, call func(context.Context, peerpb.PeerClient) error) error {
	conn, err := c.get(address)
	if err != nil {
		return err
	}
	answered := conn.answered.Load()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = call(callCtx, peerpb.NewPeerClient(conn))
	if err == nil {
		conn.answered.Add(1)
		return nil
	}
	// If the caller's own deadline has passed, the connection may be intact.
	if status.Code(err) == codes.DeadlineExceeded && ctx.Err() == nil && conn.answered.Load() == answered {
		c.close(address, conn)
	}
	return err
}

// close closes a connection unless another one has replaced it.
func (c *clientPool) close(address string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		conn.Close()
		delete(c.conns, address)
	}
}

// get returns the connection to an address, and creates it on first use.
func (c *clientPool) get(address string) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.options...)
	if err != nil {
		return nil, err
	}
	c.conns[address] = &clientConn{ClientConn: conn}
	return c.conns[address], nil
}

// closeExcept closes all connections except those to the given peers.
func (c *clientPool) closeExcept(peers []gossip.Peer) {
	known := map[string]bool{}
	for _, p := range peers {
		known[p.Address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !known[address] {
			conn.Close()
			delete(c.conns, address)
		}
	}
}
