package config

import "time"

// Tables configures the files of the operators' tables, which are used without a
// key-value store.
type Tables struct {
	Routes       string        `ini:"routes" default:"" help:"file of the routes table, if no key-value store is set"`
	Pools        string        `ini:"pools" default:"" help:"file of the pools table, if no key-value store is set"`
	PollInterval time.Duration `ini:"poll" default:"1s" min:"50ms" max:"1m" help:"time between two checks of the files"`
}
