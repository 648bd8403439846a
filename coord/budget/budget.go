// Package budget divides the bandwidth of the weight store between the
// endpoints that load weights. It reads no clock; callers pass the current time.
package budget

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the permits.
const (
	// DefaultBurst is how far the granted loads may exceed the store's rate, as
	// time at that rate, before further ones are refused; the last load granted may
	// go beyond it. The burst lets several engines, each slower than the store, load
	// at once.
	DefaultBurst = 10 * time.Second
	// minRetryDelay keeps refused endpoints from asking continuously.
	minRetryDelay = time.Second
	// maxRetryDelay lets an endpoint ask several times within the 60 s without a
	// response after which it loads without a permit.
	maxRetryDelay = 15 * time.Second
	// repeatWindow is how long a repeated request gets its earlier permit
	// again, because the response may have been lost.
	repeatWindow = 30 * time.Second
	// jitterDivisor spreads the retries over a quarter of their delay.
	jitterDivisor = 4
	// supersededDuration is how long a sidecar is refused after a later one has
	// asked. It lets a replacement host get permits even if its clock, and with it
	// the incarnation of its sidecar, is behind.
	supersededDuration = time.Hour
	// maxEndpoints bounds the endpoints whose incarnation is stored. The system
	// is designed for 12,000 endpoints.
	maxEndpoints = 65_536
)

// Requester is a sidecar that requests a permit for its endpoint. Incarnation is the
// start time of its process, so that a later sidecar of the endpoint has a higher one.
type Requester struct {
	Endpoint    string
	Incarnation uint64
}

// Permit is the response to a request. RetryAfter is set if it is not granted.
// Superseded is set if a later sidecar of the endpoint has asked, so that this
// one must not start any load.
type Permit struct {
	Granted    bool
	Superseded bool
	RetryAfter time.Duration
}

type grant struct {
	bytes int64
	at    time.Time
}

// latestRequest is the incarnation of the latest sidecar of an endpoint and the
// time of its last request.
type latestRequest struct {
	incarnation uint64
	at          time.Time
}

// Budget is the state of the process that holds the budget's lease and grants
// the permits. It is not safe for concurrent use.
type Budget struct {
	rate  int64
	burst time.Duration
	// busyUntil is when the loads granted so far would finish at the store's
	// full rate.
	busyUntil time.Time
	grants    map[string]grant
	// latest holds the latest request of up to maxEndpoints endpoints by name.
	latest map[string]latestRequest
}

// New returns the budget of a process that becomes the holder now. rate is in
// bytes per second; 0 grants nothing. The permits of a previous holder are
// unknown, so the burst counts as used.
func New(now time.Time, rate int64, burst time.Duration) *Budget {
	return &Budget{rate: rate, burst: burst, busyUntil: now.Add(burst), grants: map[string]grant{}, latest: map[string]latestRequest{}}
}

// SetRate changes the rate of the weight store. Loads granted before are not
// recomputed.
func (b *Budget) SetRate(rate int64) { b.rate = rate }

// Request decides whether a sidecar may load the given number of bytes.
func (b *Budget) Request(now time.Time, r Requester, bytes int64) Permit {
	b.expire(now)
	endpoint := r.Endpoint
	if !b.recordIfNewest(now, r) {
		return Permit{Superseded: true, RetryAfter: b.retryAfter(endpoint, maxRetryDelay)}
	}
	if g, ok := b.grants[endpoint]; ok && g.bytes == bytes {
		return Permit{Granted: true}
	}
	if b.rate <= 0 || bytes <= 0 {
		return Permit{RetryAfter: b.retryAfter(endpoint, maxRetryDelay)}
	}
	if ahead := b.busyUntil.Sub(now); ahead >= b.burst {
		return Permit{RetryAfter: b.retryAfter(endpoint, ahead-b.burst)}
	}
	if b.busyUntil.Before(now) {
		b.busyUntil = now
	}
	b.busyUntil = b.busyUntil.Add(b.loadTime(bytes))
	b.grants[endpoint] = grant{bytes: bytes, at: now}
	return Permit{Granted: true}
}

// recordIfNewest reports whether no later sidecar of the endpoint has asked
// within supersededDuration. If so, it records the requester as the latest one,
// as far as maxEndpoints allows.
func (b *Budget) recordIfNewest(now time.Time, r Requester) bool {
	known, ok := b.latest[r.Endpoint]
	if r.Incarnation < known.incarnation && now.Sub(known.at) < supersededDuration {
		return false
	}
	if ok || len(b.latest) < maxEndpoints {
		b.latest[r.Endpoint] = latestRequest{incarnation: r.Incarnation, at: now}
	}
	return true
}

// loadTime returns the time to load at the store's full rate, at most 24 hours. It
// uses floating point because bytes times nanoseconds would overflow.
func (b *Budget) loadTime(bytes int64) time.Duration {
	seconds := float64(bytes) / float64(b.rate)
	return time.Duration(min(seconds, (24*time.Hour).Seconds()) * float64(time.Second))
}

// retryAfter bounds the wait and adds jitter, which spreads the endpoints but is
// the same whenever one endpoint gets the same wait.
func (b *Budget) retryAfter(endpoint string, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryDelay), maxRetryDelay)
	part := uint64(wait / jitterDivisor)
	return wait + time.Duration(xxhash.Sum64String(endpoint)%part)
}

func (b *Budget) expire(now time.Time) {
	for endpoint, g := range b.grants {
		if now.Sub(g.at) >= repeatWindow {
			delete(b.grants, endpoint)
		}
	}
}
