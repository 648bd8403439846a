package control

import "siskinstand.example/coord/config"

// ConfigSource provides the active configuration.
type ConfigSource interface {
	// Current returns the active configuration, or revision 0 if none is loaded.
	Current() config.Snapshot
	// Changed returns a channel that is closed at the next change of Current.
	Changed() <-chan struct{}
}

// documentSource is implemented by sources that record the revision at which each
// row last changed, such as config.InForce.
type documentSource interface{ Document() *config.Document }
