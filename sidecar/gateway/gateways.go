package gateway

import (
	"maps"
	"slices"
	"sync"

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
	g.streams[stream] = address
}

// Gateways lists the Peer services of the connected gateways.
func (s *Server) Gateways() []string {
	s.gateways.mu.Lock()
	defer s.gateways.mu.Unlock()
	addresses := slices.Sorted(maps.Values(s.gateways.streams))
	return slices.Compact(addresses)
}
