// Package gateway serves the sidecar's side of the protocol to gateways.
package gateway

import (
	"siskinstand.example/peerpb"
	"siskinstand.example/platform/engine"
	"siskinstand.example/sidecar/control"
)

// Config builds a Server.
type Config struct {
	Loop         *control.Loop
	Engine       engine.Engine
	ProcessID    string
	Incarnation  uint64
	Zone         string
	MaxBodyBytes int64
}

// Server implements the Sidecar service.
type Server struct {
	peerpb.UnimplementedSidecarServer
	config Config
}

// New returns a server.
func New(c Config) *Server { return &Server{config: c} }

func (s *Server) sender() *peerpb.Sender {
	return &peerpb.Sender{
		ProcessId: s.config.ProcessID, Incarnation: s.config.Incarnation, Zone: s.config.Zone,
		ConfigRevision: s.config.Loop.Snapshot().Revision,
	}
}

func (s *Server) load() *peerpb.Load {
	snapshot := s.config.Loop.Snapshot()
	return &peerpb.Load{
		QueuedTokens: snapshot.Load.QueuedTokens, RunningTokens: snapshot.Load.ReservedTokens,
		QueuedRequests: int32(snapshot.Load.QueuedItems), RunningRequests: int32(snapshot.Load.RunningItems),
		MemoryTotalTokens: snapshot.Capacity.MemoryTokens, LimitTokens: snapshot.Capacity.LimitTokens,
		MemoryFreeTokens:       max(snapshot.Capacity.MemoryTokens-snapshot.Load.ReservedTokens, 0),
		PrefillTokensPerSecond: int64(snapshot.Capacity.PrefillRate),
	}
}
