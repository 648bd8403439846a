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

// Limits of the calls to the fleet.
const (
	peerTimeout     = 5 * time.Second
	maxPeerCalls    = 32
	maxAnswerBytes  = 64 << 20
	noGatewayNeeded = "[fleet] gateways: required for this command; accepted: HOST:PORT, comma separated, also by --gateway"
)

// reply is the answer of one process.
type reply[T any] struct {
	address string
	answer  T
	err     error
}

// ask calls every gateway, a bounded number at once.
func ask[T any](a *app, call func(context.Context, peerpb.PeerClient) (T, error)) ([]reply[T], error) {
	addresses := a.settings.Fleet.Gateways
	if len(addresses) == 0 {
		return nil, &usageError{eris.New(noGatewayNeeded)}
	}
	option, err := transport(a.settings.TLS)
	if err != nil {
		return nil, &usageError{err}
	}
	replies := make([]reply[T], len(addresses))
	var group errgroup.Group
	group.SetLimit(maxPeerCalls)
	for i, address := range addresses {
		group.Go(func() error {
			replies[i] = reply[T]{address: address}
			replies[i].answer, replies[i].err = askOne(a.ctx, address, option, call)
			return nil
		})
	}
	_ = group.Wait()
	return replies, nil
}

func askOne[T any](ctx context.Context, address string, option grpc.DialOption, call func(context.Context, peerpb.PeerClient) (T, error)) (T, error) {
	var zero T
	conn, err := grpc.NewClient("passthrough:///"+address, option, grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswerBytes)))
	if err != nil {
		return zero, err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return call(ctx, peerpb.NewPeerClient(conn))
}

func transport(s TLSSettings) (grpc.DialOption, error) {
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
	return grpc.WithTransportCredentials(credentials.NewTLS(clientTLS(certificate, pool))), nil
}

// clientTLS verifies the chain but not the name: gateways are addressed by IP
// address and replaced often, and the authority signs only their processes.
func clientTLS(certificate tls.Certificate, pool *x509.CertPool) *tls.Config {
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
