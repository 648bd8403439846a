package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinstand.example/peerpb"
)

// LoadPermit asks the holder of the weight-load budget for a permit.
func (n *Node) LoadPermit(ctx context.Context, r *peerpb.LoadPermitRequest) (*peerpb.LoadPermitResponse, error) {
	if n.Permits == nil {
		return nil, status.Error(codes.FailedPrecondition, "this process does not hold the weight-load budget")
	}
	response, err := n.Permits.Request(ctx, r.GetSender().GetProcessId(), r.GetBytes())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	response.Sender = n.sender()
	return response, nil
}

// Status reports this process, its alarms and what main adds to it.
func (n *Node) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusResponse, error) {
	response := &peerpb.StatusResponse{Role: "gateway", State: "serving"}
	if n.Config.Status != nil {
		response = n.Config.Status()
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
		seen, ok := n.seen.get(id)
		if !ok {
			seen.at = n.started
		}
		response.Peers = append(response.Peers, &peerpb.PeerStatus{
			ProcessId: id, Zone: p.Zone, ConfigRevision: seen.revision, SeenAgeMs: now.Sub(seen.at).Milliseconds(),
		})
	}
	return response, nil
}

// maxBurnAccounts bounds the accounts of one request; an account has up to 72
// series in each service, of about 60 bytes.
const maxBurnAccounts = 200

// Burn reports the service-level burn of this process.
func (n *Node) Burn(_ context.Context, r *peerpb.BurnRequest) (*peerpb.BurnResponse, error) {
	response := &peerpb.BurnResponse{Sender: n.sender()}
	if n.Config.Burn == nil {
		return response, nil
	}
	accounts := r.GetAccounts()
	if len(accounts) > maxBurnAccounts {
		return nil, status.Errorf(codes.InvalidArgument, "%d accounts; accepted: up to %d", len(accounts), maxBurnAccounts)
	}
	series, err := n.Config.Burn.Series(accounts)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	for _, s := range series {
		response.Series = append(response.Series, &peerpb.BurnSeries{
			Account: s.Account, Service: s.Service, Class: s.Class, Objective: string(s.Objective),
			WindowS: int64(time.Duration(s.Window) / time.Second), Good: s.Good, Total: s.Total, Histogram: s.Histogram,
		})
	}
	response.WorstAccounts = n.Config.Burn.Worst(min(int(r.GetWorst()), maxBurnAccounts))
	return response, nil
}
