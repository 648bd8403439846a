package grpcserver

import (
	"context"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/peerpb"
)

// Status describes this sidecar and its endpoint to the operators' command-line
// tool.
func (s *Server) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	snapshot := s.config.Loop.Snapshot()
	response := &peerpb.StatusResponse{
		Sender: s.sender(), Role: "sidecar", State: string(snapshot.State),
		Endpoints: []*peerpb.EndpointStatus{{
			Endpoint: s.config.Endpoint, Zone: s.config.Zone, Pool: snapshot.ConfigSlice.Pool,
			State: string(snapshot.State), Load: loadToProto(snapshot), ConfigRevision: snapshot.ConfigSlice.Revision,
		}},
	}
	for _, name := range invariant.Names() {
		if n := s.config.Invariants.Count(name); n > 0 {
			response.Alarms = append(response.Alarms, &peerpb.Alarm{
				Name: string(name), Message: s.config.Invariants.LastMessage(name), Count: n,
			})
		}
	}
	return response, nil
}
