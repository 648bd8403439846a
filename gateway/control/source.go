package control

import "siskinstand.example/coord/config"

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Current returns false as long as no configuration is known.
	Current() (config.Snapshot, bool)
	// Changed returns a channel that is closed when Current next changes.
	Changed() <-chan struct{}
}
