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
		Slots: 16, MemoryTokens: 450_000, Step: 925 * time.Microsecond, PerRequest: 4830 * time.Nanosecond, PerContext: 2.54,
		ReadPerSecond: 256_000, PerPair: 0.0917, Chunk: 2048, Stride: 46,
	}
}

// CheckWithin fails the test if a time differs from another by more than a tolerance.
func CheckWithin(t *testing.T, what string, got, want, tolerance time.Duration) {
	t.Helper()
	if d := got - want; d < -tolerance || d > tolerance {
		t.Errorf("%s: %v, want %v within %v", what, got, want, tolerance)
	}
}
