package replicaspeed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// sampleCount is the number of own samples kept for each replica. The median of five is
	// not moved by two outliers.
	sampleCount = 5
	// maxReportWeight limits the weight of another host, so that many samples that it claims
	// to have count no more than a few.
	maxReportWeight = 3
	// maxReportsPerReplica limits the hosts whose reports about a replica are kept.
	maxReportsPerReplica = 16
	// minBoundSamples is the number of own samples from which they limit what other hosts
	// report, and contradiction the ratio up to which the two may differ. It lies below
	// Config.Enter, so that reports alone can't make a replica slow which is nominal here.
	minBoundSamples = 2
	contradiction   = 1.2
)

type sample struct {
	// number is that of the request.
	number uint64
	at     time.Duration
	ratio  float64
}

// hostReport is what another host says about a replica.
type hostReport struct {
	host   string
	at     time.Duration
	factor float64
	weight float64
}

// replica is the evidence about one replica.
type replica struct {
	zone    string
	samples [sampleCount]sample
	count   int // of the valid samples
	next    int // index of the next sample
	reports []hostReport
	// ignoreReportsUntil is set when the replica has restarted.
	ignoreReportsUntil time.Duration
}

// putSample adds a sample, or replaces that of the same request, which was overdue then.
func (r *replica) putSample(s sample) {
	for i := range r.samples[:r.count] {
		if r.samples[i].number == s.number {
			r.samples[i] = s
			return
		}
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % sampleCount
	r.count = min(r.count+1, sampleCount)
}

func (r *replica) dropSamples() { r.count, r.next = 0, 0 }

func (r *replica) isEmpty() bool { return r.count == 0 && len(r.reports) == 0 }

// putReport stores the report of a host, in place of its earlier one or of the oldest one, and
// reports whether it is news.
func (r *replica) putReport(report hostReport) bool {
	if i := slices.IndexFunc(r.reports, func(o hostReport) bool { return o.host == report.host }); i >= 0 {
		old := r.reports[i]
		r.reports[i] = report
		return old.factor != report.factor || old.weight != report.weight
	}
	if len(r.reports) < maxReportsPerReplica {
		r.reports = append(r.reports, report)
		return true
	}
	oldest := 0
	for i := range r.reports {
		if r.reports[i].at < r.reports[oldest].at {
			oldest = i
		}
	}
	r.reports[oldest] = report
	return true
}

// expire deletes what is too old.
func (r *replica) expire(now time.Duration, c Config) {
	if r.own(now, c).count == 0 {
		r.dropSamples()
	}
	r.reports = slices.DeleteFunc(r.reports, func(o hostReport) bool { return now-o.at > c.ReportAge })
}

// ownFactor summarizes the own samples of a replica.
type ownFactor struct {
	// factor is the median of the samples, moved towards nominal with the age of the newest
	// one that is not nearer to nominal.
	factor float64
	count  int
	newest time.Duration
}

// own evaluates the own samples. Of two medians, the one nearer to nominal counts.
func (r *replica) own(now time.Duration, c Config) ownFactor {
	var ratios [sampleCount]float64
	own := ownFactor{factor: 1}
	for _, s := range r.samples[:r.count] {
		if now-s.at < c.MaxAge {
			ratios[own.count] = s.ratio
			own.count++
			own.newest = max(own.newest, s.at)
		}
	}
	if own.count == 0 {
		return own
	}
	valid := ratios[:own.count]
	slices.Sort(valid)
	median := nearestToNominal(valid[(own.count-1)/2], valid[own.count/2])
	age := c.MaxAge
	for _, s := range r.samples[:r.count] {
		// A later sample that is nearer to nominal is no reason to keep the median up.
		if median > 1 && s.ratio >= median || median < 1 && s.ratio <= median || median == 1 {
			age = min(age, now-s.at)
		}
	}
	own.factor = math.Pow(median, 1-float64(age)/float64(c.MaxAge))
	return own
}

// nearestToNominal returns the value of the range that is nearest to 1.
func nearestToNominal(low, high float64) float64 { return min(max(1, low), high) }

// factor returns the weighted median of the own samples, of other hosts' reports, and of a
// nominal value that weighs as much as the heaviest other host. So the replica is slow only by
// several own samples or by the evidence of two hosts.
func (r *replica) factor(now time.Duration, c Config) float64 {
	own := r.own(now, c)
	var buffer [maxReportsPerReplica + 2]hostReport
	votes := buffer[:0]
	nominal := 1.0
	for _, o := range r.reports {
		if now-o.at <= c.ReportAge {
			votes = append(votes, o)
			nominal = max(nominal, o.weight)
		}
	}
	if own.count > 0 {
		votes = append(votes, hostReport{factor: own.factor, weight: float64(own.count)})
	}
	if len(votes) == 0 {
		return 1
	}
	merged := weightedMedian(append(votes, hostReport{factor: 1, weight: nominal}))
	if own.count >= minBoundSamples && now-own.newest <= c.ReportAge {
		merged = min(max(merged, own.factor/contradiction), own.factor*contradiction)
	}
	return merged
}

// weightedMedian returns the weighted median of the factors. If it lies between two of them,
// the value nearest to nominal counts. It sorts the votes.
func weightedMedian(votes []hostReport) float64 {
	slices.SortFunc(votes, func(a, b hostReport) int { return cmp.Compare(a.factor, b.factor) })
	total := 0.0
	for _, v := range votes {
		total += v.weight
	}
	sum := 0.0
	for i, v := range votes {
		sum += v.weight
		switch {
		case sum == total/2 && i+1 < len(votes):
			return nearestToNominal(v.factor, votes[i+1].factor)
		case sum >= total/2:
			return v.factor
		}
	}
	return 1
}
