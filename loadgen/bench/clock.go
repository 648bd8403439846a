package bench

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

// clock is a discrete-event scheduler in virtual time. Events with the same
// timestamp run in the order in which they were added, so that a run depends on
// its seed only.
type clock struct {
	now        time.Time
	events     eventHeap
	eventCount uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

func (c *clock) at(t time.Time, run func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.eventCount++
	heap.Push(&c.events, event{at: t, sequence: c.eventCount, run: run})
}

// every schedules run periodically, first after one interval.
func (c *clock) every(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.every(interval, run)
	})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
