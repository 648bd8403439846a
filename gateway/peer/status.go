package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinstand.example/peerpb"
)

// Status reports the state of this process, its alarms and its peers.
func (n *Node) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	response := &peerpb.StatusResponse{Role: "gateway", State: "serving"}
	if n.EndpointStatuses != nil {
		response = n.EndpointStatuses()
	}
	if n.Current().Revision == 0 {
		response.State = "no_configuration"
	}
	response.Sender = n.sender()
	now := time.Now()
	for _, a := range n.Alarms.List() {
		response.Alarms = append(response.Alarms, &peerpb.Alarm{Name: string(a.Name), Message: a.Message, Count: a.Count})
	}
	for id, p := range *n.peers.Load() {
		seen, ok := n.contacts.get(id)
		if !ok {
			seen.lastSeen = n.started
		}
		response.Peers = append(response.Peers, &peerpb.PeerStatus{
			ProcessId: id, Zone: p.Zone, ConfigRevision: seen.revision, SeenAgeMs: now.Sub(seen.lastSeen).Milliseconds(),
		})
	}
	return response, nil
}

// maxBurnAccounts is the maximum number of client accounts in one request. An
// account has up to 72 series of about 60 bytes for each service.
const maxBurnAccounts = 200

// Burn reports the good and all events of the service-level objectives that this
// process measured, and the accounts with the most bad events in the last hour.
func (n *Node) Burn(_ context.Context, r *peerpb.BurnRequest) (*peerpb.BurnResponse, error) {
	response := &peerpb.BurnResponse{Sender: n.sender()}
	if n.BurnRecorder == nil {
		return response, nil
	}
	accounts := r.GetAccounts()
	if len(accounts) > maxBurnAccounts {
		return nil, status.Errorf(codes.InvalidArgument, "%d accounts; accepted: up to %d", len(accounts), maxBurnAccounts)
	}
	series, err := n.BurnRecorder.Series(accounts)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	for _, s := range series {
		response.Series = append(response.Series, &peerpb.BurnSeries{
			Account: s.Account, Service: s.Service, Class: s.Class, Objective: string(s.Objective),
			WindowS: int64(time.Duration(s.Window) / time.Second), Good: s.Good, Total: s.Total, Histogram: s.Histogram,
		})
	}
	response.WorstAccounts = n.BurnRecorder.WorstAccounts(min(int(r.GetWorst()), maxBurnAccounts))
	return response, nil
}
