package grpcserver

import (
	"testing"

	"siskinstand.example/coord/admission"
	"siskinstand.example/sidecar/control"
)

// Guards against load reports that omit prompts whose prefill has not finished.
// Gateways would then send long prompts to an engine that is still busy with
// one.
func TestLoadIncludesEngineBacklog(t *testing.T) {
	s := &control.Snapshot{Load: admission.Load{QueuedTokens: 1_000, PendingPrefillTokens: 50_000, ReservedTokens: 60_000}}
	if got := loadToProto(s).GetQueuedTokens(); got != 51_000 {
		t.Errorf("queued tokens = %d, want 51000", got)
	}
}
