package config

// Admin configures the listener for health checks and metrics.
type Admin struct {
	Address string `ini:"address" default:"127.0.0.1:9090" help:"address of /healthz, /readyz and /metrics"`
}
