package burnrate

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// maxEncodedHistogramBytes limits an encoded histogram received from another
// process.
const maxEncodedHistogramBytes = 256 << 10

// Series contains the counts of one key, objective and window, as exchanged between
// processes. Histogram contains latencies in milliseconds in the compressed
// HdrHistogram V2 encoding. It is only set in the sums over all accounts for the
// window of one hour.
type Series struct {
	Key
	Objective Objective
	Window    Window
	Count
	Histogram []byte
}

// Series returns the sums over all accounts and the series of the given accounts. It
// leaves out windows without events, unless there is a histogram.
func (r *Recorder) Series(accounts []string) ([]Series, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	var list []Series
	for k, s := range r.series {
		if k.Account != AllAccounts && !slices.Contains(accounts, k.Account) {
			continue
		}
		for i, o := range Objectives() {
			for _, w := range Windows() {
				next := Series{Key: k, Objective: o, Window: w, Count: s.objectives[i].window(now, w)}
				// The histogram covers a longer period than the counts of the window,
				// so it may contain events although Total is zero.
				if w == Hour && s.histograms != nil {
					encoded, err := encodeHistogram(s.histograms[i].merged(now))
					if err != nil {
						return nil, err
					}
					next.Histogram = encoded
				}
				if next.Total > 0 || len(next.Histogram) > 0 {
					list = append(list, next)
				}
			}
		}
	}
	return list, nil
}

// Totals returns the sums over all accounts without histograms. It includes windows
// without events.
func (r *Recorder) Totals() []Series {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	var list []Series
	for k, s := range r.totals {
		for i, o := range Objectives() {
			for _, w := range Windows() {
				list = append(list, Series{Key: k, Objective: o, Window: w, Count: s.objectives[i].window(now, w)})
			}
		}
	}
	return list
}

func encodeHistogram(h *hdrhistogram.Histogram) ([]byte, error) {
	if h == nil || h.TotalCount() == 0 {
		return nil, nil
	}
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return data, eris.Wrap(err, "encode histogram")
}

// Line is one objective of one series, summed over all processes.
type Line struct {
	Key
	Objective Objective
	Counts    map[Window]Count
	Latency   *hdrhistogram.Histogram
}

// Report sums up the series of several processes.
type Report struct {
	lines map[lineKey]*Line
}

type lineKey struct {
	Key
	objective Objective
}

// NewReport returns an empty report.
func NewReport() *Report { return &Report{lines: map[lineKey]*Line{}} }

// Add merges a series of one process. It rejects an unknown objective or window,
// contradictory counts and a histogram that is invalid or too large.
func (r *Report) Add(s Series) error {
	if !slices.Contains(Objectives(), s.Objective) || !slices.Contains(Windows(), s.Window) {
		return eris.Errorf("objective %q or window %d is not known", s.Objective, s.Window)
	}
	if s.Good < 0 || s.Good > s.Total {
		return eris.Errorf("%d good of %d events", s.Good, s.Total)
	}
	latency, err := decodeHistogram(s.Histogram)
	if err != nil {
		return err
	}
	key := lineKey{s.Key, s.Objective}
	line, ok := r.lines[key]
	if !ok {
		line = &Line{Key: s.Key, Objective: s.Objective, Counts: map[Window]Count{}, Latency: newHistogram()}
		r.lines[key] = line
	}
	sum := line.Counts[s.Window]
	line.Counts[s.Window] = Count{Good: sum.Good + s.Good, Total: sum.Total + s.Total}
	if latency != nil {
		line.Latency.Merge(latency)
	}
	return nil
}

// decodeHistogram rejects a histogram with a larger range or higher precision than
// newHistogram, which no process of this version sends. The check follows the
// decoding, whose memory only maxEncodedHistogramBytes and the library bound.
func decodeHistogram(data []byte) (h *hdrhistogram.Histogram, err error) {
	if len(data) == 0 {
		return nil, nil
	}
	if len(data) > maxEncodedHistogramBytes {
		return nil, eris.Errorf("histogram of %d bytes; accepted: up to %d", len(data), maxEncodedHistogramBytes)
	}
	h, err = hdrhistogram.Decode(data)
	if err != nil {
		return nil, eris.Wrap(err, "decode histogram")
	}
	if h.HighestTrackableValue() > maxLatencyMillis || h.SignificantFigures() > significantDigits {
		return nil, eris.New("histogram has a larger range or a higher precision than accepted")
	}
	return h, nil
}

// Lines returns the lines of the report. Sums over all accounts come first.
func (r *Report) Lines() []Line {
	var list []Line
	for _, l := range r.lines {
		list = append(list, *l)
	}
	slices.SortFunc(list, func(a, b Line) int {
		return cmp.Or(
			cmp.Compare(accountRank(a), accountRank(b)), cmp.Compare(a.Account, b.Account),
			cmp.Compare(a.Service, b.Service), cmp.Compare(len(a.Class), len(b.Class)),
			cmp.Compare(a.Class, b.Class), cmp.Compare(a.Objective, b.Objective))
	})
	return list
}

func accountRank(l Line) int {
	if l.Account == AllAccounts {
		return 0
	}
	return 1
}

// BurnRate returns the burn rate in a window.
func (l Line) BurnRate(w Window) float64 { return l.Counts[w].BurnRate(l.Objective) }

// Alert returns the name of the first matching alert rule, fast or slow, or an
// empty string.
func (l Line) Alert() string {
	for _, rule := range alertRules {
		if l.BurnRate(rule.shortWindow) >= rule.threshold && l.BurnRate(rule.longWindow) >= rule.threshold {
			return rule.name
		}
	}
	return ""
}
