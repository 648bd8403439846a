package main

import (
	"context"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/service/certs"
	"siskinstand.example/sidecar/config"
)

// tlsKeys holds the TLS certificates for connections with gateways and other
// sidecars. reloader is nil if TLS is disabled.
type tlsKeys struct {
	settings config.TLS
	reloader *certs.Reloader
}

func loadTLSKeys(s config.TLS) (tlsKeys, error) {
	k := tlsKeys{settings: s}
	if !s.Enabled() {
		return k, nil
	}
	var err error
	k.reloader, err = certs.Load(certs.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority})
	return k, err
}

func (k tlsKeys) serverCredentials() credentials.TransportCredentials {
	if k.reloader == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(k.reloader.ServerConfig())
}

func (k tlsKeys) clientCredentials() credentials.TransportCredentials {
	if k.reloader == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(k.reloader.ClientConfig())
}

func (k tlsKeys) watch(ctx context.Context) error {
	if k.reloader == nil {
		<-ctx.Done()
		return nil
	}
	k.reloader.Watch(ctx, k.settings.ReloadInterval)
	return nil
}
