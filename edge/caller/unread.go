package caller

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// The names of the limits at which a response is cut off: the settings in [callers].
const (
	limitUnreadBytes = "max_unread_bytes"
	limitUnreadShare = "unread_share"
	limitReadTimeout = "read_timeout"
)

// ByteBudget limits the bytes that are held for callers. Its methods are safe for concurrent
// use.
type ByteBudget interface {
	// Reserve reserves n bytes, or returns false if they would exceed the limit.
	Reserve(n int) bool
	Release(n int)
}

// NewByteBudget returns a budget of the given number of bytes.
func NewByteBudget(limit int64) ByteBudget { return &byteBudget{limit: limit} }

type byteBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *byteBudget) Reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

func (b *byteBudget) Release(n int) { b.used.Add(-int64(n)) }

// unreadResponses are the responses that this host holds because their callers read slowly.
type unreadResponses struct {
	budget ByteBudget
	held   atomic.Int64
	scope  tally.Scope
	gauge  tally.Gauge
	// onCutOff is called with the limit at which a response was cut off; nil for none.
	onCutOff func(limit string)

	mu   sync.Mutex
	list map[*backlog]bool
}

func newUnreadResponses(c Config) *unreadResponses {
	return &unreadResponses{budget: c.Unread, scope: c.Scope, gauge: c.Scope.Gauge("unread_bytes"), onCutOff: c.OnCutOff, list: map[*backlog]bool{}}
}

// reserve reserves bytes for a response. If the budget is used up, it cuts off the responses
// whose callers have read nothing for longest, possibly this one, until there is room.
func (u *unreadResponses) reserve(b *backlog, n int) bool {
	for u.budget != nil && !u.budget.Reserve(n) {
		stalled := u.mostStalled()
		if stalled == nil {
			stalled = b
		}
		stalled.fail(limitUnreadShare, nil)
		if stalled == b {
			return false
		}
	}
	u.gauge.Update(float64(u.held.Add(int64(n))))
	return true
}

func (u *unreadResponses) release(n int) {
	if n == 0 {
		return
	}
	if u.budget != nil {
		u.budget.Release(n)
	}
	u.gauge.Update(float64(u.held.Add(-int64(n))))
}

// mostStalled returns the response of which nothing has been read for longest.
func (u *unreadResponses) mostStalled() *backlog {
	u.mu.Lock()
	defer u.mu.Unlock()
	var oldest *backlog
	for b := range u.list {
		if oldest == nil || b.progressAt.Load() < oldest.progressAt.Load() {
			oldest = b
		}
	}
	return oldest
}

// recordCutOff counts a response that was cut off at a limit.
func (u *unreadResponses) recordCutOff(limit string) {
	u.scope.Tagged(map[string]string{"limit": limit}).Counter("responses_cut_off").Inc(1)
	if u.onCutOff != nil {
		u.onCutOff(limit)
	}
}

func (u *unreadResponses) add(b *backlog) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.list[b] = true
}

func (u *unreadResponses) remove(b *backlog) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.list, b)
}
