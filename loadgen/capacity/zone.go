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
	weightBytes = 16_000_000_000
	weightRate  = 32_000_000_000
)

// zoneReturn is the result of endpoints that load weights at the same time.
type zoneReturn struct {
	permitted, requests int
	// finish is when the last load ends if the store shares its rate.
	finish time.Duration
	// peak is the most bytes a second that loads ask for, over the rate.
	peak float64
}

// simulateZone runs the budget for endpoints that all start to ask within a
// second and wait for their permits, as sidecar/orders does while the budget's
// holder answers.
func simulateZone(seed uint64, endpoints int) zoneReturn {
	random := rand.New(rand.NewPCG(seed, uint64(endpoints)))
	start := time.Unix(0, 0)
	b := budget.New(start, weightRate, budget.DefaultBurst)
	var result zoneReturn
	var begins []time.Time
	line := &timeline{now: start}
	for i := range endpoints {
		name := fmt.Sprintf("endpoint-%05d", i)
		var ask func()
		ask = func() {
			result.requests++
			p := b.Request(line.now, budget.Requester{Endpoint: name, Incarnation: 1}, weightBytes)
			if !p.Granted {
				line.at(line.now.Add(p.RetryAfter), ask)
				return
			}
			result.permitted++
			begins = append(begins, line.now)
		}
		line.at(start.Add(time.Duration(random.Int64N(int64(time.Second)))), ask)
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
	zone := simulateZone(r.Seed, zoneEndpoints)
	add("loads with permits", "endpoints", float64(zone.permitted), 0, "")
	add("time over the least possible", "ratio", zone.finish.Seconds()/ideal, 1.25, "a shorter retry")
	add("work waiting at the store over the burst", "ratio", zone.peak, 1, "a smaller burst")
	add("requests to the budget's holder", "requests/s", float64(zone.requests)/zone.finish.Seconds(), 0, "")
}
