package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"siskinstand.example/coord/budget"
)

// The zone's return assumes one model's weights and a store whose rate loads
// one endpoint in half a second. Only the ratio matters for the result.
const (
	weightBytes   = 16_000_000_000
	weightRate    = 32_000_000_000
	permitWait    = 60 * time.Second
	unpermitStart = 5 * time.Minute
)

// zoneReturn is the result of endpoints that load weights at the same time.
type zoneReturn struct {
	// permitted endpoints loaded with a permit; the others gave up the wait.
	permitted, unpermitted int
	requests               int
	// finish is when the last load ends if the store shares its rate.
	finish time.Duration
	// peak is the most bytes a second that loads ask for, over the rate.
	peak float64
}

// simulateZone runs the budget for endpoints that all start to ask within a
// second, with the rule of sidecar/orders: after the wait a load begins without
// a permit at a random time, unless one is granted before. 0 waits for ever.
func simulateZone(seed uint64, endpoints int, waits time.Duration) zoneReturn {
	random := rand.New(rand.NewPCG(seed, uint64(endpoints)))
	start := time.Unix(0, 0)
	b := budget.New(start, weightRate, budget.DefaultBurst)
	var result zoneReturn
	var begins []time.Time
	line := &timeline{now: start}
	for i := range endpoints {
		name := fmt.Sprintf("endpoint-%05d", i)
		first := start.Add(time.Duration(random.Int64N(int64(time.Second))))
		var alone time.Time
		var ask func()
		ask = func() {
			result.requests++
			p := b.Request(line.now, budget.Process{Endpoint: name, Incarnation: 1}, weightBytes)
			switch {
			case p.Granted:
				result.permitted++
				begins = append(begins, line.now)
				return
			case waits > 0 && alone.IsZero() && line.now.Sub(first) >= waits:
				alone = line.now.Add(time.Duration(random.Int64N(int64(unpermitStart))))
			case !alone.IsZero() && !line.now.Before(alone):
				result.unpermitted++
				begins = append(begins, line.now)
				return
			}
			next := first.Add(waits)
			if !alone.IsZero() {
				next = alone
			}
			pause := p.RetryAfter
			if waits > 0 {
				pause = min(pause, max(next.Sub(line.now), 0))
			}
			line.at(line.now.Add(pause), ask)
		}
		line.at(first, ask)
	}
	line.run(start.Add(24*time.Hour), nil)
	result.finish, result.peak = storeLoad(start, begins)
	return result
}

// storeLoad lets the store work off all loads at its rate. The peak is the
// work that waits at once beyond the burst, over what the burst allows.
func storeLoad(start time.Time, begins []time.Time) (finish time.Duration, peak float64) {
	each := time.Duration(float64(weightBytes) / weightRate * float64(time.Second))
	slices.SortFunc(begins, time.Time.Compare)
	busy := start
	for _, at := range begins {
		if busy.Before(at) {
			busy = at
		}
		busy = busy.Add(each)
		peak = max(peak, float64(busy.Sub(at))/float64(budget.DefaultBurst+each))
	}
	return busy.Sub(start), peak
}

func (r *runner) zone() {
	const section = "Return of a zone (1,200 endpoints)"
	ideal := float64(zoneEndpoints) * weightBytes / weightRate
	add := func(name, unit string, value, limit float64, remedy string) {
		row := simulated(section, name, unit, value, limit, remedy)
		row.Scale, row.Design, row.Points = "endpoints", zoneEndpoints, []Point{{zoneEndpoints, value}}
		r.add(row)
	}
	patient := simulateZone(r.Seed, zoneEndpoints, 0)
	add("all loads with permits: time over the least possible", "ratio", patient.finish.Seconds()/ideal, 1.25, "a shorter retry")
	add("all loads with permits: work waiting at the store over the burst", "ratio", patient.peak, 1, "a smaller burst")
	add("all loads with permits: requests to the budget's holder", "requests/s", float64(patient.requests)/patient.finish.Seconds(), 0, "")
	rule := simulateZone(r.Seed, zoneEndpoints, permitWait)
	add("rule of 60 s of the sidecar: endpoints that load without a permit", "endpoints", float64(rule.unpermitted), 0, "")
	add("rule of 60 s of the sidecar: work waiting at the store over the burst", "ratio", rule.peak, 1,
		"begin the 60 s of sidecar/orders again with each refusal of the holder")
}
