package caller

import (
	"sync"
	"time"
)

const (
	// timeLimitWindow is how long a time limit counts as usual.
	timeLimitWindow = 30 * time.Second
	// maxTimeLimits is the maximum number of routes and accounts for which the usual time limit
	// is kept. Beyond it, all are forgotten.
	maxTimeLimits = 4096
)

// timeLimits learns the time limit that the callers of an account usually give on a route. A
// caller that repeats a refused request gives what it has left of its limit, so a shorter limit
// tells how long it has waited already.
type timeLimits struct {
	mu     sync.Mutex
	limits map[timeLimitKey]timeLimit
}

type timeLimitKey struct{ route, account string }

// timeLimit holds the longest time limit in the current and in the previous window.
type timeLimit struct {
	windowStart       time.Duration
	current, previous time.Duration
}

// elapsed records a time limit and returns by how much it is shorter than the usual one.
func (t *timeLimits) elapsed(now time.Duration, key timeLimitKey, limit time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits == nil || len(t.limits) >= maxTimeLimits {
		t.limits = map[timeLimitKey]timeLimit{}
	}
	l, ok := t.limits[key]
	switch age := now - l.windowStart; {
	case !ok || age >= 2*timeLimitWindow:
		l = timeLimit{windowStart: now}
	case age >= timeLimitWindow:
		l = timeLimit{windowStart: now, previous: l.current}
	}
	l.current = max(l.current, limit)
	t.limits[key] = l
	return max(l.current, l.previous) - limit
}

// repeatedLimitShare is the share of the usual time limit that a caller must have used to count
// as one that repeats a request. Limits of first requests differ by up to 15%.
const repeatedLimitShare = 0.2

// hasWaitedBefore reports whether the caller has probably been refused before, so that its
// objective has passed.
func (q *request) hasWaitedBefore() bool {
	return q.callerWaited > q.route.Objective && float64(q.callerWaited) > repeatedLimitShare*float64(q.callerWaited+q.headers.Timeout)
}
