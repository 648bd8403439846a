// Package retry limits retries by a budget. Only gateways and entry hosts retry
// requests, so the budgets of a pool or service limit the load that failures add to
// it. Gateways draw on them only after attempts that may have run.
package retry

import "time"

// Policy holds the parameters of a budget.
type Policy struct {
	// RetryRatio is the number of retries allowed per first attempt, for example
	// 0.1.
	RetryRatio float64
	// MinRetriesPerSecond is added to the budget every second, so that pools with
	// little traffic can retry.
	MinRetriesPerSecond float64
	// Burst is the maximum number of retries that the budget accumulates.
	Burst float64
}

// Budget is the retry budget of one pool or service. Its methods return the updated
// budget. The zero value is empty only with a MinRetriesPerSecond of 0; otherwise its
// first use fills it up to Burst.
type Budget struct {
	available float64
	updated   time.Time
}

// NewBudget returns a full budget.
func NewBudget(p Policy, now time.Time) Budget {
	return Budget{available: p.Burst, updated: now}
}

// RecordFirstAttempt adds the retry ratio for one first attempt to the budget.
func (b Budget) RecordFirstAttempt(p Policy, now time.Time) Budget {
	b = b.refill(p, now)
	b.available = min(b.available+p.RetryRatio, p.Burst)
	return b
}

// Take removes one retry from the budget and reports whether one was available.
func (b Budget) Take(p Policy, now time.Time) (Budget, bool) {
	b = b.refill(p, now)
	if b.available < 1 {
		return b, false
	}
	b.available--
	return b, true
}

func (b Budget) refill(p Policy, now time.Time) Budget {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.available = min(b.available+elapsed.Seconds()*p.MinRetriesPerSecond, p.Burst)
		b.updated = now
	}
	return b
}

// Jitter returns a duration between 0.5 and 1.5 times base that is determined by
// the hash.
func Jitter(base time.Duration, hash uint64) time.Duration {
	const steps = 1 << 16
	return base/2 + time.Duration(float64(base)*float64(hash>>48)/steps)
}

// Backoff returns the delay before the next retry: base doubled for each earlier
// retry, up to limit, and then with jitter, which can exceed limit.
func Backoff(base, limit time.Duration, retries int, hash uint64) time.Duration {
	delay := base
	for range retries {
		if delay >= limit {
			break
		}
		delay *= 2
	}
	return Jitter(min(delay, limit), hash)
}
