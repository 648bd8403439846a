package cost

import (
	"container/list"
	"math"
	"time"
)

const (
	// recentShare is the weight of a new observation in the recent ratio. The mean then
	// follows a change within about ten observations.
	recentShare = 0.1
	// driftMargin and driftDeviations give the recent log2 ratio of observed cost to the entry's
	// mean from which a change is assumed. The recent ratio has 0.23 times the deviation of one
	// observation, so that 0.75 deviations are exceeded by chance in one of 1,000 cases. The
	// margin covers the width of a bin.
	driftMargin     = 0.35
	driftDeviations = 0.75
	// minDriftSamples is the number of observations before a change is assumed.
	minDriftSamples = 8
	// driftKeep is the share of its weight that a histogram keeps after a change.
	driftKeep = 0.1
)

// entry holds what is known for one key.
type entry struct {
	key uint32
	own histogram
	// recentLog2 is the recent mean log2 ratio of observed cost to the mean of own, over
	// recentCount observations since the last change.
	recentLog2  float64
	recentCount int
	shared      sharedSummary
	// changes counts the observations since the entry was last sent at sentAt.
	changes int
	sentAt  time.Duration
	// skill compares hints with the route's mean. It is used in the entries of routes only.
	skill skill
	// timeRatio is the decaying mean of observed to configured time per token, in the
	// entries of routes only; 0 if unknown.
	timeRatio float64
}

// observe adds the log2 ratio of an observation. It reports whether a change of the costs was
// detected.
func (e *entry) observe(now time.Duration, log2Ratio float64) (drifted bool) {
	e.changes++
	if e.own.total >= minDriftSamples {
		mean, deviation := e.own.center()
		e.recentCount++
		e.recentLog2 += max(recentShare, 1/float64(e.recentCount)) * (log2Ratio - mean - e.recentLog2)
		if e.recentCount >= minDriftSamples && math.Abs(e.recentLog2) > driftMargin+driftDeviations*deviation {
			e.own.scale(driftKeep)
			e.recentLog2, e.recentCount = 0, 0
			drifted = true
		}
	}
	e.own.add(now, log2Ratio)
	return drifted
}

// sharedSummary is what other hosts have reported for a key: a decaying weighted mean over
// their reports.
type sharedSummary struct {
	mean, deviation float64
	weight          float32
	updatedAt       time.Duration
	// cached holds the distribution of the summary unless isStale is set.
	cached  bins
	isStale bool
}

// weightAt returns what is left of the weight.
func (s *sharedSummary) weightAt(now time.Duration) float32 {
	if s.weight == 0 {
		return 0
	}
	return s.weight * float32(math.Exp(-float64(max(0, now-s.updatedAt))/float64(retention)))
}

// merge moves the summary toward a reported one. Repeated reports do not add up: the weight is
// at most the largest reported one.
func (s *sharedSummary) merge(now time.Duration, mean, deviation float64, samples float32) {
	weight := s.weightAt(now)
	share := float64(samples / (samples + weight))
	s.mean += share * (mean - s.mean)
	s.deviation += share * (deviation - s.deviation)
	s.weight, s.updatedAt, s.isStale = max(weight, samples), now, true
}

func (s *sharedSummary) distribution() *bins {
	if s.isStale {
		s.cached, s.isStale = spread(s.mean, max(s.deviation, minDeviation)), false
	}
	return &s.cached
}

// minDeviation is the least deviation, in octaves, of a reported distribution.
const minDeviation = 0.25

// skill tells whether hints predict better than the route's mean.
type skill struct {
	hintError, meanError float64
	count                int
}

const (
	// skillShare is the weight of a new observation in the mean errors.
	skillShare = 0.02
	// minSkillSamples is the number of observations before hints are ignored.
	minSkillSamples = 30
	// skillMargin is the difference of the errors, in octaves, from which hints are ignored. The
	// width of the bins causes differences of up to 0.25 for outputs of one length.
	skillMargin = 0.2
)

// add records the absolute errors of both predictions in octaves.
func (s *skill) add(hintError, meanError float64) {
	s.count++
	weight := max(skillShare, 1/float64(s.count))
	s.hintError += weight * (math.Abs(hintError) - s.hintError)
	s.meanError += weight * (math.Abs(meanError) - s.meanError)
}

// ignoresHints reports whether hints make predictions worse.
func (s *skill) ignoresHints() bool {
	return s.count >= minSkillSamples && s.hintError > s.meanError+skillMargin
}

// table holds a bounded number of entries. The one observed least recently is replaced first.
type table struct {
	maxEntries int
	entries    map[uint32]*list.Element
	// order holds the entries, the most recently observed one first.
	order *list.List
}

func newTable(maxEntries int) table {
	return table{maxEntries: maxEntries, entries: map[uint32]*list.Element{}, order: list.New()}
}

func (t *table) get(key uint32) *entry {
	if e, ok := t.entries[key]; ok {
		return e.Value.(*entry)
	}
	return nil
}

// touch returns the entry of a key, which it creates if necessary.
func (t *table) touch(key uint32) *entry {
	if e, ok := t.entries[key]; ok {
		t.order.MoveToFront(e)
		return e.Value.(*entry)
	}
	if t.order.Len() >= t.maxEntries {
		oldest := t.order.Back()
		delete(t.entries, oldest.Value.(*entry).key)
		t.order.Remove(oldest)
	}
	e := &entry{key: key}
	t.entries[key] = t.order.PushFront(e)
	return e
}

// getOrAppend returns the entry of a key, or adds it as the first one to replace. It returns
// nil if the table is full.
func (t *table) getOrAppend(key uint32) *entry {
	if e := t.get(key); e != nil {
		return e
	}
	if t.order.Len() >= t.maxEntries {
		return nil
	}
	e := &entry{key: key}
	t.entries[key] = t.order.PushBack(e)
	return e
}

// expire removes the entries at the end of the order that have nothing left to say.
func (t *table) expire(now time.Duration) {
	for last := t.order.Back(); last != nil; last = t.order.Back() {
		e := last.Value.(*entry)
		if now-max(e.own.updatedAt, e.shared.updatedAt) < expiry {
			return
		}
		delete(t.entries, e.key)
		t.order.Remove(last)
	}
}

// expiry is the time after which an entry without observations or reports is removed.
const expiry = 5 * retention
