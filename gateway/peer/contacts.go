package peer

import (
	"sync"
	"time"
)

// contact is the time of the last message from a peer, with its revision.
type contact struct {
	revision uint64
	at       time.Time
}

// contactTable holds the last contact with each known peer.
type contactTable struct {
	mu   sync.Mutex
	last map[string]contact
}

func (s *contactTable) record(id string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[string]contact{}
	}
	s.last[id] = contact{revision: revision, at: time.Now()}
}

func (s *contactTable) get(id string) (contact, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, ok := s.last[id]
	return seen, ok
}

// retain removes the peers for which known returns false.
func (s *contactTable) retain(known func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.last {
		if !known(id) {
			delete(s.last, id)
		}
	}
}
