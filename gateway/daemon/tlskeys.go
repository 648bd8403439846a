package daemon

import (
	"crypto/tls"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"siskinstand.example/gateway/config"
	"siskinstand.example/service/certs"
)

// TLSKeys holds the TLS certificates and keys of a gateway: Callers for the
// listener for callers, Peers for connections between processes. TLS is off
// where a field is nil.
type TLSKeys struct {
	Callers *certs.Reloader
	Peers   *certs.Reloader
}

// LoadTLSKeys reads the certificate and key files configured in the settings.
func LoadTLSKeys(t config.TLS) (TLSKeys, error) {
	var k TLSKeys
	var err error
	if t.CallersEnabled() {
		if k.Callers, err = certs.Load(certs.Files{Certificate: t.CallerCertificate, Key: t.CallerKey}); err != nil {
			return k, err
		}
	}
	if t.PeersEnabled() {
		k.Peers, err = certs.Load(certs.Files{Certificate: t.PeerCertificate, Key: t.PeerKey, Authority: t.PeerAuthority})
	}
	return k, err
}

func (k TLSKeys) callerTLS() *tls.Config {
	if k.Callers == nil {
		return nil
	}
	return k.Callers.ServerConfig()
}

// PeerCredentials returns the transport credentials for connections to other
// processes.
func (k TLSKeys) PeerCredentials() credentials.TransportCredentials {
	if k.Peers == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(k.Peers.ClientConfig())
}

func (k TLSKeys) enabled() []*certs.Reloader {
	var list []*certs.Reloader
	for _, keys := range []*certs.Reloader{k.Callers, k.Peers} {
		if keys != nil {
			list = append(list, keys)
		}
	}
	return list
}
