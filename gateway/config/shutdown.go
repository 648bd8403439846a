package config

import "time"

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	Notice  time.Duration `ini:"notice" default:"2s" min:"0s" max:"5m" help:"time for the balancer to notice that the gateway is not ready"`
	Timeout time.Duration `ini:"limit" default:"1h" min:"1s" max:"24h" help:"longest wait for running requests"`
}
