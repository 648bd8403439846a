package peer

import (
	"sync"
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
	conns   map[string]*grpc.ClientConn
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
	return &clientPool{options: options, conns: map[string]*grpc.ClientConn{}}
}

// closeOnTimeout closes the connection to an address if err is an exceeded
// deadline. A connection that a network partition has cut silently would
// otherwise stay in use until the operating system times it out, long after the
// end of the partition.
func (c *clientPool) closeOnTimeout(address string, err error) {
	if status.Code(err) != codes.DeadlineExceeded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		conn.Close()
		delete(c.conns, address)
	}
}

// get returns a client for an address, and creates the connection on first use.
func (c *clientPool) get(address string) (peerpb.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok {
		var err error
		if conn, err = grpc.NewClient("passthrough:///"+address, c.options...); err != nil {
			return nil, err
		}
		c.conns[address] = conn
	}
	return peerpb.NewPeerClient(conn), nil
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
