// Package loopback chooses loopback addresses for the listeners of tests.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// allocated is the number of IPs that the process has allocated so far.
var allocated atomic.Int32

// IP returns a loopback IP that no other listener of the process has. Outgoing
// connections use 127.0.0.1, so a port that is free on the IP stays free until a
// program binds it, also while the program restarts.
func IP() string {
	// Octets 0 and 255 are not used. Concurrent test processes use different networks.
	const octets = 250
	network := 64 + os.Getpid()%128
	n := int(allocated.Add(1)) % (octets * octets)
	return fmt.Sprintf("127.%d.%d.%d", network, n/octets+1, n%octets+1)
}

// FreeAddress returns an IP as of IP with a free port.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(IP(), "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
