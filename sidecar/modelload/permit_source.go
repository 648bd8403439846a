package modelload

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"siskinstand.example/coord/budget"
)

// askTimeout bounds one request. A gateway may pass it on for up to 2 s.
const askTimeout = 3 * time.Second

// maxAsked bounds the gateways asked before the next pause.
const maxAsked = 3

var errNoGateway = errors.New("no connected gateway")

// GatewayPermitSource asks the gateways that have a control stream to this sidecar.
type GatewayPermitSource struct {
	// GatewayAddresses lists their Peer services.
	GatewayAddresses func() []string
	RequestFrom      func(ctx context.Context, address, model string) (budget.Permit, error)
}

// RequestPermit asks the gateways in random order until one answers.
func (g GatewayPermitSource) RequestPermit(ctx context.Context, model string) (budget.Permit, error) {
	addresses := g.GatewayAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	err := errNoGateway
	for _, address := range addresses[:min(len(addresses), maxAsked)] {
		var permit budget.Permit
		if permit, err = g.call(ctx, address, model); err == nil {
			return permit, nil
		}
	}
	return budget.Permit{}, err
}

func (g GatewayPermitSource) call(ctx context.Context, address, model string) (budget.Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return g.RequestFrom(ctx, address, model)
}

// GatewayConnected reports whether any gateway has a control stream to this sidecar.
func (g GatewayPermitSource) GatewayConnected() bool { return len(g.GatewayAddresses()) > 0 }
