package config

// Listen configures the gRPC listener.
type Listen struct {
	Address      string `ini:"address" example:"127.0.0.1:7100" help:"address and port for gateways and other sidecars"`
	MaxBodyBytes int64  `ini:"max_body_bytes" default:"16777216" min:"1024" max:"1073741824" unit:"bytes" help:"largest request body"`
	MaxStreams   int64  `ini:"max_streams" default:"4096" min:"1" max:"1000000" unit:"streams" help:"streams of one gateway connection at a time"`
}
