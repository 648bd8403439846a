package main

import (
	"context"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/service/certs"
	"siskinstand.example/sidecar/config"
)

// tlsKeys holds the TLS certificates for connections with gateways and other
// sidecars. keys is nil if TLS is disabled.
type tlsKeys struct {
	settings config.TLS
	keys     *certs.Reloader
}

func loadTLSKeys(s config.TLS) (tlsKeys, error) {
	k := tlsKeys{settings: s}
	if !s.Enabled() {
		return k, nil
	}
	var err error
	k.keys, err = certs.Load(certs.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority})
	return k, err
}

func (k tlsKeys) server() credentials.TransportCredentials {
	if k.keys == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(k.keys.ServerConfig())
}

func (k tlsKeys) client() credentials.TransportCredentials {
	if k.keys == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(k.keys.ClientConfig())
}

func (k tlsKeys) watch(ctx context.Context) error {
	if k.keys == nil {
		<-ctx.Done()
		return nil
	}
	k.keys.Watch(ctx, k.settings.ReloadInterval)
	return nil
}
