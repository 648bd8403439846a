package peerclient

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/budget"
	"siskinstand.example/peerpb"
)

// RequestLoadPermit asks the gateway at address for a permit to load a model.
func (p *ConnectionPool) RequestLoadPermit(ctx context.Context, address, endpoint, model string) (budget.Permit, error) {
	c, err := p.acquire(address)
	if err != nil {
		return budget.Permit{}, err
	}
	defer p.release(c)
	response, err := peerpb.NewPeerClient(c.conn).LoadPermit(ctx, &peerpb.LoadPermitRequest{Sender: p.sender, Endpoint: endpoint, Model: model})
	if err != nil {
		return budget.Permit{}, eris.Wrapf(err, "request load permit from gateway at %s", address)
	}
	return budget.Permit{
		Granted: response.Granted, Superseded: response.Superseded,
		RetryAfter: time.Duration(response.RetryAfterMs) * time.Millisecond,
	}, nil
}
