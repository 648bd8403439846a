package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
)

// Control runs siskinctl with the store and returns an error with its output.
func (c *Cluster) Control(ctx context.Context, arguments ...string) error {
	_, err := c.ControlOutput(ctx, arguments...)
	return err
}

// ControlOutput is Control with the command's output.
func (c *Cluster) ControlOutput(ctx context.Context, arguments ...string) (string, error) {
	arguments = append([]string{"--store", c.Layout.Store}, arguments...)
	out, err := exec.CommandContext(ctx, filepath.Join(c.config.Binaries, "siskinctl"), arguments...).CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("siskinctl %s: %w\n%s", strings.Join(arguments, " "), err, out)
	}
	return string(out), nil
}

// Ports come from below the range from which the kernel takes those of outgoing
// connections, so that a process that was killed can listen on its port again.
// Each cluster has a block of them, so that clusters that run at the same time
// don't take the port of a process that is down.
const (
	firstPort  = 10_000
	blockPorts = 1_000
	blocks     = 22
)

// block is a range of ports, reserved by a listener on its first one.
type block struct {
	reservation net.Listener
	first       int
}

func reserveBlock() (*block, error) {
	start := rand.IntN(blocks)
	for i := range blocks {
		first := firstPort + (start+i)%blocks*blockPorts
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return &block{listener, first}, nil
		}
	}
	return nil, fmt.Errorf("no block of ports is free")
}

// addresses returns loopback addresses with free ports.
func (b *block) addresses(n int) ([]string, error) {
	var list []string
	for port := b.first + 1; port < b.first+blockPorts && len(list) < n; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			list = append(list, address)
		}
	}
	if len(list) < n {
		return nil, fmt.Errorf("only %d of %d ports are free", len(list), n)
	}
	return list, nil
}
