// Package ramp sets the concurrency limit of an endpoint from evidence. The
// limit starts low, grows while first tokens come at the expected speed and
// falls when they do not, whatever the uptime.
package ramp

import (
	"math"
	"math/bits"
	"time"
)

// Config bounds a Limiter. Limits are reserved tokens in flight.
type Config struct {
	FloorTokens   int64
	CeilingTokens int64
	// NominalRate is the expected prefill speed in tokens a second before any
	// first token was seen.
	NominalRate float64
	// BaseLatency is the part of a first token's time that does not depend on
	// the prompt's length.
	BaseLatency time.Duration
	// IdleHalvingInterval is the time without evidence after which the limit halves,
	// because an idle endpoint may have turned cold.
	IdleHalvingInterval time.Duration
	// WarmTokens is the prompt tokens that must have come on time since the
	// last contrary evidence before the limit grows fast. From then on it grows
	// at a light load too, because it would otherwise keep out long prompts on
	// an endpoint that short ones never fill.
	WarmTokens int64
}

// DefaultConfig returns the bounds for an engine with the given memory. The
// floor is one prompt of the 4k class with an answer of the same length,
// because cold engines handle only a small load.
func DefaultConfig(totalTokens int64, nominalRate float64) Config {
	return Config{
		FloorTokens: min(8_192, totalTokens), CeilingTokens: totalTokens, NominalRate: nominalRate,
		BaseLatency: 100 * time.Millisecond, IdleHalvingInterval: 5 * time.Minute, WarmTokens: 131_072,
	}
}

const (
	// onTimeFactor and lateFactor separate first tokens that raise the limit
	// from those that lower it. Length estimates are wrong by up to 40% and
	// engines vary by a factor of two, so smaller factors would react to noise.
	onTimeFactor = 2.0
	lateFactor   = 3.0
	// farLateFactor lowers the limit to the floor at once.
	farLateFactor = 8.0
	// coldGain is the growth of the limit as a share of the prompts that came
	// on time until WarmEvidence is reached. With the defaults the limit stays
	// below twice the floor until then.
	coldGain = 0.05
	// cutInterval lets work admitted under the old limit drain between cuts.
	cutInterval = 500 * time.Millisecond
	// baselineWeight is small so that a cold engine is noticed long before the
	// expectation has followed it. Samples count at most twofold either way,
	// which keeps cached prefixes from raising the expectation.
	baselineWeight = 0.02
	maxSampleStep  = math.Ln2
	// The rate is measured over about rateWindow in which prompts are in
	// flight, and from rateMinimum on. A window shorter than the prefill of
	// the longest prompts would swing with each of them.
	rateWindow  = 20 * time.Second
	rateMinimum = 500 * time.Millisecond
	// minSampleTokens is the least prefill work from which a rate is learnt;
	// below it the base latency dominates.
	minSampleTokens = 512
)

// Limiter is the concurrency limit of one endpoint.
type Limiter struct {
	config    Config
	limit     float64
	threshold float64
	baseline  float64
	measured  time.Time
	busy      time.Duration
	prefilled float64
	flights   map[string]*flight
	// pending sums the prompts of flights by the binary length of the prompt.
	pending  [65]int64
	lastCut  time.Time
	evidence time.Time
	// warm counts the prompt tokens that came on time since the last cut.
	warm int64
}

// flight is an admitted item without a first token.
type flight struct {
	admitted time.Time
	prompt   int64
	cost     int64
	work     float64
	expected time.Duration
	// latest is the time if the engine runs everything in flight first, in
	// whatever order. Only a later first token speaks against the engine:
	// admission gives aged prompts a priority that the lengths do not show.
	latest   time.Duration
	utilised bool
	overdue  bool
}

// New returns a limiter at its floor.
func New(now time.Time, c Config) *Limiter {
	l := &Limiter{config: c, baseline: c.NominalRate}
	l.Reset(now)
	return l
}

// Reset returns to the floor, as for an endpoint that has just started.
func (l *Limiter) Reset(now time.Time) {
	l.limit = float64(l.config.FloorTokens)
	l.threshold = float64(l.config.CeilingTokens)
	l.flights = map[string]*flight{}
	clear(l.pending[:])
	l.measured, l.busy, l.prefilled = now, 0, 0
	l.lastCut, l.evidence = now, now
	l.warm = 0
}

// Limit returns the tokens that may be in flight.
func (l *Limiter) Limit() int64 { return int64(l.limit) }

// PrefillRate returns the present prefill speed in tokens a second; 0 means
// that it is not known.
func (l *Limiter) PrefillRate() float64 {
	if l.busy < rateMinimum || l.prefilled == 0 {
		return l.baseline
	}
	return l.prefilled / l.busy.Seconds()
}

// measure counts the time since the last event and reports whether it counted.
// It does so only while the prompts in flight need more than the base latency,
// which dominates below that.
func (l *Limiter) measure(now time.Time) bool {
	loaded := l.baseline > 0 && l.prefillTime(float64(l.inFlight())) > l.config.BaseLatency
	if loaded && now.After(l.measured) {
		l.busy += now.Sub(l.measured)
	}
	l.measured = now
	if l.busy > rateWindow {
		l.busy /= 2
		l.prefilled /= 2
	}
	return loaded
}

