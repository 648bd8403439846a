package config

import (
	"time"

	"siskinstand.example/coord/memory"
)

// Memory configures the reconciliation of engine memory. The grace period must
// not be shorter than the reconciliation interval of 5 s, or an allocation
// without owner could be counted as a leak before a failed call to reclaim it has
// been repeated.
type Memory struct {
	Grace        time.Duration `ini:"grace" default:"10s" min:"5s" max:"10m" help:"time for which a piece may lack an owner before it is freed"`
	PrefixExpiry time.Duration `ini:"prefix_expiry" default:"10m" min:"1s" max:"24h" help:"life of a cached prefix"`
}

// Config returns the configuration of the memory ledger.
func (m Memory) Config() memory.Config {
	c := memory.DefaultConfig()
	c.Grace, c.PrefixExpiry = m.Grace, m.PrefixExpiry
	return c
}
