package config

import "time"

// Sidecars configures the connections to sidecars.
type Sidecars struct {
	ControlStreams int           `ini:"control_streams" default:"128" min:"1" max:"100000" unit:"endpoints" help:"endpoints with a control stream from this gateway"`
	Connections    int           `ini:"connections" default:"1024" min:"1" max:"100000" unit:"connections" help:"connections to sidecars that are kept open"`
	DialTimeout    time.Duration `ini:"dial_timeout" default:"1s" min:"10ms" max:"30s" help:"time limit for connecting to a sidecar"`
	ForgetAfter    time.Duration `ini:"forget_after" default:"10s" min:"1s" max:"10m" help:"silence after which an endpoint that the host list no longer names is forgotten"`
	ProbeAfter     time.Duration `ini:"probe_after" default:"250ms" min:"10ms" max:"1m" help:"first wait before an unreachable sidecar is tried again"`
	ProbeLimit     time.Duration `ini:"probe_limit" default:"5s" min:"10ms" max:"10m" help:"longest wait before an unreachable sidecar is tried again"`
}
