// Package budget shares the rate of the weight store between the endpoints
// that load weights. It keeps no clock; every call takes the time.
package budget

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the permits.
const (
	// DefaultBurst is how far granted loads may lie ahead of the store's rate.
	// It lets several engines load at once, each slower than the store.
	DefaultBurst = 10 * time.Second
	// leastRetry keeps refused endpoints from asking all the time.
	leastRetry = time.Second
	// maxRetry lets an endpoint ask several times within the 60 s after which
	// it loads without a permit.
	maxRetry = 15 * time.Second
	// repeatWindow is how long the same request gets its earlier permit again,
	// because the answer may have been lost.
	repeatWindow = 30 * time.Second
	// jitterParts spreads the retries over a quarter of their delay.
	jitterParts = 4
	// supersededFor is how long a sidecar is refused after a later one has asked.
	// A host that was replaced by one whose clock is behind gets permits again
	// after it.
	supersededFor = time.Hour
	// maxEndpoints bounds the endpoints whose incarnation is kept. The design
	// size is 12,000 endpoints.
	maxEndpoints = 65_536
)

// Requester is a sidecar that asks for its endpoint. A later sidecar of the
// endpoint has a higher incarnation.
type Requester struct {
	Endpoint    string
	Incarnation uint64
}

// Permit answers a request. RetryAfter is set if it is not granted. Superseded
// means that a later sidecar of the endpoint has asked, so that this one must
// not order a load at all.
type Permit struct {
	Granted    bool
	Superseded bool
	RetryAfter time.Duration
}

type grant struct {
	bytes int64
	at    time.Time
}

// newest is the latest sidecar of an endpoint and the time of its last request.
type newest struct {
	incarnation uint64
	at          time.Time
}

// Budget is the state of the budget's holder. It is not safe for concurrent
// use.
type Budget struct {
	rate  int64
	burst time.Duration
	// busyUntil is when the loads granted so far end at the store's full rate.
	busyUntil time.Time
	grants    map[string]grant
	// newest holds the highest incarnation of each endpoint that has asked.
	newest map[string]newest
}

// New returns the budget of a holder that begins now. rate is in bytes a
// second; 0 grants nothing. The permits of a former holder are not known, so
// the burst counts as used.
func New(now time.Time, rate int64, burst time.Duration) *Budget {
	return &Budget{rate: rate, burst: burst, busyUntil: now.Add(burst), grants: map[string]grant{}, newest: map[string]newest{}}
}

// SetRate takes a changed rate of the weight store; loads granted before keep
// their end.
func (b *Budget) SetRate(rate int64) { b.rate = rate }

// Request decides on a load that a process wants to order.
func (b *Budget) Request(now time.Time, p Requester, bytes int64) Permit {
	b.expire(now)
	process := p.Endpoint
	if !b.isNewest(now, p) {
		return Permit{Superseded: true, RetryAfter: b.retry(process, maxRetry)}
	}
	if g, ok := b.grants[process]; ok && g.bytes == bytes {
		return Permit{Granted: true}
	}
	if b.rate <= 0 || bytes <= 0 {
		return Permit{RetryAfter: b.retry(process, maxRetry)}
	}
	if ahead := b.busyUntil.Sub(now); ahead >= b.burst {
		return Permit{RetryAfter: b.retry(process, ahead-b.burst)}
	}
	if b.busyUntil.Before(now) {
		b.busyUntil = now
	}
	b.busyUntil = b.busyUntil.Add(b.duration(bytes))
	b.grants[process] = grant{bytes: bytes, at: now}
	return Permit{Granted: true}
}

func (b *Budget) isNewest(now time.Time, p Requester) bool {
	known, ok := b.newest[p.Endpoint]
	if p.Incarnation < known.incarnation && now.Sub(known.at) < supersededFor {
		return false
	}
	if ok || len(b.newest) < maxEndpoints {
		b.newest[p.Endpoint] = newest{incarnation: p.Incarnation, at: now}
	}
	return true
}

// duration avoids the overflow of bytes times nanoseconds.
func (b *Budget) duration(bytes int64) time.Duration {
	seconds := float64(bytes) / float64(b.rate)
	return time.Duration(min(seconds, (24*time.Hour).Seconds()) * float64(time.Second))
}

// retry spreads the processes, always in the same way, over part of the wait.
func (b *Budget) retry(process string, wait time.Duration) time.Duration {
	wait = min(max(wait, leastRetry), maxRetry)
	part := uint64(wait / jitterParts)
	return wait + time.Duration(xxhash.Sum64String(process)%part)
}

func (b *Budget) expire(now time.Time) {
	for process, g := range b.grants {
		if now.Sub(g.at) >= repeatWindow {
			delete(b.grants, process)
		}
	}
}
