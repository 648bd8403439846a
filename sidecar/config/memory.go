package config

import (
	"time"

	"siskinstand.example/coord/memory"
)

// Memory is the section of the reconciliation of engine memory. A grace below
// the interval of the sweeps, 5 s, would count each orphan as a leak.
type Memory struct {
	Grace        time.Duration `ini:"grace" default:"10s" min:"5s" max:"10m" help:"time for which a piece may lack an owner before it is freed"`
	PrefixExpiry time.Duration `ini:"prefix_expiry" default:"10m" min:"1s" max:"24h" help:"life of a cached prefix"`
}

// Config returns the ledger's configuration.
func (m Memory) Config() memory.Config {
	c := memory.DefaultConfig()
	c.Grace, c.PrefixExpiry = m.Grace, m.PrefixExpiry
	return c
}
