package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports lie below the kernel's ephemeral range, so that no outgoing connection
// occupies the port of a killed process before it restarts. Each cluster has its
// own block of ports, so that concurrent clusters don't take the port of a
// process that is down.
const (
	firstPort  = 10_000
	blockPorts = 1_000
	portBlocks = 22
)

// portBlock is a range of ports. A listener on the first port reserves the block.
type portBlock struct {
	reservation net.Listener
	basePort    int
}

func reservePortBlock() (*portBlock, error) {
	start := rand.IntN(portBlocks)
	for i := range portBlocks {
		first := firstPort + (start+i)%portBlocks*blockPorts
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return &portBlock{listener, first}, nil
		}
	}
	return nil, fmt.Errorf("reserve ports: every port block is in use")
}

// addresses returns n loopback addresses with free ports of the block.
func (b *portBlock) addresses(n int) ([]string, error) {
	var list []string
	for port := b.basePort + 1; port < b.basePort+blockPorts && len(list) < n; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			list = append(list, address)
		}
	}
	if len(list) < n {
		return nil, fmt.Errorf("reserve ports: only %d of %d ports are free", len(list), n)
	}
	return list, nil
}
