package suspect

import (
	"container/list"
	"time"
)

// recentSet holds the most recently added keys for a limited time.
type recentSet[K comparable] struct {
	limit    int
	lifetime time.Duration
	elements map[K]*list.Element
	// order holds the keys, most recently added first.
	order *list.List
}

type recentKey[K comparable] struct {
	key K
	at  time.Time
}

func newRecentSet[K comparable](limit int, lifetime time.Duration) *recentSet[K] {
	return &recentSet[K]{limit: limit, lifetime: lifetime, elements: map[K]*list.Element{}, order: list.New()}
}

// add adds a key or renews it.
func (s *recentSet[K]) add(now time.Time, key K) {
	if element, ok := s.elements[key]; ok {
		element.Value = recentKey[K]{key, now}
		s.order.MoveToFront(element)
		return
	}
	s.elements[key] = s.order.PushFront(recentKey[K]{key, now})
	for s.order.Len() > s.limit {
		oldest := s.order.Remove(s.order.Back()).(recentKey[K])
		delete(s.elements, oldest.key)
	}
}

// contains reports whether a key was added within the lifetime.
func (s *recentSet[K]) contains(now time.Time, key K) bool {
	element, ok := s.elements[key]
	return ok && now.Sub(element.Value.(recentKey[K]).at) < s.lifetime
}
