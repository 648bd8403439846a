package grpcserver

import (
	"context"

	"siskinstand.example/coord/group"
	"siskinstand.example/peerpb"
)

// Hold reserves memory for one member of a group, or renews the reservation.
func (s *Server) Hold(ctx context.Context, r *peerpb.HoldRequest) (*peerpb.HoldResponse, error) {
	hold := group.Hold{ID: r.HoldId, Group: r.GroupId, Account: r.Account, Tokens: r.Tokens}
	response := &peerpb.HoldResponse{EngineAddress: s.config.EngineAddress}
	refusal := s.config.Loop.AcquireHold(ctx, hold, durationFromMillis(r.TtlMs))
	response.Sender = s.sender()
	if refusal != nil {
		response.Reason = string(refusal.Reason)
		response.RetryAfterMs = refusal.RetryAfter.Milliseconds()
		return response, nil
	}
	response.Held = true
	return response, nil
}

// ReleaseHold removes a hold, if it exists. Its engine memory is freed in the
// background.
func (s *Server) ReleaseHold(_ context.Context, r *peerpb.ReleaseHoldRequest) (*peerpb.ReleaseHoldResponse, error) {
	s.config.Loop.ReleaseHold(r.HoldId)
	return &peerpb.ReleaseHoldResponse{Sender: s.sender()}, nil
}
