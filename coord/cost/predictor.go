package cost

import (
	"math"
	"time"
)

const (
	// DefaultMaxKeys is the default of Config.MaxKeys. An entry takes about 400 bytes.
	DefaultMaxKeys = 2048
	// hintDeviation and meanDeviation are the standard deviations, in octaves, that are
	// assumed for the ratio of observed output to the hint or the mean until observations are
	// available: the median of the hints is right, but they are often far off.
	hintDeviation = 1.0
	meanDeviation = 1.5
	// initialWeight is the number of observations that the more general distribution counts
	// for when it is combined with a more specific one.
	initialWeight = 8
	// timeShare is the weight of a new observation in the mean time per token.
	timeShare = 0.05
	// minTimeRatio and maxTimeRatio bound the ratio of observed to configured time per token.
	minTimeRatio, maxTimeRatio = 0.5, 16
)

var hintPrior, meanPrior = spread(0, hintDeviation), spread(0, meanDeviation)

// Config configures a Predictor.
type Config struct {
	// MaxKeys is the maximum number of keys for which observations are kept.
	MaxKeys int
}

// Predictor predicts the cost of requests from earlier ones. It is not safe for concurrent use.
type Predictor struct {
	table table
	// lastSection is the time of the last section that was not empty.
	lastSection time.Duration
	hasSent     bool
	drifts      int
}

// New returns a predictor without observations.
func New(c Config) *Predictor {
	if c.MaxKeys <= 0 {
		c.MaxKeys = DefaultMaxKeys
	}
	return &Predictor{table: newTable(c.MaxKeys)}
}

// Len returns the number of keys for which something is known.
func (p *Predictor) Len() int { return p.table.order.Len() }

// Drifts returns how often a change of the costs was detected.
func (p *Predictor) Drifts() int { return p.drifts }

// evidence is the distribution of the ratio of the cost to base.
type evidence struct {
	distribution bins
	base         float64
	samples      float32
	source       Source
}

// add combines the evidence with what is known for a more specific key.
func (v *evidence) add(now time.Duration, e *entry, source Source) {
	if e == nil {
		return
	}
	if weight := e.shared.weightAt(now); weight >= 1 {
		v.distribution.blend(e.shared.distribution(), 1, min(weight, maxSharedWeight), initialWeight)
		if v.samples == 0 {
			v.source = SourcePeers
		}
	}
	e.own.decay(now)
	if e.own.total >= 1 {
		v.distribution.blend(&e.own.weights, e.own.total, e.own.total, initialWeight)
		v.samples, v.source = e.own.total, source
	}
}

// maxSharedWeight limits the weight of what other hosts report for a key against the more general
// distribution. Own observations of the key are combined with the result, so that they prevail
// after a few requests.
const maxSharedWeight = 3 * initialWeight

// evidenceFor returns what is known about a request. Hints are ignored if useHint is not set.
func (p *Predictor) evidenceFor(now time.Duration, r Request, k keys, useHint bool) evidence {
	route := p.table.get(k.route)
	hint := r.hint()
	if hint > 0 && useHint {
		v := evidence{distribution: hintPrior, base: hint, source: SourceInitial}
		v.add(now, p.table.get(k.shape), SourceShape)
		v.add(now, p.table.get(k.account), SourceAccount)
		return v
	}
	v := evidence{distribution: meanPrior, base: r.mean(), source: SourceInitial}
	v.add(now, route, SourceRoute)
	if hint == 0 {
		v.add(now, p.table.get(k.shape), SourceShape)
		v.add(now, p.table.get(k.account), SourceAccount)
	}
	return v
}

// Predict returns the estimated cost of a request.
func (p *Predictor) Predict(now time.Duration, r Request) Estimate {
	k := r.keys()
	timeRatio, useHint := 1.0, true
	if route := p.table.get(k.route); route != nil {
		useHint = !route.skill.ignoresHints()
		if route.timeRatio > 0 {
			timeRatio = route.timeRatio
		}
	}
	v := p.evidenceFor(now, r, k, useHint)
	limit, limitRatio := r.limit(), math.Inf(1)
	if limit > 0 {
		limitRatio = limit / v.base
	}
	unit := time.Duration(timeRatio * v.base * float64(r.unitTime()))
	expected := v.distribution.mean(limitRatio)
	quantile := func(share float64) int { return int(v.base * min(v.distribution.quantile(share), limitRatio)) }
	e := Estimate{
		Prefill: r.Prefill, P10: quantile(0.1), P50: quantile(0.5), P90: quantile(0.9), Samples: int(v.samples), Source: v.source,
	}
	duration := time.Duration(expected * float64(unit))
	if r.isPlain() {
		e.Service = duration
		e.Survival = newSurvival(&v.distribution, unit, 0)
		return e
	}
	e.Decode, e.Output, e.Memory = duration, int(math.Round(expected*v.base)), r.PromptTokens+e.P90
	maxDuration := time.Duration(0)
	if limit > 0 {
		maxDuration = time.Duration(limitRatio * float64(unit))
	}
	e.Survival = newSurvival(&v.distribution, unit, maxDuration)
	return e
}

// Observe learns from a request that has ended, and returns the ratio of its observed cost to
// the prediction for it, or 0 if nothing is learned.
func (p *Predictor) Observe(now time.Duration, r Request, result Result) float64 {
	observed := r.observed(result)
	if observed <= 0 {
		return 0
	}
	k := r.keys()
	withHint, withoutHint := p.evidenceFor(now, r, k, true), p.evidenceFor(now, r, k, false)
	hintError := math.Log2(observed / (withHint.base * withHint.distribution.quantile(0.5)))
	meanError := math.Log2(observed / (withoutHint.base * withoutHint.distribution.quantile(0.5)))
	if result.Incomplete && hintError < 0 {
		return 0 // the request could have reached its prediction
	}
	route := p.table.touch(k.route)
	usedError := hintError
	if route.skill.ignoresHints() {
		usedError = meanError
	}
	base := r.mean()
	p.observeEntry(now, route, observed/base)
	if hint := r.hint(); hint > 0 {
		route.skill.add(hintError, meanError)
		base = hint
	}
	p.observeEntry(now, p.table.touch(k.shape), observed/base)
	if r.Account != "" {
		p.observeEntry(now, p.table.touch(k.account), observed/base)
	}
	if !r.isPlain() && !result.Incomplete && result.Took > 0 && r.TokenTime > 0 {
		route.addTimeRatio(result.Took.Seconds() / (float64(result.OutputTokens) * r.TokenTime.Seconds()))
	}
	p.table.expire(now)
	return math.Exp2(usedError)
}

func (p *Predictor) observeEntry(now time.Duration, e *entry, ratio float64) {
	if e.observe(now, math.Log2(ratio)) {
		p.drifts++
	}
}

// addTimeRatio adds a ratio of observed to configured time per token.
func (e *entry) addTimeRatio(ratio float64) {
	ratio = min(max(ratio, minTimeRatio), maxTimeRatio)
	if e.timeRatio == 0 {
		e.timeRatio = 1
	}
	e.timeRatio += timeShare * (ratio - e.timeRatio)
}
