package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/peerpb"
)

// Limits of the calls to gateways, and the error message if no gateway is
// configured.
const (
	gatewayCallTimeout      = 5 * time.Second
	maxConcurrentCalls      = 32
	maxResponseBytes        = 64 << 20
	gatewaysRequiredMessage = "[fleet] gateways: required for this command; accepted: HOST:PORT, comma separated, also by --gateway"
)

// reply is the response of one gateway or the error of the call.
type reply[T any] struct {
	address  string
	response T
	err      error
}

// callGateways calls every gateway, at most maxConcurrentCalls at a time. The
// replies are in the order of the addresses.
func callGateways[T any](a *app, call func(context.Context, peerpb.PeerClient) (T, error)) ([]reply[T], error) {
	addresses := a.settings.Fleet.Gateways
	if len(addresses) == 0 {
		return nil, &usageError{eris.New(gatewaysRequiredMessage)}
	}
	dialOption, err := transportCredentials(a.settings.TLS)
	if err != nil {
		return nil, &usageError{err}
	}
	replies := make([]reply[T], len(addresses))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, address := range addresses {
		group.Go(func() error {
			replies[i] = reply[T]{address: address}
			replies[i].response, replies[i].err = callGateway(a.ctx, address, dialOption, call)
			return nil
		})
	}
	_ = group.Wait()
	return replies, nil
}

func callGateway[T any](ctx context.Context, address string, dialOption grpc.DialOption, call func(context.Context, peerpb.PeerClient) (T, error)) (T, error) {
	var zero T
	conn, err := grpc.NewClient("passthrough:///"+address, dialOption, grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)))
	if err != nil {
		return zero, err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, gatewayCallTimeout)
	defer cancel()
	return call(ctx, peerpb.NewPeerClient(conn))
}

func transportCredentials(s TLSSettings) (grpc.DialOption, error) {
	if s == (TLSSettings{}) {
		return grpc.WithTransportCredentials(insecure.NewCredentials()), nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, eris.Wrap(err, "[tls] certificate, key")
	}
	pem, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "[tls] authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("[tls] authority: no certificate in %s", s.Authority)
	}
	return grpc.WithTransportCredentials(credentials.NewTLS(clientTLSConfig(certificate, pool))), nil
}

// clientTLSConfig verifies the certificate chain but not the host name, because
// gateways are addressed by IP address and replaced often. The chain suffices:
// the certificate authority signs only certificates for processes of this system.
func clientTLSConfig(certificate tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{certificate},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 {
				return eris.New("peer sent no certificate")
			}
			options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
			for _, c := range state.PeerCertificates[1:] {
				options.Intermediates.AddCert(c)
			}
			_, err := state.PeerCertificates[0].Verify(options)
			return eris.Wrap(err, "verify peer")
		},
	}
}
