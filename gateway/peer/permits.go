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
	conn, err := n.clients.get(holder.Address)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return peerpb.NewPeerClient(conn).LoadPermit(ctx, &peerpb.LoadPermitRequest{
		Sender: r.GetSender(), Endpoint: r.GetEndpoint(), Model: r.GetModel(), Bytes: r.GetBytes(), Forwarded: true,
	})
}

func decodeLoadRequest(r *peerpb.LoadPermitRequest) kvstore.WeightLoadRequest {
	requester := budget.Requester{Endpoint: r.GetEndpoint(), Incarnation: r.GetSender().GetIncarnation()}
	return kvstore.WeightLoadRequest{Requester: requester, Model: r.GetModel(), Bytes: r.GetBytes()}
}
