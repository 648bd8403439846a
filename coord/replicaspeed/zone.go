package replicaspeed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// zoneSampleCount is the number of replicas whose latest samples are kept for each zone.
	zoneSampleCount = 32
	// minZoneReplicas is the number of replicas below which slow results are not blamed on
	// the zone.
	minZoneReplicas = 3
	// allSlowQuantile is the quantile of a zone's replicas at which the excess must be at
	// least allSlowShare of that from which the zone is slow. Beyond that quantile, samples
	// may be low because their prompts did not have to wait for a pass.
	allSlowQuantile = 0.2
	allSlowShare    = 0.5
	// maxZones limits the zones; the design size is ten.
	maxZones = 64
)

type zoneSample struct {
	replica         uint32
	at              time.Duration
	took, predicted time.Duration
}

// zone is the evidence about the link from this host to an availability zone: the latest
// samples of its replicas.
type zone struct {
	samples []zoneSample
	isSlow  bool
	// excess is the median of the added time, and ratio the median of the factors.
	excess time.Duration
	ratio  float64
	// newest is the time of the newest sample that was slow.
	newest time.Duration
}

// observeZone records the time to the first event of a request and returns the factor by which
// its whole zone is slow, or 1.
func (t *Tracker) observeZone(now time.Duration, p *pendingRequest, took time.Duration) float64 {
	z := t.zones[p.Zone]
	if z == nil {
		if len(t.zones) >= maxZones {
			return 1
		}
		z = &zone{}
		t.zones[p.Zone] = z
	}
	z.put(zoneSample{p.Replica, now, took, p.Predicted})
	wasSlow := z.isSlow
	z.evaluate(now, t.config)
	if z.isSlow && !wasSlow {
		// The samples so far were evidence of the link and not of the replicas.
		for id, r := range t.replicas {
			if r.zone == p.Zone {
				r.dropSamples()
				t.changed[id] = true
			}
		}
	}
	if z.isSlow {
		return z.ratio
	}
	return 1
}

// put stores a sample in place of the replica's earlier one or of the oldest one.
func (z *zone) put(s zoneSample) {
	i := slices.IndexFunc(z.samples, func(o zoneSample) bool { return o.replica == s.replica })
	switch {
	case i >= 0:
		z.samples[i] = s
	case len(z.samples) < zoneSampleCount:
		z.samples = append(z.samples, s)
	default:
		oldest := slices.MinFunc(z.samples, func(a, b zoneSample) int { return cmp.Compare(a.at, b.at) })
		z.samples[slices.Index(z.samples, oldest)] = s
	}
}

// evaluate drops old samples and decides whether all replicas of the zone are slow.
func (z *zone) evaluate(now time.Duration, c Config) {
	z.samples = slices.DeleteFunc(z.samples, func(s zoneSample) bool { return now-s.at >= c.MaxAge })
	if len(z.samples) < minZoneReplicas {
		z.isSlow = false
		return
	}
	var ratioBuffer [zoneSampleCount]float64
	var excessBuffer [zoneSampleCount]time.Duration
	ratios, excess := ratioBuffer[:0], excessBuffer[:0]
	z.newest = 0
	for _, s := range z.samples {
		ratio := float64(s.took) / float64(s.predicted)
		ratios = append(ratios, ratio)
		excess = append(excess, s.took-s.predicted)
		if ratio >= c.Leave {
			z.newest = max(z.newest, s.at)
		}
	}
	slices.Sort(ratios)
	slices.Sort(excess)
	z.ratio, z.excess = ratios[(len(ratios)-1)/2], excess[(len(excess)-1)/2]
	allSlow := ratios[int(allSlowQuantile*float64(len(ratios)))]-1 >= allSlowShare*(c.Enter-1)
	z.isSlow = z.ratio >= c.Enter && allSlow || z.isSlow && z.ratio >= c.Leave
}

// faded returns the zone's factor, which approaches nominal with the age of the newest slow
// sample, so that the zone is tried again.
func (z *zone) faded(now time.Duration, c Config) float64 {
	if !z.isSlow {
		return 1
	}
	return 1 + (z.ratio-1)*(1-float64(now-z.newest)/float64(c.MaxAge))
}

// refreshZones evaluates all zones and returns those that have changed. If all zones are slow,
// the cause is this host or the model, and only what a zone takes longer than the fastest one
// counts.
func (t *Tracker) refreshZones(now time.Duration) []Change {
	fastest, isFirst := 1.0, true
	for _, z := range t.zones {
		z.evaluate(now, t.config)
		if f := z.faded(now, t.config); isFirst || f < fastest {
			fastest, isFirst = f, false
		}
	}
	if len(t.zones) < t.zoneCount {
		fastest = 1
	}
	var changes []Change
	for name, z := range t.zones {
		factor, least := z.faded(now, t.config)/fastest, t.config.Enter
		_, wasSlow := t.delays[name]
		if wasSlow {
			least = t.config.Leave
		}
		isSlow := z.isSlow && factor >= least
		if isSlow {
			// The share of the excess that remains, exact for zones with equal predictions.
			t.delays[name] = time.Duration(float64(z.excess) * (factor - 1) * fastest / (z.ratio - 1))
		} else {
			delete(t.delays, name)
		}
		if isSlow != wasSlow {
			changes = append(changes, Change{Zone: name, IsSlow: isSlow, Delay: t.delays[name]})
		}
	}
	maps.DeleteFunc(t.zones, func(_ string, z *zone) bool { return len(z.samples) == 0 })
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
	return changes
}
