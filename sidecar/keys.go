package main

import (
	"context"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/service/certs"
	"siskinstand.example/sidecar/config"
)

// transportKeys are the keys towards gateways and other sidecars; without keys,
// TLS is off.
type transportKeys struct {
	settings config.TLS
	keys     *certs.Reloader
}

func loadKeys(s config.TLS) (transportKeys, error) {
	k := transportKeys{settings: s}
	if !s.Enabled() {
		return k, nil
	}
	var err error
	k.keys, err = certs.Load(certs.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority})
	return k, err
}

func (k transportKeys) server() credentials.TransportCredentials {
	if k.keys == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(k.keys.ServerConfig())
}

func (k transportKeys) client() credentials.TransportCredentials {
	if k.keys == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(k.keys.ClientConfig())
}

func (k transportKeys) watch(ctx context.Context) error {
	if k.keys == nil {
		<-ctx.Done()
		return nil
	}
	k.keys.Watch(ctx, k.settings.ReloadInterval)
	return nil
}
