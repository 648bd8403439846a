package control

import (
	"testing"

	"siskinstand.example/coord/group"
)

// Guards against a pool that has just started and refuses every group, and
// against two holds above the limit of one cold endpoint.
func TestHoldAboveLimitNeedsIdleEndpoint(t *testing.T) {
	l := quietLoop()
	tokens := 4 * l.limiter.Limit()
	if refusal := l.acquire(start, group.Hold{ID: "a", Group: "g", Tokens: tokens}, group.MaxTimeToLive); refusal != nil {
		t.Errorf("first hold: %v", refusal)
	}
	if refusal := l.acquire(start, group.Hold{ID: "b", Group: "h", Tokens: tokens}, group.MaxTimeToLive); refusal == nil {
		t.Error("second hold above the limit was granted")
	}
	if refusal := l.acquire(start, group.Hold{ID: "a", Group: "g", Tokens: tokens}, group.MaxTimeToLive); refusal != nil {
		t.Errorf("renewal: %v", refusal)
	}
}
