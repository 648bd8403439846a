package control

import "siskinstand.example/coord/config"

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Current returns the configuration in force, or revision 0 if there is none.
	Current() config.Snapshot
	// Changed returns a channel that is closed at the next change of Current.
	Changed() <-chan struct{}
}

// documentSource is implemented by sources that record the revision at which each
// row last changed, such as config.Active.
type documentSource interface{ Document() *config.Document }
