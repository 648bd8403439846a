// Package ramp adapts the concurrency limit of an endpoint to the observed
// latency of first tokens. The limit starts low, grows while first tokens
// arrive at the expected speed and falls when they do not, whatever the uptime.
package ramp

import (
	"math"
	"math/bits"
	"time"
)

// Config bounds a Limiter. Limits are in reserved tokens in flight.
type Config struct {
	FloorTokens   int64
	CeilingTokens int64
	// NominalRate is the initial value of the expected prefill rate, in tokens
	// per second, which first tokens then adapt; 0 means unknown.
	NominalRate float64
	// BaseLatency is the part of the time to the first token that does not
	// depend on the length of the prompt.
	BaseLatency time.Duration
	// IdleHalvingInterval is the time without evidence after which the limit is
	// halved, because an idle endpoint may have become cold.
	IdleHalvingInterval time.Duration
	// WarmTokens is the number of prompt tokens that must have been on time
	// since the last decrease before the limit grows fast. From then on it also
	// grows under light load; otherwise it would keep long prompts out of an
	// endpoint that short ones never fill.
	WarmTokens int64
}

// DefaultConfig returns the settings for an engine with the given memory. The
// floor is one prompt of the 4k class with an answer of the same length,
// because cold engines handle only a small load.
func DefaultConfig(totalTokens int64, nominalRate float64) Config {
	return Config{
		FloorTokens: min(8_192, totalTokens), CeilingTokens: totalTokens, NominalRate: nominalRate,
		BaseLatency: 100 * time.Millisecond, IdleHalvingInterval: 5 * time.Minute, WarmTokens: 131_072,
	}
}

const (
	// A first token within onTimeFactor times its expected latency can raise the
	// limit, one after lateFactor times its worst latency lowers it. Length
	// estimates are wrong by up to 40% and engines vary by a factor of two, so
	// smaller factors would react to noise.
	onTimeFactor = 2.0
	lateFactor   = 3.0
	// veryLateFactor is the multiple of the worst latency after which the limit
	// drops to the floor at once.
	veryLateFactor = 8.0
	// coldGrowthShare is the growth of the limit, as a share of the prompt
	// tokens that were on time, until WarmTokens is reached. With the defaults
	// the limit stays below twice the floor until then.
	coldGrowthShare = 0.05
	// decreaseInterval is the minimum time between decreases. It lets items
	// admitted under the old limit drain.
	decreaseInterval = 500 * time.Millisecond
	// expectedRateWeight is small so that a cold engine is detected long before the
	// expected rate has adapted to it. maxLogStep clamps samples to between half and
	// twice the expected rate, so that cached prefixes hardly raise it.
	expectedRateWeight = 0.02
	maxLogStep         = math.Ln2
	// The rate is averaged over about rateWindow of the time that addBusyTime
	// counts, and only after minRateWindow of it. A window shorter than the
	// prefill of the longest prompts would fluctuate with each of them.
	rateWindow    = 20 * time.Second
	minRateWindow = 500 * time.Millisecond
	// minSampleTokens is the smallest amount of prefill from which a rate is
	// learned; below it the base latency dominates.
	minSampleTokens = 512
)

// Limiter maintains the concurrency limit of one endpoint.
type Limiter struct {
	config             Config
	limit              float64
	slowStartThreshold float64
	expectedRate       float64
	lastEvent          time.Time
	busyTime           time.Duration
	prefilledTokens    float64
	items              map[string]*inFlightItem
	// pendingBySize sums the prompt tokens of the items by the bit length of
	// the prompt size.
	pendingBySize [65]int64
	lastDecrease  time.Time
	lastEvidence  time.Time
	// onTimeTokens counts the prompt tokens that were on time since the limit was
	// last lowered.
	onTimeTokens int64
}

// inFlightItem is an admitted item without a first token.
type inFlightItem struct {
	admittedAt   time.Time
	promptTokens int64
	cost         int64
	// workTokens is the prefill expected to run up to the item's first token:
	// its own prompt and those that the engine runs before it. expectedLatency
	// is the predicted latency of this work.
	workTokens      float64
	expectedLatency time.Duration
	// worstLatency is the predicted latency if the engine runs everything in
	// flight first, in whatever order. Lateness is relative to it and not to
	// expectedLatency, because admission gives aged prompts a priority that
	// cannot be inferred from the prompt lengths.
	worstLatency time.Duration
	// highUtilization is set if at least half of the limit was in flight at
	// admission; overdue is set once Tick has counted the item as late.
	highUtilization bool
	overdue         bool
}

