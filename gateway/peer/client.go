package peer

import (
	"sync"

	"google.golang.org/grpc"

	"siskinstand.example/coord/spread"
	"siskinstand.example/peerpb"
)

// clients keeps one connection for each known gateway.
type clients struct {
	options []grpc.DialOption
	mu      sync.Mutex
	open    map[string]*grpc.ClientConn
}

func newClients(options []grpc.DialOption) *clients {
	return &clients{options: options, open: map[string]*grpc.ClientConn{}}
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
func (c *clients) keep(peers []spread.Peer) {
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
