package config

import "time"

// Replicas configures the connections to replicas.
type Replicas struct {
	ConnectTimeout time.Duration `ini:"connect_timeout" default:"300ms" min:"10ms" max:"1m" help:"time limit for opening a connection"`
	IdleTimeout    time.Duration `ini:"idle_timeout" default:"3s" min:"0s" max:"1h" help:"time after which an idle connection is not used again"`
	MaxIdle        int           `ini:"max_idle" default:"24" min:"0" max:"10000" unit:"connections" help:"idle connections kept for each replica"`
	MaxBytes       int64         `ini:"max_bytes" default:"67108864" min:"1048576" max:"1099511627776" unit:"bytes" help:"bodies of the requests that all hosts together have at one replica, with [placement] replica_memory; at least eight times the largest body"`
}
