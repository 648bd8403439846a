package control

import "siskinstand.example/coord/config"

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Current returns revision 0 as long as no configuration is known.
	Current() config.Snapshot
	// Changed returns a channel that is closed when Current next changes.
	Changed() <-chan struct{}
}

// documentSource is a source that also knows at which revision each row last
// changed, such as config.InForce.
type documentSource interface{ Document() *config.Document }
