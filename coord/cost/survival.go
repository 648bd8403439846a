package cost

import (
	"math"
	"time"
)

const (
	// overdueShare is the share of its elapsed time for which a request that has outlived all
	// bins is expected to go on.
	overdueShare = 0.5
	// minRest is the shortest expected rest of a request that runs.
	minRest = time.Millisecond
)

// Survival predicts how long a running request goes on, given how long it has run. Its rate of
// ending is constant within each bin, so that a request that outlives its prediction is not
// taken for nearly done. The zero value predicts nothing.
type Survival struct {
	// unit is the duration at the ratio 1, limit the longest duration or 0.
	unit, limit time.Duration
	// rates holds the rates of ending per unit, rests the expected rest at the lower edge of
	// each bin in units.
	rates, rests bins
}

// newSurvival returns the survival of a request whose duration is unit times a ratio of the
// given distribution.
func newSurvival(b *bins, unit, limit time.Duration) Survival {
	s := Survival{unit: max(unit, time.Microsecond), limit: limit}
	const last = binCount - 1
	s.rests[last] = float32(overdueShare * edges[last])
	s.rates[last] = 1 / s.rests[last]
	beyond := max(b[last], minBeyond)
	for i := last - 1; i >= 0; i-- {
		reaching := beyond + b[i]
		width := edges[i+1] - lowerEdge(i)
		rate := math.Log(float64(reaching/beyond)) / width
		s.rates[i] = float32(rate)
		s.rests[i] = float32(restWithin(rate, width, float64(s.rests[i+1])))
		beyond = reaching
	}
	return s
}

// minBeyond is the least probability of a request beyond all bins.
const minBeyond = 1e-4

// lowerEdge returns the ratio at which a bin starts. The first one starts at 0.
func lowerEdge(i int) float64 {
	if i == 0 {
		return 0
	}
	return edges[i]
}

// restWithin returns the expected rest, in units, of a request that ends at a constant rate for
// the given width and after that has the rest next.
func restWithin(rate, width, next float64) float64 {
	if rate < 1e-9 {
		return width + next
	}
	reaches := math.Exp(-rate * width)
	return (1-reaches)/rate + reaches*next
}

// binOfRatio returns the bin of a ratio of 0 or more, without a logarithm: the rest of each
// running request is computed at every placement.
func binOfRatio(ratio float64) int {
	if ratio < edges[1] {
		return 0
	}
	fraction, exponent := math.Frexp(ratio) // fraction is at least 0.5
	bin := (exponent - 1 - lowestLog2) * binsPerLog
	if fraction >= math.Sqrt2/2 {
		bin++
	}
	return min(bin, binCount-1)
}

// IsZero reports whether the survival predicts nothing.
func (s *Survival) IsZero() bool { return s == nil || s.unit == 0 }

// Rest returns the expected rest of a request that has run for the given time, and the rate at
// which it is expected to end now, in ends per second.
func (s *Survival) Rest(elapsed time.Duration) (rest time.Duration, endsPerSecond float64) {
	if s.IsZero() {
		return 0, 0
	}
	elapsed = max(0, elapsed)
	ratio := float64(elapsed) / float64(s.unit)
	bin := binOfRatio(ratio)
	var units float64
	if bin == binCount-1 {
		units = overdueShare * max(ratio, edges[bin])
		endsPerSecond = 1 / (units * s.unit.Seconds())
	} else {
		// Between the edges, the rest is interpolated.
		start := lowerEdge(bin)
		position := (ratio - start) / (edges[bin+1] - start)
		units = float64(s.rests[bin]) + position*float64(s.rests[bin+1]-s.rests[bin])
		endsPerSecond = float64(s.rates[bin]) / s.unit.Seconds()
	}
	rest = time.Duration(units * float64(s.unit))
	if s.limit > 0 {
		rest = min(rest, s.limit-elapsed)
	}
	return max(rest, minRest), endsPerSecond
}
