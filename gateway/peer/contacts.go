package peer

import (
	"sync"
	"time"
)

// sighting is when a peer was last heard and with which revision.
type sighting struct {
	revision uint64
	at       time.Time
}

// sightings holds the last sighting of each known peer.
type sightings struct {
	mu   sync.Mutex
	last map[string]sighting
}

func (s *sightings) note(id string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[string]sighting{}
	}
	s.last[id] = sighting{revision: revision, at: time.Now()}
}

func (s *sightings) get(id string) (sighting, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.last[id]
	return seen, ok
}

// keep forgets the peers that are no longer known.
func (s *sightings) keep(known func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.last {
		if !known(id) {
			delete(s.last, id)
		}
	}
}
