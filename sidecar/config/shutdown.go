package config

import "time"

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	DrainTimeout time.Duration `ini:"limit" default:"1h" min:"0s" max:"24h" help:"longest wait for running streams; every stream also has its own deadline"`
}
