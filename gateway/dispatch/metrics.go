package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/assembly"
)

// metrics holds the metrics of a Dispatcher.
type metrics struct {
	scope      tally.Scope
	attempts   tally.Counter
	retries    tally.Counter
	resumed    tally.Counter
	completed  tally.Counter
	firstToken tally.Histogram
}

// firstTokenBuckets cover the latencies around the 0.5 s objective and up to those
// of prompts with a million tokens.
var firstTokenBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 350 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second, 60 * time.Second,
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:      scope,
		attempts:   scope.Counter("attempts"),
		retries:    scope.Counter("retries"),
		resumed:    scope.Counter("resumed_attempts"),
		completed:  scope.Counter("completed_requests"),
		firstToken: scope.Histogram("first_token_seconds", firstTokenBuckets),
	}
}

func (m *metrics) countOutcome(err error) {
	if err == nil {
		m.completed.Inc(1)
		return
	}
	f := asVerdictError(err)
	m.scope.Tagged(map[string]string{"verdict": string(f.Verdict), "reason": string(f.Reason)}).Counter("failed_requests").Inc(1)
}

func (m *metrics) countDroppedChunk(reason assembly.DropReason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("dropped_chunks").Inc(1)
}
