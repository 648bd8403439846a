package placement

import (
	"fmt"
	"testing"
	"time"
)

// pauseConfig describes a pause that every second replica of a fleet asks for.
type pauseConfig struct {
	from, to time.Duration
	// ignored is set if the hosts keep sending to these replicas, which then refuse.
	ignored bool
}

func (p pauseConfig) isPaused(now time.Duration, replica int) bool {
	return replica%2 == 0 && now >= p.from && now < p.to
}

// usableCandidates returns the replicas that a host may choose.
func (f *fleet) usableCandidates(now time.Duration) []Candidate {
	f.usable = f.usable[:0]
	for _, c := range f.candidates {
		if f.config.pause.ignored || !f.config.pause.isPaused(now, f.index[c.ID]) {
			f.usable = append(f.usable, c)
		}
	}
	return f.usable
}

// pausedFleet is a deployment under its usual load, under twice that load while half of the
// replicas pause for 2 s, and under twice that load after the pause.
func pausedFleet() fleetConfig {
	c := largeFleet()
	c.rates = []float64{130, 260, 260}
	c.pause = pauseConfig{from: c.periodLength, to: 2 * c.periodLength}
	return c
}

// Guards against hosts that return together at the end of a pause. The pattern is half of the
// replicas pausing for 2 s under twice the usual load: the replicas that were paused are the
// least loaded ones then, and short prompts must neither pile up at a few of them nor take all
// replicas that prefill long prompts.
func TestEndOfPause(t *testing.T) {
	const (
		during, after = 1, 2
		// maxLateShare leaves 95 in 100 prompts within their objective.
		maxLateShare = 0.05
		// herdTime is the time after the pause in which the hosts know little of each other's
		// prompts.
		herdTime = 100 * time.Millisecond
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := pausedFleet()
			f := newFleet(c, seed)
			f.herdUntil = c.pause.to + herdTime
			got := f.run()
			c.pause.ignored = true
			ignored := newFleet(c, seed).run()
			for period, r := range got {
				t.Logf("period %d: %d prompts, %.3f late (%.3f if the pause is ignored), %d refused sends (%d), %.1f replicas for each long prompt (%.1f)",
					period, r.prompts, r.lateShare(), ignored[period].lateShare(), r.refusedSends, ignored[period].refusedSends, r.longParts(), ignored[period].longParts())
			}
			busiest := 0
			for _, n := range f.herd {
				busiest = max(busiest, n)
			}
			t.Logf("%d prompts at the busiest replica within %v of the end", busiest, herdTime)
			for _, period := range []int{during, after} {
				if share := got[period].lateShare(); share > maxLateShare {
					t.Errorf("period %d: %.3f of the prompts are late, want at most %.2f", period, share, maxLateShare)
				}
			}
			if busiest > c.slots {
				t.Errorf("%d prompts at one replica within %v of the end of the pause, want at most its %d slots", busiest, herdTime, c.slots)
			}
			if parts := got[after].longParts(); parts < float64(c.longParts) {
				t.Errorf("%.1f replicas free for each long prompt after the pause, want %d", parts, c.longParts)
			}
			if got[during].refusedSends > 0 {
				t.Errorf("%d sends to paused replicas, want none", got[during].refusedSends)
			}
		})
	}
}
