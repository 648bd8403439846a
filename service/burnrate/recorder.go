package burnrate

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Key identifies a series. The series of AllAccounts is the sum over all accounts.
type Key struct {
	Account string
	Service string
	// Class is the length class of the prompt. It is empty for a plain service.
	Class string
}

// Names of aggregated accounts.
const (
	AllAccounts = "*"
	// OtherAccounts aggregates the accounts beyond the maximum number of series.
	OtherAccounts = "(other)"
)

// These limits bound the memory usage. A series takes about 1.5 KB.
const (
	DefaultMaxSeries = 40_000
	// maxTotals limits the number of sums over all accounts. There is one for each
	// service and class, with six histograms of about 16 KB each.
	maxTotals = 256
	// idleTimeout is the longest window. A series without events for longer than
	// this has none in any window, except that a window may still count the events
	// of up to coarseSlotLength before its start.
	idleTimeout = time.Duration(SixHours)
	// histogramPeriod is the interval between rotations of a histogram. With the
	// previous period, a histogram covers one to two hours.
	histogramPeriod   = time.Hour
	maxLatencyMillis  = 3_600_000
	significantDigits = 2
)

// Config configures a recorder. Zero values select the defaults.
type Config struct {
	MaxSeries int
	// Limits determines which events are good. A zero Default selects
	// DefaultLimits.
	Limits LimitTable
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
}

// series contains the counts of one key for all objectives and windows.
type series struct {
	lastEvent  time.Time
	objectives [objectiveCount]slotCounts
	// histograms is only set in the sums over all accounts.
	histograms *[objectiveCount]rotatingHistogram
}

// rotatingHistogram is a histogram of the current and the previous hour. Hours are
// aligned to the clock, so that the histograms of all processes cover the same
// time.
type rotatingHistogram struct {
	current, previous *hdrhistogram.Histogram
	hour              int64
}

// Recorder records the events of one process. It is safe for concurrent use.
type Recorder struct {
	config Config
	mu     sync.Mutex
	series map[Key]*series
	// totals contains the sums over all accounts, which are also in series.
	totals       map[Key]*series
	lastEviction time.Time
}

// New returns an empty recorder.
func New(c Config) *Recorder {
	c.MaxSeries = cmp.Or(c.MaxSeries, DefaultMaxSeries)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Limits.Default == (Limits{}) {
		c.Limits.Default = DefaultLimits()
	}
	return &Recorder{config: c, series: map[Key]*series{}, totals: map[Key]*series{}}
}

// RecordFirstToken records the time to the first token.
func (r *Recorder) RecordFirstToken(k Key, d time.Duration) {
	r.record(k, firstTokenIndex, d, d <= r.config.Limits.For(k).FirstToken, 1)
}

// RecordTokenGap records n tokens, each of which arrived d after the previous one.
func (r *Recorder) RecordTokenGap(k Key, d time.Duration, n int) {
	r.record(k, tokenGapIndex, d, d <= r.config.Limits.For(k).TokenGap, n)
}

// RecordAnswer records the end of an admitted request, its duration and whether
// its response was complete before the deadline.
func (r *Recorder) RecordAnswer(k Key, d time.Duration, isInTime bool) {
	r.record(k, answeredIndex, d, isInTime, 1)
}

func (r *Recorder) record(k Key, objectiveIndex int, d time.Duration, isGood bool, n int) {
	if n <= 0 {
		return
	}
	good := uint32(0)
	if isGood {
		good = uint32(n)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	for _, s := range []*series{r.getOrCreateSeries(now, k), r.getOrCreateTotal(now, k)} {
		if s == nil {
			continue
		}
		s.lastEvent = now
		s.objectives[objectiveIndex].add(now, good, uint32(n))
		if s.histograms != nil {
			s.histograms[objectiveIndex].record(now, d, int64(n))
		}
	}
}

// getOrCreateSeries returns the series of a key and creates it if necessary. If the
// maximum number of series is reached, it evicts idle series or else returns the
// series of OtherAccounts. It returns nil if that does not exist and the maximum is
// already exceeded by maxTotals series.
func (r *Recorder) getOrCreateSeries(now time.Time, k Key) *series {
	if s, ok := r.series[k]; ok {
		return s
	}
	if len(r.series) >= r.config.MaxSeries {
		r.evictIdle(now)
	}
	if len(r.series) >= r.config.MaxSeries {
		k.Account = OtherAccounts
		if s, ok := r.series[k]; ok {
			return s
		}
		if len(r.series) >= r.config.MaxSeries+maxTotals {
			return nil
		}
	}
	s := &series{lastEvent: now} // a series without events would count as idle
	r.series[k] = s
	return s
}

// getOrCreateTotal returns the sum over all accounts for the key's service and class,
// and creates it if necessary. It returns nil if maxTotals is reached and no idle
// series can be evicted.
func (r *Recorder) getOrCreateTotal(now time.Time, k Key) *series {
	k.Account = AllAccounts
	if s, ok := r.totals[k]; ok {
		return s
	}
	if len(r.totals) >= maxTotals {
		r.evictIdle(now)
	}
	if len(r.totals) >= maxTotals {
		return nil
	}
	s := &series{lastEvent: now, histograms: &[objectiveCount]rotatingHistogram{}}
	r.series[k], r.totals[k] = s, s
	return s
}

// evictIdle removes idle series. It does so at most once a minute.
func (r *Recorder) evictIdle(now time.Time) {
	if now.Sub(r.lastEviction) < time.Minute {
		return
	}
	r.lastEviction = now
	for k, s := range r.series {
		if now.Sub(s.lastEvent) > idleTimeout {
			delete(r.series, k)
			delete(r.totals, k)
		}
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMillis, significantDigits)
}

func (h *rotatingHistogram) rotate(now time.Time) {
	hour := now.Unix() / int64(histogramPeriod/time.Second)
	if h.current != nil && hour == h.hour {
		return
	}
	h.previous = nil
	if hour == h.hour+1 {
		h.previous = h.current
	}
	h.current, h.hour = newHistogram(), hour
}

func (h *rotatingHistogram) record(now time.Time, d time.Duration, n int64) {
	h.rotate(now)
	// The value is clamped to the histogram's range, so RecordValues cannot fail.
	_ = h.current.RecordValues(min(max(d.Milliseconds(), 1), maxLatencyMillis), n)
}

// merged returns the events of the current and the previous hour, or nil if none
// was ever recorded.
func (h *rotatingHistogram) merged(now time.Time) *hdrhistogram.Histogram {
	if h.current == nil {
		return nil
	}
	h.rotate(now)
	total := newHistogram()
	total.Merge(h.current)
	if h.previous != nil {
		total.Merge(h.previous)
	}
	return total
}

// WorstAccounts returns up to n accounts with bad events in the last hour, those
// with the most first.
func (r *Recorder) WorstAccounts(n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	bad := map[string]int64{}
	for k, s := range r.series {
		if k.Account == AllAccounts {
			continue
		}
		for i := range s.objectives {
			c := s.objectives[i].window(now, Hour)
			bad[k.Account] += c.Total - c.Good
		}
	}
	var names []string
	for name, count := range bad {
		if count > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(bad[b], bad[a]), cmp.Compare(a, b)) })
	return names[:min(max(n, 0), len(names))]
}
