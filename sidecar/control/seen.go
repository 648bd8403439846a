package control

import "time"

const (
	// seenExpiry is longer than the resend window of a gateway's attempt,
	// which ends with the request's deadline.
	seenExpiry = 10 * time.Minute
	maxSeen    = 65_536
)

// seen remembers what has been dispatched, so that a late copy of an offer is
// not taken for a new one. The oldest entry makes room when it is full.
type seen struct {
	until map[string]time.Time
	order []string
}

func newSeen() *seen { return &seen{until: map[string]time.Time{}} }

func (s *seen) add(now time.Time, key string) {
	s.expire(now)
	if _, known := s.until[key]; !known {
		s.order = append(s.order, key)
	}
	s.until[key] = now.Add(seenExpiry)
}

func (s *seen) has(now time.Time, key string) bool {
	until, ok := s.until[key]
	return ok && now.Before(until)
}

// forget drops a key. Its place in the order is dropped by a later expiry.
func (s *seen) forget(key string) { delete(s.until, key) }

func (s *seen) expire(now time.Time) {
	for len(s.order) > 0 {
		first := s.order[0]
		if len(s.order) < maxSeen && now.Before(s.until[first]) {
			return
		}
		delete(s.until, first)
		s.order = s.order[1:]
	}
}
