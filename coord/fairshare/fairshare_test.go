package fairshare

import (
	"fmt"
	"testing"
	"time"
)

func equalWeights(n int) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = 1
	}
	return weights
}

// Load pattern: one account sends ten times what each of the other 23 sends. Guards against an
// account that gets more for sending more, and against one that is starved for it.
func TestOneAccountSendsTenTimes(t *testing.T) {
	for _, load := range []float64{1.5, 2, 3} {
		for _, fair := range []bool{false, true} {
			weights := equalWeights(24)
			weights[0] = 10
			s := newSimulation(7, 6, load, weights)
			s.fair = fair
			s.run(10 * time.Second)
			s.resetCounts()
			const period = 30 * time.Second
			s.run(period)
			least, most, total := 1.0, 0.0, s.share(0, period)
			for i := range weights[1:] {
				u := s.share(i+1, period)
				least, most, total = min(least, u), max(most, u), total+u
			}
			part := func(c Class) string {
				sv, of := 0.0, 0.0
				for i := range s.served {
					sv += s.served[i][c]
					of += s.offered[i][c]
				}
				return fmt.Sprintf("%.2f/large %.2f", sv/of, s.served[0][c]/s.offered[0][c])
			}
			t.Logf("load %.1f fair %t: large %.3f, others %.3f to %.3f, used %.3f short %s medium %s long %s", load, fair, s.share(0, period)*24, least*24, most*24, total, part(0), part(1), part(2))
		}
	}
}
