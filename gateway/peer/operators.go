package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinstand.example/coord/budget"
	"siskinstand.example/gateway/kvstore"
	"siskinstand.example/peerpb"
)

// permitTimeout limits a permit request forwarded to the budget's holder.
const permitTimeout = 2 * time.Second

// LoadPermit decides on a weight load if this gateway holds the weight-load
// budget, and otherwise forwards the request to the holder. A request is
// forwarded only once.
func (n *Node) LoadPermit(ctx context.Context, r *peerpb.LoadPermitRequest) (*peerpb.LoadPermitResponse, error) {
	if n.Permits == nil {
		return nil, status.Error(codes.FailedPrecondition, "this process knows no weight-load budget")
	}
	decision, err := n.Permits.RequestPermit(ctx, decodeLoadRequest(r))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if decision.Holder == n.ID {
		return &peerpb.LoadPermitResponse{
			Sender: n.sender(), Granted: decision.Granted, RetryAfterMs: decision.RetryAfter.Milliseconds(), Fence: decision.Fence, Superseded: decision.Superseded,
		}, nil
	}
	holder, known := (*n.peers.Load())[decision.Holder]
	if r.GetForwarded() || !known {
		return nil, status.Errorf(codes.Unavailable, "the weight-load budget is held by %q", decision.Holder)
	}
	client, err := n.clients.get(holder.Address)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return client.LoadPermit(ctx, &peerpb.LoadPermitRequest{
		Sender: r.GetSender(), Endpoint: r.GetEndpoint(), Model: r.GetModel(), Bytes: r.GetBytes(), Forwarded: true,
	})
}

func decodeLoadRequest(r *peerpb.LoadPermitRequest) kvstore.WeightLoadRequest {
	requester := budget.Requester{Endpoint: r.GetEndpoint(), Incarnation: r.GetSender().GetIncarnation()}
	return kvstore.WeightLoadRequest{Requester: requester, Model: r.GetModel(), Bytes: r.GetBytes()}
}

// Status reports the state of this process, its alarms and its peers.
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

// Burn reports the burn of service-level objectives measured by this process.
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
	response.WorstAccounts = n.Config.Burn.WorstAccounts(min(int(r.GetWorst()), maxBurnAccounts))
	return response, nil
}
