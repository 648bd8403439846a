package connlimit

import (
	"math"
	"testing"
	"time"
)

func checkMax(t *testing.T, l Limit, now time.Duration, b Bounds, want int) {
	t.Helper()
	if got := l.Max(now, b); got != want {
		t.Errorf("at most %d connections after %s, want %d", got, now, want)
	}
}

// Guards against a host that opens connections without regard to the limit of a replica, and
// against one that no longer opens any after a refusal.
func TestLimit(t *testing.T) {
	bounds := NewBounds(18, 2, 12)
	t.Run("nothing learned", func(t *testing.T) {
		checkMax(t, Limit{}, time.Hour, bounds, 12)
		checkMax(t, Limit{}, 0, NewBounds(18, 2, 6), 9)
		checkMax(t, Limit{}, 0, NewBounds(18, 2, 40), 18)
		checkMax(t, Limit{}, 0, NewBounds(0, 2, 12), math.MaxInt)
	})
	t.Run("above the share", func(t *testing.T) {
		l := Limit{}.WithRefusal(time.Second, 14)
		checkMax(t, l, time.Second, bounds, 9)
		checkMax(t, l, time.Second+Memory-1, bounds, 9)
		checkMax(t, l, time.Second+Memory, bounds, 12)
	})
	t.Run("below the share", func(t *testing.T) {
		l := Limit{}.WithRefusal(time.Second, 4)
		checkMax(t, l, time.Second, bounds, 4)
		checkMax(t, l, time.Second+3*GrowthInterval, bounds, 7)
		checkMax(t, l, time.Second+Memory-1, bounds, 9)
	})
	t.Run("accepted again", func(t *testing.T) {
		checkMax(t, Limit{}.WithRefusal(time.Second, 4).WithSuccess(), time.Second, bounds, 6)
		checkMax(t, Limit{}.WithRefusal(time.Second, 0).WithSuccess(), time.Second, bounds, 1)
	})
	t.Run("no other connection", func(t *testing.T) {
		checkMax(t, Limit{}.WithRefusal(0, 0), 0, bounds, 1)
	})
	t.Run("more hosts than connections", func(t *testing.T) {
		checkMax(t, Limit{}.WithRefusal(0, 5), 0, NewBounds(10, 380, 16), 1)
	})
}

// Guards against idle connections of one host that take the places of other hosts.
func TestMaxIdle(t *testing.T) {
	if got := NewBounds(18, 2, 12).MaxIdle(); got != 9 {
		t.Errorf("%d connections may be idle, want the share of 9", got)
	}
	if got := NewBounds(0, 2, 12).MaxIdle(); got != math.MaxInt {
		t.Errorf("%d connections may be idle without a limit", got)
	}
}
