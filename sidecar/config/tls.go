package config

import (
	"time"

	"siskinstand.example/service/settings"
)

// TLS configures the certificates for connections with gateways and other
// sidecars. The files are reloaded when they change.
type TLS struct {
	Certificate    string        `ini:"certificate" default:"" help:"certificate chain in PEM; empty disables TLS"`
	Key            string        `ini:"key" default:"" help:"private key of certificate in PEM"`
	Authority      string        `ini:"authority" default:"" help:"certificates in PEM that sign the certificates of gateways and sidecars"`
	ReloadInterval time.Duration `ini:"reload" default:"10s" min:"50ms" max:"1h" help:"time between two checks of the files"`
}

// Enabled reports whether TLS is used.
func (t TLS) Enabled() bool { return t.Certificate != "" }

func (t TLS) validate() error {
	if t.Enabled() != (t.Key != "") || t.Enabled() != (t.Authority != "") {
		return &settings.KeyError{Section: "tls", Key: "certificate", Message: "accepted: certificate, key and authority together, or none"}
	}
	return nil
}
