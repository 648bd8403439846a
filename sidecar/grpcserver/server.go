// Package grpcserver implements the gRPC services of a sidecar, which gateways,
// other sidecars and operators call.
package grpcserver

import (
	"context"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/peerpb"
	"siskinstand.example/service/burnrate"
	"siskinstand.example/sidecar/control"
)

// Config configures a Server.
type Config struct {
	Loop          *control.Loop
	Engine        control.Engine
	MemberClient  GroupMemberClient
	Invariants    *invariant.Registry
	Endpoint      string
	EngineAddress string
	ProcessID     string
	Incarnation   uint64
	Zone          string
	MaxBodyBytes  int64
}

// Server implements the Sidecar service, and the Status and Burn methods of the
// Peer service.
type Server struct {
	peerpb.UnimplementedSidecarServer
	peerpb.UnimplementedPeerServer
	config       Config
	burnRecorder *burnrate.Recorder
	gateways     gatewayRegistry
	// controlCtx is the context of all control streams.
	controlCtx        context.Context
	endControlStreams context.CancelFunc
}

// New returns a server.
func New(c Config) *Server {
	s := &Server{config: c, burnRecorder: burnrate.New(burnrate.Config{})}
	s.controlCtx, s.endControlStreams = context.WithCancel(context.Background())
	return s
}

// EndControlStreams ends the control streams of all gateways, including future ones.
func (s *Server) EndControlStreams() { s.endControlStreams() }

func (s *Server) sender() *peerpb.Sender {
	return &peerpb.Sender{
		ProcessId: s.config.ProcessID, Incarnation: s.config.Incarnation, Zone: s.config.Zone,
		ConfigRevision: s.config.Loop.Snapshot().ConfigSlice.Revision,
	}
}

func loadToProto(s *control.Snapshot) *peerpb.Load {
	reserved := s.Load.ReservedTokens
	return &peerpb.Load{
		// Prompts whose prefill has not finished also delay a new prompt.
		QueuedTokens: s.Load.BacklogTokens(), RunningTokens: reserved,
		QueuedRequests: int32(s.Load.QueuedItems), RunningRequests: int32(s.Load.RunningItems),
		MemoryTotalTokens: s.TotalTokens, LimitTokens: s.Capacity.LimitTokens,
		MemoryFreeTokens:       max(s.Capacity.MemoryTokens-reserved, 0),
		PrefillTokensPerSecond: int64(s.Capacity.PrefillRate),
	}
}
