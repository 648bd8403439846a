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

// clients keeps one connection for each known gateway.
type clients struct {
	options []grpc.DialOption
	mu      sync.Mutex
	open    map[string]*grpc.ClientConn
}

// reconnect bounds the time between attempts to connect. With the default of up
// to 120 s, gateways would stay behind that long after a partition has healed.
var reconnect = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

func newClients(options []grpc.DialOption) *clients {
	options = append([]grpc.DialOption{grpc.WithConnectParams(reconnect)}, options...)
	return &clients{options: options, open: map[string]*grpc.ClientConn{}}
}

// failed closes the connection after a call that got no answer in time. A
// connection that a partition has cut without notice would otherwise be used
// until the operating system gives up on it, long after the partition.
func (c *clients) failed(address string, err error) {
	if status.Code(err) != codes.DeadlineExceeded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.open[address]; ok {
		conn.Close()
		delete(c.open, address)
	}
}

// get returns the client of an address; it dials on first use.
func (c *clients) get(address string) (peerpb.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.open[address]
	if !ok {
		var err error
		if conn, err = grpc.NewClient("passthrough:///"+address, c.options...); err != nil {
			return nil, err
		}
		c.open[address] = conn
	}
	return peerpb.NewPeerClient(conn), nil
}

// keep closes the connections to gateways that are no longer known.
func (c *clients) keep(peers []gossip.Peer) {
	known := map[string]bool{}
	for _, p := range peers {
		known[p.Address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.open {
		if !known[address] {
			conn.Close()
			delete(c.open, address)
		}
	}
}
