// Package certs keeps TLS keys up to date without a restart.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Files names PEM files. Authority is empty if peers are not verified.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Reloader holds the keys in force.
type Reloader struct {
	files    Files
	modified time.Time
	current  atomic.Pointer[material]
}

// Load reads the files.
func Load(f Files) (*Reloader, error) {
	k := &Reloader{files: f}
	return k, k.reload()
}

// Watch reads changed files again until ctx ends. Faulty files are logged and
// the keys in force stay.
func (k *Reloader) Watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if modified, err := k.lastModified(); err == nil && modified.Equal(k.modified) {
			continue
		}
		if err := k.reload(); err != nil {
			klog.ErrorS(err, "TLS keys not reloaded, the previous ones stay in force")
			continue
		}
		klog.InfoS("TLS keys reloaded", "certificate", k.files.Certificate)
	}
}

func (k *Reloader) lastModified() (time.Time, error) {
	var latest time.Time
	for _, path := range []string{k.files.Certificate, k.files.Key, k.files.Authority} {
		if path == "" {
			continue
		}
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

func (k *Reloader) reload() error {
	modified, err := k.lastModified()
	if err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return eris.Wrap(err, "read TLS keys")
	}
	m := &material{certificate: &certificate}
	if k.files.Authority != "" {
		data, err := os.ReadFile(k.files.Authority)
		if err != nil {
			return eris.Wrap(err, "read TLS authority")
		}
		m.authority = x509.NewCertPool()
		if !m.authority.AppendCertsFromPEM(data) {
			return eris.Errorf("no certificate in %s", k.files.Authority)
		}
	}
	k.modified = modified
	k.current.Store(m)
	return nil
}

// ServerConfig returns a configuration for listeners. With an authority, clients
// need a certificate that it signed.
func (k *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := k.current.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*m.certificate}, NextProtos: []string{"h2", "http/1.1"}}
			if m.authority != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.authority
			}
			return c, nil
		},
	}
}

// ClientConfig returns a configuration for connections to other processes. It
// verifies the chain itself against the authority in force, because RootCAs
// cannot change after the configuration is in use. Peers are addressed by IP
// address and replaced often, so the certificate's names are not compared; the
// authority signs only this system's processes.
func (k *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current.Load().certificate, nil
		},
		VerifyConnection: k.verify,
	}
}

func (k *Reloader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         k.current.Load().authority,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return eris.Wrap(err, "verify peer")
}
