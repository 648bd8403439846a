package peer

import (
	"sync"
	"time"
)

// contact is the time of the last message from a peer, with its revision.
type contact struct {
	revision uint64
	lastSeen time.Time
}

// contactTable holds the last contact with each known peer.
type contactTable struct {
	mu     sync.Mutex
	byPeer map[string]contact
}

func (t *contactTable) record(id string, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPeer == nil {
		t.byPeer = map[string]contact{}
	}
	t.byPeer[id] = contact{revision: revision, lastSeen: time.Now()}
}

func (t *contactTable) get(id string) (contact, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen, ok := t.byPeer[id]
	return seen, ok
}

// retain removes the peers for which known returns false.
func (t *contactTable) retain(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.byPeer {
		if !known(id) {
			delete(t.byPeer, id)
		}
	}
}
