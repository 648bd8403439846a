package config

import "time"

// Bounds holds the limits that the platform sets for the system as a whole.
type Bounds struct {
	KeyAge     time.Duration `ini:"key_age" default:"5s" min:"100ms" max:"1h" help:"age of the proof of configuration from which requests with a key are refused"`
	ApplyTime  time.Duration `ini:"apply_time" default:"2s" min:"200ms" max:"10m" help:"time after which a change that the store has confirmed must be in force on every host"`
	DrainTime  time.Duration `ini:"drain_time" default:"2s" min:"200ms" max:"10m" help:"time after which a replica that drains, or whose entry the store has removed, gets no requests from any host"`
	RetryShare float64       `ini:"retry_share" default:"0.2" min:"0" max:"1" help:"repeated sends as a share of requests to a service, over all hosts"`
	RetrySlack float64       `ini:"retry_slack" default:"20" min:"0" max:"100000" unit:"requests" help:"repeated sends beyond the share in a window, over all hosts"`
	Shutdown   time.Duration `ini:"shutdown" default:"8s" min:"1s" max:"24h" help:"time from SIGTERM until the platform kills the process"`
	Notice     time.Duration `ini:"notice" default:"2500ms" min:"0s" max:"5m" help:"time for the balancer to notice that this host takes no new connections"`
	HoldMax    time.Duration `ini:"hold_max" default:"20s" min:"1s" max:"10m" help:"longest life of a memory reservation"`
}
