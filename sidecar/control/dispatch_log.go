package control

import "time"

const (
	// dispatchLogExpiry covers the period in which a gateway may resend an
	// attempt, which ends at the request's deadline. Deadlines of more than 10
	// minutes are accepted too, but the log then does not detect a duplicate
	// that arrives after the expiry.
	dispatchLogExpiry     = 10 * time.Minute
	maxDispatchLogEntries = 65_536
)

// dispatchLog records the attempts and requests that have been dispatched, to
// detect duplicates that arrive late. When it is full, the oldest entry is
// evicted.
type dispatchLog struct {
	expiresAt      map[string]time.Time
	insertionOrder []string
}

func newDispatchLog() *dispatchLog { return &dispatchLog{expiresAt: map[string]time.Time{}} }

func (d *dispatchLog) add(now time.Time, key string) {
	d.expire(now)
	if _, known := d.expiresAt[key]; !known {
		d.insertionOrder = append(d.insertionOrder, key)
	}
	d.expiresAt[key] = now.Add(dispatchLogExpiry)
}

func (d *dispatchLog) has(now time.Time, key string) bool {
	until, ok := d.expiresAt[key]
	return ok && now.Before(until)
}

// remove deletes a key. Its entry in insertionOrder is removed by a later
// expire.
func (d *dispatchLog) remove(key string) { delete(d.expiresAt, key) }

func (d *dispatchLog) expire(now time.Time) {
	for len(d.insertionOrder) > 0 {
		first := d.insertionOrder[0]
		if len(d.insertionOrder) < maxDispatchLogEntries && now.Before(d.expiresAt[first]) {
			return
		}
		delete(d.expiresAt, first)
		d.insertionOrder = d.insertionOrder[1:]
	}
}
