package modelload

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"siskinstand.example/coord/budget"
)

// gatewayCallTimeout bounds a request to one gateway, which may forward it to the
// budget holder for up to 2 s.
const gatewayCallTimeout = 3 * time.Second

// maxGatewaysPerRequest bounds the gateways that are tried before the caller
// waits and retries.
const maxGatewaysPerRequest = 3

var errNoConnectedGateway = errors.New("no gateway is connected")

// GatewayPermitSource requests permits through the gateways that have a control
// stream to this sidecar.
type GatewayPermitSource struct {
	// GatewayAddresses returns the addresses of their Peer services.
	GatewayAddresses func() []string
	RequestFrom      func(ctx context.Context, address, model string) (budget.Permit, error)
}

// RequestPermit tries up to maxGatewaysPerRequest gateways in random order until
// one responds.
func (g GatewayPermitSource) RequestPermit(ctx context.Context, model string) (budget.Permit, error) {
	addresses := g.GatewayAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	err := errNoConnectedGateway
	for _, address := range addresses[:min(len(addresses), maxGatewaysPerRequest)] {
		var permit budget.Permit
		if permit, err = g.requestWithTimeout(ctx, address, model); err == nil {
			return permit, nil
		}
	}
	return budget.Permit{}, err
}

func (g GatewayPermitSource) requestWithTimeout(ctx context.Context, address, model string) (budget.Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayCallTimeout)
	defer cancel()
	return g.RequestFrom(ctx, address, model)
}

// GatewayConnected reports whether any gateway has a control stream to this
// sidecar.
func (g GatewayPermitSource) GatewayConnected() bool { return len(g.GatewayAddresses()) > 0 }
