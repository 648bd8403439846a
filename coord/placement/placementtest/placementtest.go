// Package placementtest provides helpers for tests that use the cost model.
package placementtest

import (
	"testing"
	"time"

	"siskinstand.example/coord/catalog"
)

// Engine returns an engine with the speeds of the users' replicas.
func Engine() catalog.Engine {
	return catalog.Engine{
		Slots: 16, MemoryTokens: 450_000, StepTime: 925 * time.Microsecond, StepTimePerRequest: 4830 * time.Nanosecond, StepNanosPerContextToken: 2.54,
		PrefillTokensPerSecond: 256_000, NanosPerTokenPair: 0.0917, PrefillChunkTokens: 2048, StepsPerPass: 46,
	}
}

// CheckWithin fails the test if got differs from want by more than the
// tolerance.
func CheckWithin(t *testing.T, what string, got, want, tolerance time.Duration) {
	t.Helper()
	if d := got - want; d < -tolerance || d > tolerance {
		t.Errorf("%s: %v, want %v within %v", what, got, want, tolerance)
	}
}
