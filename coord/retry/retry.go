// Package retry bounds repeated attempts. Only the gateway retries, so the
// budget of a pool bounds the work that failures add to it.
package retry

import "time"

// Policy holds the constants of a budget.
type Policy struct {
	// RetryRatio of first attempts that may be repeated, for example 0.1.
	RetryRatio float64
	// MinRetriesPerSecond allows retries in a pool with little traffic.
	MinRetriesPerSecond float64
	// Burst is the largest number of saved retries.
	Burst float64
}

// Budget is the state of one pool's retries. The zero value is empty.
type Budget struct {
	saved   float64
	updated time.Time
}

// NewBudget returns a full budget.
func NewBudget(p Policy, now time.Time) Budget {
	return Budget{saved: p.Burst, updated: now}
}

// RecordFirstAttempt adds the share of one first attempt.
func (b Budget) RecordFirstAttempt(p Policy, now time.Time) Budget {
	b = b.refill(p, now)
	b.saved = min(b.saved+p.RetryRatio, p.Burst)
	return b
}

// Take removes one retry and reports whether the budget held one.
func (b Budget) Take(p Policy, now time.Time) (Budget, bool) {
	b = b.refill(p, now)
	if b.saved < 1 {
		return b, false
	}
	b.saved--
	return b, true
}

func (b Budget) refill(p Policy, now time.Time) Budget {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.saved = min(b.saved+elapsed.Seconds()*p.MinRetriesPerSecond, p.Burst)
		b.updated = now
	}
	return b
}

// Jitter spreads base over half to one and a half of its length by the hash.
func Jitter(base time.Duration, hash uint64) time.Duration {
	const steps = 1 << 16
	return base/2 + time.Duration(float64(base)*float64(hash>>48)/steps)
}

// Backoff doubles base with each earlier retry up to limit, with jitter.
func Backoff(base, limit time.Duration, retries int, hash uint64) time.Duration {
	wait := base
	for range retries {
		if wait >= limit {
			break
		}
		wait *= 2
	}
	return Jitter(min(wait, limit), hash)
}
