package capacity

import (
	"container/heap"
	"time"
)

// timeline runs events in virtual time.
type timeline struct {
	now    time.Time
	events eventQueue
	count  int
}

type event struct {
	at  time.Time
	run func()
	// order keeps events at the same time in a fixed order.
	order int
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
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (t *timeline) at(at time.Time, run func()) {
	t.count++
	heap.Push(&t.events, event{at: at, run: run, order: t.count})
}

// run handles events until the time or until done reports true.
func (t *timeline) run(until time.Time, done func() bool) {
	for len(t.events) > 0 && !t.events[0].at.After(until) {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
		if done != nil && done() {
			return
		}
	}
	t.now = until
}
