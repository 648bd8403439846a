package config

import (
	"net"
	"time"

	"siskinstand.example/service/settings"
)

// TLS configures the certificates and keys for callers and for peers. The files
// are reloaded when they change.
type TLS struct {
	CallerCertificate string        `ini:"caller_certificate" default:"" help:"certificate chain towards callers in PEM; empty disables TLS"`
	CallerKey         string        `ini:"caller_key" default:"" help:"private key of caller_certificate in PEM"`
	PeerCertificate   string        `ini:"peer_certificate" default:"" help:"certificate chain towards sidecars and gateways in PEM; empty disables TLS"`
	PeerKey           string        `ini:"peer_key" default:"" help:"private key of peer_certificate in PEM"`
	PeerAuthority     string        `ini:"peer_authority" default:"" help:"certificates in PEM that sign the certificates of sidecars and gateways"`
	AllowPlaintext    bool          `ini:"allow_plaintext" default:"no" help:"serve callers without TLS on an address other than loopback"`
	ReloadInterval    time.Duration `ini:"reload" default:"10s" min:"50ms" max:"1h" help:"time between two checks of the files"`
}

// CallersEnabled reports whether TLS is enabled for callers.
func (t TLS) CallersEnabled() bool { return t.CallerCertificate != "" }

// PeersEnabled reports whether TLS is enabled for connections between processes.
func (t TLS) PeersEnabled() bool { return t.PeerCertificate != "" }

func (t TLS) check(callerAddress string) error {
	if (t.CallerCertificate == "") != (t.CallerKey == "") {
		return tlsKeyError("caller_certificate", "accepted: caller_certificate and caller_key together, or neither")
	}
	if t.PeersEnabled() != (t.PeerKey != "") || t.PeersEnabled() != (t.PeerAuthority != "") {
		return tlsKeyError("peer_certificate", "accepted: peer_certificate, peer_key and peer_authority together, or none")
	}
	host, _, err := net.SplitHostPort(callerAddress)
	if err != nil {
		return &settings.KeyError{Section: "callers", Key: "address", Message: err.Error() + "; accepted: HOST:PORT"}
	}
	ip := net.ParseIP(host)
	if loopback := host == "localhost" || (ip != nil && ip.IsLoopback()); !loopback && !t.CallersEnabled() && !t.AllowPlaintext {
		return tlsKeyError("caller_certificate", "bearer tokens need TLS on an address other than loopback; set allow_plaintext = yes if another program ends TLS")
	}
	return nil
}

func tlsKeyError(key, message string) error {
	return &settings.KeyError{Section: "tls", Key: key, Message: message}
}
