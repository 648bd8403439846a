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

// Guards against idle connections of one host that take the places of other hosts: of its share,
// and of what a replica accepts that turns connections away.
func TestMaxIdle(t *testing.T) {
	yielding := Limit{}.WithYield(time.Second, 8, 2)
	tests := map[string]struct {
		limit  Limit
		now    time.Duration
		bounds Bounds
		want   int
	}{
		"share":                              {Limit{}, time.Second, NewBounds(18, 2, 12), 9},
		"no limit":                           {Limit{}, time.Second, NewBounds(0, 2, 12), math.MaxInt},
		"turned away here":                   {Limit{}.WithRefusal(time.Second, 8), time.Second, NewBounds(18, 2, 12), 9},
		"other host turned away":             {yielding, time.Second, NewBounds(18, 2, 12), 5},
		"other host turned away, no limit":   {yielding, time.Second, NewBounds(0, 2, 12), 5},
		"other host turned away, low share":  {yielding, time.Second, NewBounds(18, 6, 12), 3},
		"other host turned away long ago":    {yielding, time.Second + Memory, NewBounds(18, 2, 12), 9},
		"other host has one less":            {Limit{}.WithYield(time.Second, 3, 2), time.Second, NewBounds(18, 2, 12), 9},
		"other host has more":                {Limit{}.WithYield(time.Second, 3, 6), time.Second, NewBounds(18, 2, 12), 9},
		"other host has none":                {Limit{}.WithYield(time.Second, 2, 0), time.Second, NewBounds(18, 2, 12), 1},
		"other host has none, this has one":  {Limit{}.WithYield(time.Second, 1, 0), time.Second, NewBounds(18, 2, 12), 0},
		"neither host has one":               {Limit{}.WithYield(time.Second, 0, 0), time.Second, NewBounds(18, 2, 12), 9},
		"more hosts than the limit":          {yielding, time.Second, NewBounds(10, 380, 12), 0},
		"more hosts than the limit, no need": {Limit{}, time.Second, NewBounds(10, 380, 12), 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tc.limit.MaxIdle(tc.now, tc.bounds); got != tc.want {
				t.Errorf("%d connections may be idle, want %d", got, tc.want)
			}
		})
	}
}

// Guards against requests on connections that a replica resets after accepting them.
func TestMustSettle(t *testing.T) {
	reset := Limit{}.WithReset(time.Second, 4)
	for name, tc := range map[string]struct {
		limit Limit
		now   time.Duration
		want  bool
	}{
		"nothing learned":    {Limit{}, time.Second, false},
		"refused":            {Limit{}.WithRefusal(time.Second, 4), time.Second, false},
		"reset":              {reset, time.Second, true},
		"reset and refused":  {reset.WithRefusal(2*time.Second, 4), 2 * time.Second, true},
		"reset long ago":     {reset, time.Second + Memory, false},
		"refused after that": {reset.WithRefusal(time.Second+Memory, 4), time.Second + Memory, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tc.limit.MustSettle(tc.now); got != tc.want {
				t.Errorf("must settle: %t, want %t", got, tc.want)
			}
		})
	}
}
