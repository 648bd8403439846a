package cost

import (
	"math"
	"time"
)

const (
	// binCount is the number of bins of a histogram of the ratio of observed to expected
	// cost. They have a width of half an octave and cover ratios from 1/64 to 64; the first
	// and last one also count all beyond.
	binCount   = 24
	lowestLog2 = -6
	binsPerLog = 2
	// maxWeight limits the weight of a histogram, so that recent requests count even if very
	// many have been observed.
	maxWeight = 200
	// retention is the time constant with which observations lose weight.
	retention = 2 * time.Minute
	// decayStep is the shortest time between two reductions of the weights.
	decayStep = time.Second
)

// bins are the weights or probabilities of the bins.
type bins [binCount]float32

// edges holds the lower edges of the bins as ratios, and the upper edge of the last one;
// centers holds the geometric means of the edges.
var edges, centers = func() (e [binCount + 1]float64, c [binCount]float64) {
	for i := range e {
		e[i] = math.Exp2(lowestLog2 + float64(i)/binsPerLog)
	}
	for i := range c {
		c[i] = math.Exp2(lowestLog2 + (float64(i)+0.5)/binsPerLog)
	}
	return e, c
}()

func binOf(log2Ratio float64) int {
	return min(max(int(math.Floor((log2Ratio-lowestLog2)*binsPerLog)), 0), binCount-1)
}

// spread returns the probabilities of a normal distribution of log2 ratios, approximated by a
// logistic one.
func spread(mean, deviation float64) (b bins) {
	const logisticScale = 1.702
	cumulative := func(i int) float64 {
		x := lowestLog2 + float64(i)/binsPerLog - mean
		return 1 / (1 + math.Exp(-logisticScale*x/deviation))
	}
	below := 0.0
	for i := range b {
		upTo := 1.0
		if i < binCount-1 {
			upTo = cumulative(i + 1)
		}
		b[i], below = float32(upTo-below), upTo
	}
	return b
}

// blend moves a distribution toward another one, whose bins add up to total. The distributions
// count for weight and priorWeight observations.
func (b *bins) blend(other *bins, total, weight, priorWeight float32) {
	keep, add := priorWeight/(weight+priorWeight), weight/(weight+priorWeight)/total
	for i := range b {
		b[i] = b[i]*keep + other[i]*add
	}
}

// mean returns the mean ratio of a distribution, of which ratios above limit count as limit.
func (b *bins) mean(limit float64) float64 {
	sum := 0.0
	for i, p := range b {
		sum += float64(p) * min(centers[i], limit)
	}
	return sum
}

// quantile returns the ratio below which the given share of a distribution lies.
func (b *bins) quantile(share float64) float64 {
	remaining := float32(share)
	for i, p := range b {
		if remaining <= p || i == binCount-1 {
			position := float64(i)
			if p > 0 {
				position += min(1, float64(remaining/p))
			}
			return math.Exp2(lowestLog2 + position/binsPerLog)
		}
		remaining -= p
	}
	return 1
}

// histogram is a decaying histogram of log2 ratios.
type histogram struct {
	weights   bins
	total     float32
	updatedAt time.Duration
}

// decay reduces the weights to what is left of them.
func (h *histogram) decay(now time.Duration) {
	if now-h.updatedAt < decayStep {
		return
	}
	h.scale(float32(math.Exp(-float64(now-h.updatedAt) / float64(retention))))
	h.updatedAt = now
}

func (h *histogram) scale(factor float32) {
	for i := range h.weights {
		h.weights[i] *= factor
	}
	h.total *= factor
}

func (h *histogram) add(now time.Duration, log2Ratio float64) {
	h.decay(now)
	if h.total >= maxWeight {
		h.scale((maxWeight - 1) / h.total)
	}
	h.weights[binOf(log2Ratio)]++
	h.total++
}

// center returns the mean and the standard deviation of the log2 ratios.
func (h *histogram) center() (mean, deviation float64) {
	if h.total <= 0 {
		return 0, 0
	}
	sum, squares := 0.0, 0.0
	for i, w := range h.weights {
		x := lowestLog2 + (float64(i)+0.5)/binsPerLog
		sum += float64(w) * x
		squares += float64(w) * x * x
	}
	mean = sum / float64(h.total)
	return mean, math.Sqrt(max(0, squares/float64(h.total)-mean*mean))
}
