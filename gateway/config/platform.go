package config

import "time"

// Platform configures the access to the host list and the weight store.
type Platform struct {
	HostList     string        `ini:"host_list" example:"127.0.0.1:7001" help:"host and port of the host list"`
	WeightStore  string        `ini:"weight_store" default:"" help:"host and port of the weight store, whose rate the loads of models share; empty grants no permits"`
	HostInterval time.Duration `ini:"host_interval" default:"1s" min:"50ms" max:"1m" help:"time between two reads of the host list"`
}
