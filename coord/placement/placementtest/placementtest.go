// Package placementtest provides helpers for tests of the cost model.
package placementtest

import (
	"testing"
	"time"

	"siskinstand.example/coord/catalog"
)

// Engine returns an engine with the speeds of the users' replicas.
func Engine() catalog.Engine {
	return catalog.Engine{
		Slots: 16, MemoryTokens: 450_000, Step: 925 * time.Microsecond, PerRequest: 4830 * time.Nanosecond, PerContext: 2.54,
		ReadPerSecond: 256_000, PerPair: 0.0917, Chunk: 2048, Stride: 46,
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
