package grpcserver

import (
	"testing"

	"siskinstand.example/coord/admission"
	"siskinstand.example/sidecar/control"
)

// Guards against load reports without the prompts that the engine has not
// finished; gateways then send long prompts to an engine that is busy with one.
func TestLoadCountsTheEnginesBacklog(t *testing.T) {
	s := &control.Snapshot{Load: admission.Load{QueuedTokens: 1_000, PendingPrefillTokens: 50_000, ReservedTokens: 60_000}}
	if got := loadOf(s).GetQueuedTokens(); got != 51_000 {
		t.Errorf("queued tokens = %d, want 51000", got)
	}
}
