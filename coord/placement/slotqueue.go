package placement

import (
	"slices"
	"time"
)

// WaitingPrompt is a short prompt that waits for a slot at its host.
type WaitingPrompt[T any] struct {
	Value   T
	Service string
	Since   time.Duration
	// Objective is the target for the time from Since to the first event.
	Objective time.Duration
	// IsLate is set if the prompt cannot meet its objective in any case. It waits behind
	// those that can.
	IsLate bool
}

// SlotAttempt is the result of trying to place a waiting prompt.
type SlotAttempt string

// Results of trying to place a waiting prompt.
const (
	SlotTaken SlotAttempt = "taken"
	// SlotAwaited means that no replica has a slot for the prompt.
	SlotAwaited SlotAttempt = "awaited"
	// SlotGivenUp means that the prompt was refused or its caller has left.
	SlotGivenUp SlotAttempt = "given up"
)

const (
	// maxLateWait is how long a prompt waits that is late in any case. Callers abandon a
	// stream without its first event after 2 s or more.
	maxLateWait = 1200 * time.Millisecond
	// maxSlotQueue is the maximum number of prompts that wait for a slot at one host.
	maxSlotQueue = 64
)

// SlotQueue holds the short prompts of one host that wait for a slot. It is owned by the
// control goroutine.
type SlotQueue[T any] struct {
	prompts []WaitingPrompt[T]
}

// Len returns the number of waiting prompts.
func (q *SlotQueue[T]) Len() int { return len(q.prompts) }

// Add appends a prompt, or returns false if the queue is full.
func (q *SlotQueue[T]) Add(p WaitingPrompt[T]) bool {
	if len(q.prompts) >= maxSlotQueue {
		return false
	}
	q.prompts = append(q.prompts, p)
	return true
}

// Sort orders the prompts: those that can meet their objective come first, and then by compare.
func (q *SlotQueue[T]) Sort(compare func(a, b WaitingPrompt[T]) int) {
	slices.SortStableFunc(q.prompts, func(a, b WaitingPrompt[T]) int {
		if a.IsLate != b.IsLate {
			if a.IsLate {
				return 1
			}
			return -1
		}
		return compare(a, b)
	})
}

// IsOverdue reports whether a prompt has waited so long that it is to be refused: it can no
// longer meet its objective with the given time to the first event, or has waited maxLateWait.
func (p WaitingPrompt[T]) IsOverdue(now, firstEvent time.Duration) bool {
	if p.IsLate {
		return now-p.Since > maxLateWait
	}
	return now-p.Since+time.Duration(firstEventMargin*float64(firstEvent)) > p.Objective
}

// Scan tries to place each prompt in order and removes those that are placed or given up. If
// service is not empty, it tries only the prompts of that service, and only until one is placed.
func (q *SlotQueue[T]) Scan(service string, try func(p WaitingPrompt[T]) SlotAttempt) {
	remaining := q.prompts[:0]
	stopped := false
	for _, p := range q.prompts {
		if stopped || service != "" && p.Service != service {
			remaining = append(remaining, p)
			continue
		}
		switch try(p) {
		case SlotAwaited:
			remaining = append(remaining, p)
		case SlotTaken:
			stopped = service != ""
		case SlotGivenUp:
		}
	}
	clear(q.prompts[len(remaining):])
	q.prompts = remaining
}
