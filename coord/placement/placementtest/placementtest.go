// Package placementtest holds what tests of the cost model share.
package placementtest

import (
	"testing"
	"time"

	"siskinstand.example/coord/catalog"
)

// Engine has the speeds of the users' replicas.
func Engine() catalog.Engine {
	return catalog.Engine{
		Slots: 16, MemoryTokens: 450_000, StepTime: 925 * time.Microsecond, StepTimePerRequest: 4830 * time.Nanosecond, StepNanosPerContextToken: 2.54,
		PrefillTokensPerSecond: 256_000, NanosPerTokenPair: 0.0917, PrefillChunkTokens: 2048, StepsPerPass: 46,
	}
}

// CheckWithin fails the test if a time differs from another by more than a tolerance.
func CheckWithin(t *testing.T, what string, got, want, tolerance time.Duration) {
	t.Helper()
	if d := got - want; d < -tolerance || d > tolerance {
		t.Errorf("%s: %v, want %v within %v", what, got, want, tolerance)
	}
}
