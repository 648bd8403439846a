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

// gatewayRegistry holds the address of the gateway's Peer service for each open
// control stream.
type gatewayRegistry struct {
	mu        sync.Mutex
	addresses map[peerpb.Sidecar_ControlServer]string
}

// setAddress records the address for a stream, or removes the stream if the
// address is empty.
func (g *gatewayRegistry) setAddress(stream peerpb.Sidecar_ControlServer, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if address == "" {
		delete(g.addresses, stream)
		return
	}
	if g.addresses == nil {
		g.addresses = map[peerpb.Sidecar_ControlServer]string{}
	}
	g.addresses[stream] = replaceUnspecifiedHost(stream.Context(), address)
}

// replaceUnspecifiedHost returns the address with its host replaced by the
// remote address of the control stream if the gateway listens on all
// interfaces.
func replaceUnspecifiedHost(ctx context.Context, address string) string {
	host, port, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	remote, ok := peer.FromContext(ctx)
	if err != nil || !ok || host != "" && (ip == nil || !ip.IsUnspecified()) {
		return address
	}
	remoteHost, _, err := net.SplitHostPort(remote.Addr.String())
	if err != nil {
		return address
	}
	return net.JoinHostPort(remoteHost, port)
}

// GatewayAddresses returns the sorted addresses of the Peer services of the
// connected gateways, without duplicates.
func (s *Server) GatewayAddresses() []string {
	s.gateways.mu.Lock()
	defer s.gateways.mu.Unlock()
	addresses := slices.Sorted(maps.Values(s.gateways.addresses))
	return slices.Compact(addresses)
}
