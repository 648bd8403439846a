package config

// Admin configures the listener for /healthz, /readyz and /metrics.
type Admin struct {
	Address string `ini:"address" example:"127.0.0.1:7101" help:"address and port for probes and metrics"`
}
