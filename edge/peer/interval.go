package peer

import (
	"math"
	"time"
)

const (
	// remainingUnit is the unit of the remaining work in a load row, which covers 655 s.
	remainingUnit = 10 * time.Millisecond
	// intervalSteps is the number of steps of an octave in an encoded interval. 254 steps of
	// 4.4% cover 1 ms to 60 s.
	intervalSteps = 16
)

// encodeInterval encodes a duration in one byte on a logarithmic scale. 0 is encoded as 0.
func encodeInterval(d time.Duration) uint8 {
	if d <= 0 {
		return 0
	}
	step := math.Round(math.Log2(float64(d)/float64(time.Millisecond)) * intervalSteps)
	return uint8(1 + min(max(step, 0), math.MaxUint8-1))
}

// intervals are the durations of the encoded values.
var intervals = func() (list [math.MaxUint8 + 1]time.Duration) {
	for i := 1; i < len(list); i++ {
		list[i] = time.Duration(math.Exp2(float64(i-1)/intervalSteps) * float64(time.Millisecond))
	}
	return list
}()

func decodeInterval(code uint8) time.Duration { return intervals[code] }
