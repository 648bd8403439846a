// Package certs loads TLS certificates and reloads them when their files change,
// without a restart.
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

// Files contains the paths of PEM files. Authority contains the CA certificates that
// verify peers. If it is empty, servers do not request client certificates, and
// clients verify servers against the CA certificates of the system.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

type keyMaterial struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Reloader provides the certificate and the CA certificates that were loaded last.
type Reloader struct {
	files      Files
	modifiedAt time.Time
	current    atomic.Pointer[keyMaterial]
}

// Load reads the files. It does not watch them; see Watch.
func Load(f Files) (*Reloader, error) {
	r := &Reloader{files: f}
	return r, r.reload()
}

// Watch checks the files at each interval, until ctx is done, and reloads all of
// them if the latest of their modification times has changed. If the files cannot
// be loaded, it logs an error and keeps the previous certificate and CA
// certificates.
func (r *Reloader) Watch(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if modified, err := r.lastModification(); err == nil && modified.Equal(r.modifiedAt) {
			continue
		}
		if err := r.reload(); err != nil {
			klog.ErrorS(err, "TLS files not reloaded, using the previous certificate")
			continue
		}
		klog.InfoS("TLS files reloaded", "certificate", r.files.Certificate)
	}
}

func (r *Reloader) lastModification() (time.Time, error) {
	var latest time.Time
	for _, path := range []string{r.files.Certificate, r.files.Key, r.files.Authority} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return latest, eris.Wrap(err, "stat TLS file")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

func (r *Reloader) reload() error {
	modified, err := r.lastModification()
	if err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return eris.Wrap(err, "load TLS certificate and key")
	}
	loaded := &keyMaterial{certificate: &certificate}
	if r.files.Authority != "" {
		data, err := os.ReadFile(r.files.Authority)
		if err != nil {
			return eris.Wrap(err, "read TLS CA certificates")
		}
		loaded.authority = x509.NewCertPool()
		if !loaded.authority.AppendCertsFromPEM(data) {
			return eris.Errorf("no PEM certificate in %s", r.files.Authority)
		}
	}
	r.modifiedAt = modified
	r.current.Store(loaded)
	return nil
}

// ServerConfig returns the TLS configuration for listeners. If an authority is
// configured, clients must present a certificate signed by it.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := r.current.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*current.certificate}, NextProtos: []string{"h2", "http/1.1"}}
			if current.authority != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, current.authority
			}
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connections to other processes.
// VerifyConnection verifies the certificate chain against the current authority,
// because RootCAs cannot be changed while a configuration is in use. The names in
// the certificate are not checked: peers are addressed by IP address and replaced
// often, and the authority only signs certificates for processes of this system.
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.current.Load().certificate, nil
		},
		VerifyConnection: r.verifyPeer,
	}
}

func (r *Reloader) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         r.current.Load().authority,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return eris.Wrap(err, "verify peer")
}
