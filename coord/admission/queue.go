package admission

import (
	"time"

	"siskinstand.example/coord/verdict"
)

// Queue holds waiting items and the reservations of running ones.
type Queue struct {
	config   Config
	capacity Capacity
	waiting  []Item
	running  map[string]Item
	reserved int64
}

// New returns an empty queue without capacity.
func New(c Config) *Queue {
	return &Queue{config: c, running: map[string]Item{}}
}

// SetCapacity replaces the capacity. Reservations above a lowered capacity
// stay; they only delay the next admission.
func (q *Queue) SetCapacity(c Capacity) { q.capacity = c }

// Offer queues an item or refuses it immediately.
func (q *Queue) Offer(now time.Time, item Item) *verdict.Error {
	if len(q.waiting) >= q.config.MaxItems {
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "queue is full")
	}
	if !now.Before(item.Deadline) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlinePast, "deadline has passed")
	}
	q.waiting = append(q.waiting, item)
	return nil
}

// Admit returns the items whose wait ends now.
func (q *Queue) Admit(now time.Time) []Outcome {
	var out []Outcome
	for len(q.waiting) > 0 {
		item := q.waiting[0]
		if !now.Before(item.Deadline) {
			out = append(out, Outcome{Item: item, Refusal: verdict.New(verdict.NotRun, verdict.ReasonDeadlinePast, "deadline passed in the queue")})
			q.waiting = q.waiting[1:]
			continue
		}
		if q.reserved+item.Cost() > min(q.capacity.MemoryTokens, q.capacity.LimitTokens) {
			break
		}
		q.reserved += item.Cost()
		q.running[item.ID] = item
		out = append(out, Outcome{Item: item})
		q.waiting = q.waiting[1:]
	}
	return out
}

// Cancel removes a waiting item and reports whether it was waiting.
func (q *Queue) Cancel(id string) bool {
	for i := range q.waiting {
		if q.waiting[i].ID == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// FirstToken records that the engine has finished the prefill of an item.
func (q *Queue) FirstToken(_ time.Time, _ string) {}

// Finish releases the reservation of an admitted item.
func (q *Queue) Finish(_ time.Time, id string, _ int64) {
	if item, ok := q.running[id]; ok {
		q.reserved -= item.Cost()
		delete(q.running, id)
	}
}

// HandBack empties the queue and refuses every waiting item as not run.
func (q *Queue) HandBack(reason verdict.Reason, message string) []Outcome {
	var out []Outcome
	for _, item := range q.waiting {
		out = append(out, Outcome{Item: item, Refusal: verdict.New(verdict.NotRun, reason, "%s", message)})
	}
	q.waiting = nil
	return out
}

// Load describes the queue.
func (q *Queue) Load() Load {
	l := Load{QueuedItems: len(q.waiting), RunningItems: len(q.running), ReservedTokens: q.reserved}
	for _, item := range q.waiting {
		l.QueuedTokens += item.Cost()
	}
	return l
}
