package grpcserver

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"

	"google.golang.org/grpc/peer"

	"siskinstand.example/peerpb"
)

// gateways holds the address of the Peer service for each control stream.
type gateways struct {
	mu      sync.Mutex
	streams map[peerpb.Sidecar_ControlServer]string
}

func (g *gateways) note(stream peerpb.Sidecar_ControlServer, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if address == "" {
		delete(g.streams, stream)
		return
	}
	if g.streams == nil {
		g.streams = map[peerpb.Sidecar_ControlServer]string{}
	}
	g.streams[stream] = reachable(stream.Context(), address)
}

// reachable replaces the host of a gateway that listens on all interfaces by
// the one from which its control stream comes.
func reachable(ctx context.Context, address string) string {
	host, port, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	remote, ok := peer.FromContext(ctx)
	if err != nil || !ok || host != "" && (ip == nil || !ip.IsUnspecified()) {
		return address
	}
	from, _, err := net.SplitHostPort(remote.Addr.String())
	if err != nil {
		return address
	}
	return net.JoinHostPort(from, port)
}

// GatewayAddresses lists the Peer services of the connected gateways.
func (s *Server) GatewayAddresses() []string {
	s.gateways.mu.Lock()
	defer s.gateways.mu.Unlock()
	addresses := slices.Sorted(maps.Values(s.gateways.streams))
	return slices.Compact(addresses)
}
