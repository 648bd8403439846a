// Package freshness bounds how old a process's knowledge of the configuration
// may be. Times are readings of a clock that counts while the host is suspended.
package freshness

import "time"

// Proof is the latest moment at which the process is known to have had the
// newest configuration. The zero value proves nothing.
type Proof struct {
	at    time.Duration
	known bool
}

// Update returns the proof after an answer of the store to a call sent at the
// given moment. An earlier call changes nothing.
func (p Proof) Update(sent time.Duration) Proof {
	if p.known && sent <= p.at {
		return p
	}
	return Proof{at: sent, known: true}
}

// Age returns the time since the proof, and false if there is none.
func (p Proof) Age(now time.Duration) (time.Duration, bool) { return now - p.at, p.known }

// Within reports whether the proof is no older than the bound.
func (p Proof) Within(now, bound time.Duration) bool {
	age, ok := p.Age(now)
	return ok && age <= bound
}
