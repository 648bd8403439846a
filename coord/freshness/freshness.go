// Package freshness tracks how long ago a process's configuration was confirmed to
// be the newest. Times are readings of a clock that also advances while the host is
// suspended.
package freshness

import "time"

// Proof is the latest time at which the process is known to have had the newest
// configuration. The zero value means that there is no such time yet.
type Proof struct {
	sentAt time.Duration
	exists bool
}

// Update returns the proof after the store has responded to a request that was sent
// at the given time. The proof is unchanged if the store has already responded to a
// later request.
func (p Proof) Update(sentAt time.Duration) Proof {
	if p.exists && sentAt <= p.sentAt {
		return p
	}
	return Proof{sentAt: sentAt, exists: true}
}

// Age returns the age of the proof, or false if there is none.
func (p Proof) Age(now time.Duration) (time.Duration, bool) { return now - p.sentAt, p.exists }

// IsFresh reports whether there is a proof that is not older than maxAge.
func (p Proof) IsFresh(now, maxAge time.Duration) bool {
	age, ok := p.Age(now)
	return ok && age <= maxAge
}