// New returns a limiter at its floor.
func New(now time.Time, c Config) *Limiter {
	l := &Limiter{config: c, expectedRate: c.NominalRate}
	l.Reset(now)
	return l
}

// Reset lowers the limit to the floor, as for an endpoint that has just
// started, and forgets the items in flight and the measured rate. The expected
// rate stays.
func (l *Limiter) Reset(now time.Time) {
	l.limit = float64(l.config.FloorTokens)
	l.slowStartThreshold = float64(l.config.CeilingTokens)
	l.items = map[string]*inFlightItem{}
	clear(l.pendingBySize[:])
	l.lastEvent, l.busyTime, l.prefilledTokens = now, 0, 0
	l.lastDecrease, l.lastEvidence = now, now
	l.onTimeTokens = 0
}

// Limit returns the number of tokens that may be in flight.
func (l *Limiter) Limit() int64 { return int64(l.limit) }

// PrefillRate returns the measured prefill rate in tokens per second, or the
// expected one while too little has been measured; 0 means unknown.
func (l *Limiter) PrefillRate() float64 {
	if l.busyTime < minRateWindow || l.prefilledTokens == 0 {
		return l.expectedRate
	}
	return l.prefilledTokens / l.busyTime.Seconds()
}

// addBusyTime adds the time since the last event to the busy time if the engine was
// loaded, and reports whether it was. It counts as loaded only while the prompts
// in flight need more than the base latency, which dominates below that.
func (l *Limiter) addBusyTime(now time.Time) (loaded bool) {
	loaded = l.expectedRate > 0 && l.prefillTime(float64(l.pendingTokens())) > l.config.BaseLatency
	if loaded && now.After(l.lastEvent) {
		l.busyTime += now.Sub(l.lastEvent)
	}
	l.lastEvent = now
	if l.busyTime > rateWindow {
		l.busyTime /= 2
		l.prefilledTokens /= 2
	}
	return loaded
}

// pendingTokens returns the sum of the prompts without a first token, in tokens.
func (l *Limiter) pendingTokens() int64 {
	sum := int64(0)
	for _, tokens := range l.pendingBySize {
		sum += tokens
	}
	return sum
}

// RecordAdmission records an item that is sent to the engine. inFlightTokens is
// the sum of the reserved tokens including the item.
func (l *Limiter) RecordAdmission(now time.Time, id string, promptTokens, cost, inFlightTokens int64) {
	l.addBusyTime(now)
	item := &inFlightItem{admittedAt: now, promptTokens: promptTokens, cost: cost, highUtilization: float64(inFlightTokens) >= l.limit/2}
	item.workTokens = float64(promptTokens)
	// Prompts of more than four times the length have a lower priority in the
	// engine. The buckets are powers of two, so that some prompts of up to eight
	// times the length are counted too.
	for _, tokens := range l.pendingBySize[:min(sizeBucket(promptTokens)+3, len(l.pendingBySize))] {
		item.workTokens += float64(tokens)
	}
	item.expectedLatency = l.config.BaseLatency + l.prefillTime(item.workTokens)
	item.worstLatency = l.config.BaseLatency + l.prefillTime(float64(l.pendingTokens()+promptTokens))
	l.remove(id)
	l.delayLongerPrompts(promptTokens)
	l.items[id] = item
	l.pendingBySize[sizeBucket(promptTokens)] += promptTokens
}

// delayLongerPrompts adds a new prompt to the work ahead of the longer prompts
// in flight, which it may overtake in the engine. Without it, a long prompt among
// short ones would look late on a warm engine.
func (l *Limiter) delayLongerPrompts(promptTokens int64) {
	for _, other := range l.items {
		if other.promptTokens > promptTokens {
			other.workTokens += float64(promptTokens)
			other.expectedLatency += l.prefillTime(float64(promptTokens))
			other.worstLatency += l.prefillTime(float64(promptTokens))
		}
	}
}

