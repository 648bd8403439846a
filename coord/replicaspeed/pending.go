package replicaspeed

import (
	"maps"
	"slices"
	"time"
)

const (
	// firstOverdue is the multiple of its predicted time from which a request without a first
	// event is evidence. So a replica that takes eight times as long is known of after two
	// times. The evidence is renewed at every further doubling.
	firstOverdue = 2
	// overdueInterval is the shortest time between two searches for overdue requests.
	overdueInterval = 20 * time.Millisecond
)

// Request is a request whose first event is awaited. It found no queue at its replica.
type Request struct {
	// Replica is the placement.ShortID of the replica, Slots its number of slots.
	Replica uint32
	Slots   int
	Zone    string
	SentAt  time.Duration
	// Delay is the configured round trip time of the link, Predicted the time to the first
	// event by the nominal model.
	Delay, Predicted time.Duration
}

type pendingRequest struct {
	Request
	// overdueAt is the next multiple of the predicted time that is evidence.
	overdueAt float64
}

func (p *pendingRequest) took(at time.Duration) time.Duration {
	return max(0, at-p.SentAt-p.Delay)
}

// Begin records that a request was sent. The number identifies it until End.
func (t *Tracker) Begin(number uint64, r Request) {
	if r.Predicted > 0 {
		t.pending[number] = &pendingRequest{Request: r, overdueAt: firstOverdue}
	}
}

// Pending returns a request that awaits its first event.
func (t *Tracker) Pending(number uint64) (Request, bool) {
	p, ok := t.pending[number]
	if !ok {
		return Request{}, false
	}
	return p.Request, true
}

// FirstEvent records the time of the first event of a request.
func (t *Tracker) FirstEvent(now time.Duration, number uint64, at time.Duration) {
	if p, ok := t.pending[number]; ok {
		t.observe(now, number, p, p.took(at))
		delete(t.pending, number)
	}
}

// End forgets a request that will have no first event, or whose first event says nothing about
// its replica.
func (t *Tracker) End(number uint64) { delete(t.pending, number) }

// ObserveOverdue uses the requests as evidence whose first events are overdue. isFull reports
// whether a request may be waiting for a slot.
func (t *Tracker) ObserveOverdue(now time.Duration, isFull func(Request) bool) {
	if now-t.overdueSearchedAt < overdueInterval {
		return
	}
	t.overdueSearchedAt = now
	// In the order of sending, so that the same requests always give the same result.
	for _, number := range slices.Sorted(maps.Keys(t.pending)) {
		p := t.pending[number]
		took := p.took(now)
		if float64(took) < p.overdueAt*float64(p.Predicted) || isFull(p.Request) {
			continue
		}
		p.overdueAt *= 2
		t.observe(now, number, p, took)
	}
}
