package config

// Peers configures the listener for other gateways, sidecars and the operators'
// command-line tool.
type Peers struct {
	Address string `ini:"address" default:"127.0.0.1:7000" help:"address of the exchange between gateways, as in the host list"`
}
