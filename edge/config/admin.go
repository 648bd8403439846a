package config

// Admin configures the listener for operators.
type Admin struct {
	Address string `ini:"address" default:"" help:"address of GET /metrics; empty for none"`
}
