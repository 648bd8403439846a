package peer

import "siskinstand.example/coord/config"

// Source is the node as the control loop's source of the configuration.
type Source struct{ node *Node }

// Source returns the configuration in force as a source.
func (n *Node) Source() Source { return Source{n} }

// Current returns false as long as no configuration is known.
func (s Source) Current() (config.Snapshot, bool) {
	snapshot := s.node.Current()
	return snapshot, snapshot.Revision > 0
}

// Changed returns a channel that is closed when Current next changes.
func (s Source) Changed() <-chan struct{} { return s.node.Changed() }
