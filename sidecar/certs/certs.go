// Package certs keeps the TLS keys of a sidecar up to date without a restart.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"k8s.io/klog/v2"

	"siskinstand.example/sidecar/config"
)

type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	modified    time.Time
}

// Keys holds the keys in force. A nil value means that TLS is off.
type Keys struct {
	settings config.TLS
	current  atomic.Pointer[material]
}

// Load reads the files that the settings name; it returns nil if TLS is off.
func Load(s config.TLS) (*Keys, error) {
	if !s.Enabled() {
		return nil, nil
	}
	k := &Keys{settings: s}
	return k, k.reload()
}

// Watch reads changed files again until the context ends. Faulty files are
// logged and the keys in force stay.
func (k *Keys) Watch(ctx context.Context) error {
	if k == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(k.settings.Reload)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		modified, err := k.lastModified()
		if err == nil && modified.Equal(k.current.Load().modified) {
			continue
		}
		if err := k.reload(); err != nil {
			klog.ErrorS(err, "TLS keys not reloaded, the previous ones stay in force")
		}
	}
}

func (k *Keys) lastModified() (time.Time, error) {
	var latest time.Time
	for _, path := range []string{k.settings.Certificate, k.settings.Key, k.settings.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return latest, eris.Wrap(err, "read TLS keys")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

func (k *Keys) reload() error {
	modified, err := k.lastModified()
	if err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(k.settings.Certificate, k.settings.Key)
	if err != nil {
		return eris.Wrap(err, "read TLS keys")
	}
	data, err := os.ReadFile(k.settings.Authority)
	if err != nil {
		return eris.Wrap(err, "read TLS authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(data) {
		return eris.Errorf("no certificate in %s", k.settings.Authority)
	}
	k.current.Store(&material{certificate: certificate, authority: authority, modified: modified})
	return nil
}

// Server returns the credentials of the listener: peers need a certificate of
// the authority.
func (k *Keys) Server() credentials.TransportCredentials {
	if k == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := k.current.Load()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.certificate}, NextProtos: []string{"h2"},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: m.authority,
			}, nil
		},
	})
}

// Client returns the credentials for connections to other sidecars. Peers are
// addressed by IP address and replaced often, so the names in a certificate are
// not compared; the authority signs only this system's processes.
func (k *Keys) Client() credentials.TransportCredentials {
	if k == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		VerifyConnection: k.verify,
	})
}

func (k *Keys) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots: k.current.Load().authority, Intermediates: x509.NewCertPool(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return eris.Wrap(err, "verify peer")
}
