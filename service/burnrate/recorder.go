package burnrate

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Key names a series. The account AllAccounts holds the sum of all accounts.
type Key struct {
	Account string
	Service string
	// Class is the length class of the prompt, empty for a plain service.
	Class string
}

// Names of the accounts that stand for several.
const (
	AllAccounts = "*"
	// OtherAccounts takes what no longer fits the bound of series.
	OtherAccounts = "(other)"
)

// Bounds of the memory. A series takes about 1.5 KB.
const (
	DefaultMaxSeries = 40_000
	// maxTotals bounds the sums over accounts, by service and class. Each has
	// six histograms of about 10 KB.
	maxTotals = 256
	// idleAfter is the longest window; a series without events for longer
	// holds nothing.
	idleAfter = time.Duration(SixHours)
	// histogramTurn is the time after which the older half of a histogram is
	// dropped, so that it covers one to two hours.
	histogramTurn = time.Hour
	maxMillis     = 3_600_000
	digits        = 2
)

// Config bounds a recorder. Zero values take the defaults.
type Config struct {
	MaxSeries int
	// Limits judges the events; a zero Default takes DefaultLimits.
	Limits LimitTable
	// Now is time.Now if nil.
	Now func() time.Time
}

type series struct {
	last       time.Time
	objectives [3]counts
	// histograms is nil except in the sums over accounts.
	histograms *[3]turning
}

// turning is a histogram of the present and the past hour. The hours are those
// of the clock, so that the histograms of processes cover the same time.
type turning struct {
	present, past *hdrhistogram.Histogram
	hour          int64
}

// Recorder counts the events of one process. It is safe for concurrent use.
type Recorder struct {
	config Config
	mu     sync.Mutex
	series map[Key]*series
	// totals are the sums over accounts, which are in series, too.
	totals map[Key]*series
	swept  time.Time
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
	r.record(k, 0, d, d <= r.config.Limits.For(k).FirstToken, 1)
}

// RecordTokenGap records n tokens that each arrived the given time after the one
// before.
func (r *Recorder) RecordTokenGap(k Key, d time.Duration, n int) {
	r.record(k, 1, d, d <= r.config.Limits.For(k).TokenGap, n)
}

// RecordAnswer records an admitted request: its duration, and whether its answer
// was complete before the deadline.
func (r *Recorder) RecordAnswer(k Key, d time.Duration, inTime bool) {
	r.record(k, 2, d, inTime, 1)
}

func (r *Recorder) record(k Key, objective int, d time.Duration, ok bool, n int) {
	if n <= 0 {
		return
	}
	good := uint32(0)
	if ok {
		good = uint32(n)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	for _, s := range []*series{r.find(now, k), r.total(now, k)} {
		if s == nil {
			continue
		}
		s.last = now
		s.objectives[objective].add(now, good, uint32(n))
		if s.histograms != nil {
			s.histograms[objective].record(now, d, int64(n))
		}
	}
}

// find returns the series of an account; when the bound is reached, that of
// all other accounts.
func (r *Recorder) find(now time.Time, k Key) *series {
	if s, ok := r.series[k]; ok {
		return s
	}
	if len(r.series) >= r.config.MaxSeries {
		r.sweep(now)
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
	s := &series{}
	r.series[k] = s
	return s
}

// total returns the sum over accounts, nil beyond the bound of sums.
func (r *Recorder) total(now time.Time, k Key) *series {
	k.Account = AllAccounts
	if s, ok := r.totals[k]; ok {
		return s
	}
	if len(r.totals) >= maxTotals {
		r.sweep(now)
	}
	if len(r.totals) >= maxTotals {
		return nil
	}
	s := &series{histograms: &[3]turning{}}
	r.series[k], r.totals[k] = s, s
	return s
}

// sweep forgets idle series, at most once a minute.
func (r *Recorder) sweep(now time.Time) {
	if now.Sub(r.swept) < time.Minute {
		return
	}
	r.swept = now
	for k, s := range r.series {
		if now.Sub(s.last) > idleAfter {
			delete(r.series, k)
			delete(r.totals, k)
		}
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMillis, digits) }

func (t *turning) turn(now time.Time) {
	hour := now.Unix() / int64(histogramTurn/time.Second)
	if t.present != nil && hour == t.hour {
		return
	}
	t.past = nil
	if hour == t.hour+1 {
		t.past = t.present
	}
	t.present, t.hour = newHistogram(), hour
}

func (t *turning) record(now time.Time, d time.Duration, n int64) {
	t.turn(now)
	// The value is cut to the range, so it cannot be refused.
	_ = t.present.RecordValues(min(max(d.Milliseconds(), 1), maxMillis), n)
}

func (t *turning) merged(now time.Time) *hdrhistogram.Histogram {
	if t.present == nil {
		return nil
	}
	t.turn(now)
	sum := newHistogram()
	sum.Merge(t.present)
	if t.past != nil {
		sum.Merge(t.past)
	}
	return sum
}

// WorstAccounts returns the n accounts with the most bad events within an hour.
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