func (l *Limiter) prefillTime(tokens float64) time.Duration {
	if l.expectedRate <= 0 {
		return 0
	}
	return time.Duration(tokens / l.expectedRate * float64(time.Second))
}

func sizeBucket(promptTokens int64) int { return bits.Len64(uint64(max(promptTokens, 0))) }

func (l *Limiter) remove(id string) {
	if item := l.items[id]; item != nil {
		l.pendingBySize[sizeBucket(item.promptTokens)] -= item.promptTokens
		delete(l.items, id)
	}
}

// RecordFirstToken adjusts the limit and the rates to the latency of an item's
// first token.
func (l *Limiter) RecordFirstToken(now time.Time, id string) {
	item := l.items[id]
	if item == nil {
		return
	}
	if loaded := l.addBusyTime(now); loaded {
		l.prefilledTokens += float64(item.promptTokens)
	}
	l.remove(id)
	elapsed := now.Sub(item.admittedAt)
	rateWasKnown := l.expectedRate > 0
	l.updateExpectedRate(item, elapsed)
	if !rateWasKnown {
		return
	}
	l.lastEvidence = now
	lateness := float64(elapsed) / float64(item.worstLatency)
	switch {
	case lateness > lateFactor:
		if !item.overdue {
			l.decrease(now, lateness)
		}
	case float64(elapsed) <= onTimeFactor*float64(item.expectedLatency):
		l.onTimeTokens += item.promptTokens
		if item.highUtilization || l.onTimeTokens >= l.config.WarmTokens {
			l.increase(item)
		}
	}
}

func (l *Limiter) increase(item *inFlightItem) {
	step := float64(item.cost)
	switch {
	case l.onTimeTokens < l.config.WarmTokens:
		step = coldGrowthShare * float64(item.promptTokens)
	case l.limit >= l.slowStartThreshold:
		step *= min(step/l.limit, 1)
	}
	l.limit = min(l.limit+step, float64(l.config.CeilingTokens))
}

func (l *Limiter) decrease(now time.Time, lateness float64) {
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease, l.lastEvidence, l.onTimeTokens = now, now, 0
	l.slowStartThreshold = max(l.limit/2, float64(l.config.FloorTokens))
	l.limit = l.slowStartThreshold
	if lateness > veryLateFactor {
		l.limit = float64(l.config.FloorTokens)
	}
}

// updateExpectedRate adapts the expected prefill rate. If the expected latency is
// mostly base latency, only a first token that is later than expected says
// anything about the rate.
func (l *Limiter) updateExpectedRate(item *inFlightItem, elapsed time.Duration) {
	if item.workTokens < minSampleTokens {
		return
	}
	sample := item.workTokens / max(elapsed, time.Millisecond).Seconds()
	if l.expectedRate <= 0 {
		l.expectedRate = sample
		return
	}
	if item.expectedLatency < 2*l.config.BaseLatency && elapsed <= item.expectedLatency {
		return
	}
	logStep := math.Log(sample / l.expectedRate)
	l.expectedRate *= math.Exp(expectedRateWeight * min(max(logStep, -maxLogStep), maxLogStep))
}

// RecordEnd removes an item. A failure of the engine lowers the limit, because
// a cold endpoint fails under a load that a warm one sustains.
func (l *Limiter) RecordEnd(now time.Time, id string, engineFailed bool) {
	l.addBusyTime(now)
	l.remove(id)
	if engineFailed {
		l.decrease(now, lateFactor)
	}
}

// Tick counts overdue first tokens as evidence before they arrive, and lowers
// the limit of an endpoint that has been idle for long.
func (l *Limiter) Tick(now time.Time) {
	for _, item := range l.items {
		lateness := float64(now.Sub(item.admittedAt)) / float64(item.worstLatency)
		if lateness > lateFactor && !item.overdue && l.expectedRate > 0 {
			item.overdue = true
			l.decrease(now, lateness)
		}
	}
	if len(l.items) > 0 || now.Sub(l.lastEvidence) < l.config.IdleHalvingInterval {
		return
	}
	l.lastEvidence, l.onTimeTokens = now, 0
	l.limit = max(l.limit/2, float64(l.config.FloorTokens))
}