// inFlight returns the prompt tokens without a first token.
func (l *Limiter) inFlight() int64 {
	sum := int64(0)
	for _, tokens := range l.pending {
		sum += tokens
	}
	return sum
}

// RecordAdmission records an item that is handed to the engine. inFlight is the sum
// of reserved tokens with it.
func (l *Limiter) RecordAdmission(now time.Time, id string, promptTokens, cost, inFlight int64) {
	l.measure(now)
	f := &flight{admitted: now, prompt: promptTokens, cost: cost, utilised: float64(inFlight) >= l.limit/2}
	f.work = float64(promptTokens)
	// Prompts of more than four times the length have a lower priority in the
	// engine.
	for _, tokens := range l.pending[:min(sizeOf(promptTokens)+3, len(l.pending))] {
		f.work += float64(tokens)
	}
	f.expected = l.config.BaseLatency + l.prefillTime(f.work)
	f.latest = l.config.BaseLatency + l.prefillTime(float64(l.inFlight()+promptTokens))
	l.remove(id)
	l.delayLonger(promptTokens)
	l.flights[id] = f
	l.pending[sizeOf(promptTokens)] += promptTokens
}

// delayLonger adds a new prompt to the work before the longer prompts in
// flight, which it overtakes in the engine. Without it, a long prompt among
// short ones looks late on a warm engine.
func (l *Limiter) delayLonger(promptTokens int64) {
	for _, other := range l.flights {
		if other.prompt > promptTokens {
			other.work += float64(promptTokens)
			other.expected += l.prefillTime(float64(promptTokens))
			other.latest += l.prefillTime(float64(promptTokens))
		}
	}
}

func (l *Limiter) prefillTime(tokens float64) time.Duration {
	if l.baseline <= 0 {
		return 0
	}
	return time.Duration(tokens / l.baseline * float64(time.Second))
}

func sizeOf(promptTokens int64) int { return bits.Len64(uint64(max(promptTokens, 0))) }

func (l *Limiter) remove(id string) {
	if f := l.flights[id]; f != nil {
		l.pending[sizeOf(f.prompt)] -= f.prompt
		delete(l.flights, id)
	}
}

// RecordFirstToken is the evidence of one item.
func (l *Limiter) RecordFirstToken(now time.Time, id string) {
	f := l.flights[id]
	if f == nil {
		return
	}
	if l.measure(now) {
		l.prefilled += float64(f.prompt)
	}
	l.remove(id)
	elapsed := now.Sub(f.admitted)
	known := l.baseline > 0
	l.learn(f, elapsed)
	if !known {
		return
	}
	l.evidence = now
	late := float64(elapsed) / float64(f.latest)
	switch {
	case late > lateFactor:
		if !f.overdue {
			l.cut(now, late)
		}
	case float64(elapsed) <= onTimeFactor*float64(f.expected):
		l.warm += f.prompt
		if f.utilised || l.warm >= l.config.WarmTokens {
			l.grow(f)
		}
	}
}

func (l *Limiter) grow(f *flight) {
	step := float64(f.cost)
	switch {
	case l.warm < l.config.WarmTokens:
		step = coldGain * float64(f.prompt)
	case l.limit >= l.threshold:
		step *= min(step/l.limit, 1)
	}
	l.limit = min(l.limit+step, float64(l.config.CeilingTokens))
}

func (l *Limiter) cut(now time.Time, late float64) {
	if now.Sub(l.lastCut) < cutInterval {
		return
	}
	l.lastCut, l.evidence, l.warm = now, now, 0
	l.threshold = max(l.limit/2, float64(l.config.FloorTokens))
	l.limit = l.threshold
	if late > farLateFactor {
		l.limit = float64(l.config.FloorTokens)
	}
}

// learn follows the prefill speed. A first token that comes within the base
// latency says nothing of the speed, unless it is late all the same.
func (l *Limiter) learn(f *flight, elapsed time.Duration) {
	if f.work < minSampleTokens {
		return
	}
	sample := f.work / max(elapsed, time.Millisecond).Seconds()
	if l.baseline <= 0 {
		l.baseline = sample
		return
	}
	if f.expected < 2*l.config.BaseLatency && elapsed <= f.expected {
		return
	}
	step := math.Log(sample / l.baseline)
	l.baseline *= math.Exp(baselineWeight * min(max(step, -maxSampleStep), maxSampleStep))
}

// RecordEnd forgets an item. A failure of the engine lowers the limit, because a
// cold endpoint fails under load that a warm one takes.
func (l *Limiter) RecordEnd(now time.Time, id string, engineFailed bool) {
	l.measure(now)
	l.remove(id)
	if engineFailed {
		l.cut(now, lateFactor)
	}
}

// Tick treats first tokens that are overdue as evidence before they arrive and
// lowers the limit of an endpoint that has been idle for long.
func (l *Limiter) Tick(now time.Time) {
	for _, f := range l.flights {
		late := float64(now.Sub(f.admitted)) / float64(f.latest)
		if late > lateFactor && !f.overdue && l.baseline > 0 {
			f.overdue = true
			l.cut(now, late)
		}
	}
	if len(l.flights) > 0 || now.Sub(l.evidence) < l.config.IdleHalvingInterval {
		return
	}
	l.evidence, l.warm = now, 0
	l.limit = max(l.limit/2, float64(l.config.FloorTokens))
}
