package config

import (
	"time"

	"siskinstand.example/coord/suspect"
)

// Suspects configures the tracking of crash suspects: requests that were
// running when an engine crashed.
type Suspects struct {
	Expiry     time.Duration `ini:"expiry" default:"1h" min:"1s" max:"24h" help:"time after which a suspect is forgotten"`
	MaxEntries int64         `ini:"max_entries" default:"4096" min:"1" max:"1000000" unit:"requests" help:"suspects known at a time"`
}

// Config returns the configuration of the suspect tracker.
func (s Suspects) Config() suspect.Config {
	return suspect.Config{Expiry: s.Expiry, MaxEntries: int(s.MaxEntries)}
}
