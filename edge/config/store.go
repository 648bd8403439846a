package config

import "time"

// Store configures the client of the platform's key-value store.
type Store struct {
	Address        string        `ini:"address" example:"127.0.0.1:9000" help:"address of the platform's store"`
	Timeout        time.Duration `ini:"timeout" default:"1s" min:"10ms" max:"1m" help:"time limit of a call beside its waiting time"`
	WatchWait      time.Duration `ini:"watch_wait" default:"2400ms" min:"100ms" max:"30s" help:"longest wait of a watch; its answer also proves that the configuration is the newest"`
	ReadsPerSecond float64       `ini:"reads_per_second" default:"2000" min:"1" max:"1000000" unit:"calls" help:"reading calls that the store takes from all hosts together"`
	// Two watching hosts per zone are enough: if both fail, their followers watch the store.
	Watchers  int           `ini:"watchers" default:"2" min:"0" max:"1000" unit:"hosts" help:"hosts of each availability zone that watch the store; the others learn changes from them; 0 for all"`
	LeaseTime time.Duration `ini:"lease_time" default:"10s" min:"2s" max:"10m" help:"life of this host's entry after its last renewal"`
}
