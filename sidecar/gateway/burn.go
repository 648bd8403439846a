package gateway

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinstand.example/coord/admission"
	"siskinstand.example/peerpb"
)

const (
	// burnWindow is the window of the counts. The present and the previous
	// window are kept, so that a reading covers between one and two windows.
	burnWindow = 5 * time.Minute
	// maxBurnSeries bounds the series; further accounts count as account "".
	maxBurnSeries = 2_048
	// Objectives of docs/design.md, section 1.
	firstTokenTarget = 500 * time.Millisecond
	tokenGapTarget   = 50 * time.Millisecond
	// Histograms are in microseconds with two significant digits.
	maxLatency      = 10 * time.Minute
	latencyAccuracy = 2
)

type objective string

const (
	objectiveFirstToken objective = "first_token"
	objectiveTokenGap   objective = "token_gap"
	objectiveAnswered   objective = "answered"
)

type burnKey struct {
	account   string
	model     string
	class     admission.Class
	objective objective
}

type burnCount struct {
	good, total int64
	latency     *hdrhistogram.Histogram
}

// burn counts how often attempts met the service levels at this endpoint.
type burn struct {
	mu       sync.Mutex
	rotated  time.Time
	present  map[burnKey]*burnCount
	previous map[burnKey]*burnCount
}

func newBurn() *burn {
	return &burn{rotated: time.Now(), present: map[burnKey]*burnCount{}}
}

func (b *burn) record(key burnKey, good bool, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.rotated) >= burnWindow {
		b.previous, b.present, b.rotated = b.present, map[burnKey]*burnCount{}, now
	}
	if b.present[key] == nil && len(b.present) >= maxBurnSeries {
		key.account = ""
	}
	c := b.present[key]
	if c == nil {
		c = &burnCount{latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyAccuracy)}
		b.present[key] = c
	}
	c.total++
	if good {
		c.good++
	}
	_ = c.latency.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds())
}

func (a *attempt) burnKey(o objective) burnKey {
	return burnKey{account: a.offer.Account, model: a.offer.Model, class: admission.ClassOf(a.offer.PromptTokens), objective: o}
}

func (b *burn) firstToken(a *attempt) {
	latency := time.Since(a.arrived)
	b.record(a.burnKey(objectiveFirstToken), latency <= firstTokenTarget, latency)
}

func (b *burn) tokenGap(a *attempt, gap time.Duration) {
	b.record(a.burnKey(objectiveTokenGap), gap <= tokenGapTarget, gap)
}

func (b *burn) answered(a *attempt, err error) {
	b.record(a.burnKey(objectiveAnswered), err == nil, time.Since(a.arrived))
}

// series encodes the previous and the present window together.
func (b *burn) series() []*peerpb.BurnSeries {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*peerpb.BurnSeries
	for key, c := range b.present {
		list = append(list, encode(key, c, b.previous[key]))
	}
	for key, c := range b.previous {
		if b.present[key] == nil {
			list = append(list, encode(key, c, nil))
		}
	}
	return list
}

func encode(key burnKey, c, older *burnCount) *peerpb.BurnSeries {
	series := &peerpb.BurnSeries{
		Account: key.account, Service: key.model, Class: string(key.class), Objective: string(key.objective),
		WindowS: int64((2 * burnWindow).Seconds()), Good: c.good, Total: c.total,
	}
	all := hdrhistogram.Import(c.latency.Export())
	if older != nil {
		series.Good += older.good
		series.Total += older.total
		all.Merge(older.latency)
	}
	// An encoding error leaves the series without its histogram.
	series.Histogram, _ = all.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return series
}
