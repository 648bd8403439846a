package control

import (
	"testing"

	"siskinstand.example/coord/group"
)

// Guards against a newly started pool that refuses every group because each
// hold exceeds the concurrency limit, and against a second hold above the limit
// on the same endpoint.
func TestHoldAboveLimitNeedsIdleEndpoint(t *testing.T) {
	l := newServingLoop()
	tokens := 4 * l.limiter.Limit()
	if refusal := l.tryAcquireHold(testStart, group.Hold{ID: "a", Group: "g", Tokens: tokens}, group.MaxTimeToLive); refusal != nil {
		t.Errorf("first hold on an idle endpoint = %v, want it granted", refusal)
	}
	if refusal := l.tryAcquireHold(testStart, group.Hold{ID: "b", Group: "h", Tokens: tokens}, group.MaxTimeToLive); refusal == nil {
		t.Error("second hold above the concurrency limit was granted, want a refusal")
	}
	if refusal := l.tryAcquireHold(testStart, group.Hold{ID: "a", Group: "g", Tokens: tokens}, group.MaxTimeToLive); refusal != nil {
		t.Errorf("renewal of the first hold = %v, want it granted", refusal)
	}
}
