package capacity

import (
	"container/heap"
	"time"
)

// virtualClock is a discrete-event scheduler in virtual time.
type virtualClock struct {
	now        time.Time
	events     eventQueue
	eventCount int
}

type event struct {
	at  time.Time
	run func()
	// sequence keeps events with the same timestamp in the order in which they were
	// added.
	sequence int
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (c *virtualClock) scheduleAt(at time.Time, run func()) {
	c.eventCount++
	heap.Push(&c.events, event{at: at, run: run, sequence: c.eventCount})
}

// run processes events until the given time or until done returns true.
func (c *virtualClock) run(until time.Time, done func() bool) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
		if done != nil && done() {
			return
		}
	}
	c.now = until
}
