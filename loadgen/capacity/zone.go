package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"siskinstand.example/coord/budget"
)

// The simulation assumes the weights of one model and a weight store that can load
// one endpoint in half a second. Only the ratio affects the result.
const (
	weightBytes         = 16_000_000_000
	storeBytesPerSecond = 32_000_000_000
)

// zoneReturnResult is the result of many endpoints loading weights at the same
// time.
type zoneReturnResult struct {
	permits, requests int
	// totalLoadTime is the time until the last load ends if the loads share the
	// store's rate.
	totalLoadTime time.Duration
	// peakBacklog is the largest backlog of loads at the store, relative to the
	// allowed burst plus one load.
	peakBacklog float64
}

// simulateZoneReturn simulates endpoints that all request load permits from the
// budget within one second and wait for them, as sidecar/modelload does while the
// budget's holder responds.
func simulateZoneReturn(seed uint64, endpoints int) zoneReturnResult {
	random := rand.New(rand.NewPCG(seed, uint64(endpoints)))
	start := time.Unix(0, 0)
	b := budget.New(start, storeBytesPerSecond, budget.DefaultBurst)
	var result zoneReturnResult
	var loadStarts []time.Time
	clock := &virtualClock{now: start}
	for i := range endpoints {
		name := fmt.Sprintf("endpoint-%05d", i)
		var requestPermit func()
		requestPermit = func() {
			result.requests++
			p := b.Request(clock.now, budget.Requester{Endpoint: name, Incarnation: 1}, weightBytes)
			if !p.Granted {
				clock.scheduleAt(clock.now.Add(p.RetryAfter), requestPermit)
				return
			}
			result.permits++
			loadStarts = append(loadStarts, clock.now)
		}
		clock.scheduleAt(start.Add(time.Duration(random.Int64N(int64(time.Second)))), requestPermit)
	}
	clock.run(start.Add(24*time.Hour), nil)
	result.totalLoadTime, result.peakBacklog = simulateStoreLoads(start, loadStarts)
	return result
}

// simulateStoreLoads processes all loads at the store's rate. It returns the time
// until the last one ends and the largest backlog, relative to the allowed burst
// plus one load.
func simulateStoreLoads(start time.Time, loadStarts []time.Time) (finish time.Duration, peak float64) {
	loadTime := time.Duration(float64(weightBytes) / storeBytesPerSecond * float64(time.Second))
	slices.SortFunc(loadStarts, time.Time.Compare)
	busy := start
	for _, at := range loadStarts {
		if busy.Before(at) {
			busy = at
		}
		busy = busy.Add(loadTime)
		peak = max(peak, float64(busy.Sub(at))/float64(budget.DefaultBurst+loadTime))
	}
	return busy.Sub(start), peak
}

func (r *runner) addZoneRows() {
	const section = "Return of a zone (1,200 endpoints)"
	ideal := float64(designZoneEndpoints) * weightBytes / storeBytesPerSecond
	add := func(name, unit string, value, limit float64, remedy string) {
		row := simulatedRow(section, name, unit, value, limit, remedy)
		row.XUnit, row.DesignX, row.Points = "endpoints", designZoneEndpoints, []Point{{designZoneEndpoints, value}}
		r.add(row)
	}
	zone := simulateZoneReturn(r.Seed, designZoneEndpoints)
	add("loads with permits", "endpoints", float64(zone.permits), 0, "")
	add("time over the least possible", "ratio", zone.totalLoadTime.Seconds()/ideal, 1.25, "a shorter retry")
	add("work waiting at the store over the burst", "ratio", zone.peakBacklog, 1, "a smaller burst")
	add("requests to the budget's holder", "requests/s", float64(zone.requests)/zone.totalLoadTime.Seconds(), 0, "")
}
