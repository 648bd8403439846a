package retry

import (
	"testing"
	"time"
)

// Guards against retries that multiply the load of a failing pool.
func TestBudgetBoundsRetries(t *testing.T) {
	p := Policy{RetryRatio: 0.1, MinRetriesPerSecond: 1, Burst: 5}
	now := time.Unix(1000, 0)
	b := NewBudget(p, now)
	allowed := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		b = b.RecordFirstAttempt(p, now)
		var ok bool
		if b, ok = b.Take(p, now); ok {
			allowed++
		}
	}
	// Burst, a tenth of the first attempts and one a second.
	if want := 5 + 100 + 1; allowed < want-1 || allowed > want {
		t.Errorf("%d retries of 1000 first attempts, want %d", allowed, want)
	}
}

// Guards against a pool with little traffic that never retries.
func TestMinimum(t *testing.T) {
	p := Policy{RetryRatio: 0.1, MinRetriesPerSecond: 1, Burst: 1}
	now := time.Unix(1000, 0)
	b, _ := NewBudget(p, now).Take(p, now)
	if _, ok := b.Take(p, now.Add(500*time.Millisecond)); ok {
		t.Error("retry allowed without budget")
	}
	if _, ok := b.Take(p, now.Add(time.Second)); !ok {
		t.Error("no retry after one second")
	}
}

// Guards against waits outside half to one and a half of the bound.
func TestBackoff(t *testing.T) {
	for retries, base := range []time.Duration{20, 40, 80, 100, 100} {
		for _, hash := range []uint64{0, 1 << 63, ^uint64(0)} {
			wait := Backoff(20, 100, retries, hash)
			if wait < base/2 || wait > base*3/2 {
				t.Errorf("Backoff(%d, %x) = %d, want %d to %d", retries, hash, wait, base/2, base*3/2)
			}
		}
	}
}
