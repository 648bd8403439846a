package control

import (
	"cmp"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"siskinstand.example/coord/cost"
	"siskinstand.example/coord/placement"
	"siskinstand.example/edge/peer"
)

// CostEstimate is the predicted cost of a placed request.
type CostEstimate struct {
	Prefill time.Duration
	// Expected is the expected decoding time of a stream or duration of a plain call.
	Expected time.Duration
	// P10, P50 and P90 are quantiles of the output in tokens, or of the duration of a plain
	// call in microseconds.
	P10, P50, P90 int
	Samples       int
	Source        cost.Source
	// ByWork is set if the predicted rest of other requests has decided between replicas with
	// as many streams.
	ByWork bool
}

// LogFields returns the fields of a log line, or none while predictions are off.
func (e CostEstimate) LogFields() []any {
	if e.Source == "" {
		return nil
	}
	return []any{"cost_ms", e.Expected.Milliseconds(), "cost_p10", e.P10, "cost_p50", e.P50, "cost_p90", e.P90, "cost_samples", e.Samples, "cost_from", e.Source, "by_work", e.ByWork}
}

// costs predicts the costs of requests. It exists only if the setting cost_prediction is on.
type costs struct {
	predictor *cost.Predictor
	// running holds the requests that are at a replica, by assignment.
	running map[uint64]runningCost
	metrics costMetrics
}

// runningCost is a predicted request that is at a replica.
type runningCost struct {
	request cost.Request
	// tokensPerEvent is the number of output tokens of an event.
	tokensPerEvent int
	startedAt      time.Duration
	isRetry        bool
}

// costMetrics tell how good the predictions are. They are nil without a scope.
type costMetrics struct {
	streams, calls tally.Histogram
	off, changes   tally.Counter
	keys           tally.Gauge
}

const (
	// offRatio is the ratio of observed to predicted cost, or its inverse, from which a
	// prediction counts as off.
	offRatio = 2
	// minCostRatio and costRatioBuckets are the smallest bucket of the histogram and the
	// number of buckets, each of which is wider than the one before by the square root of two.
	minCostRatio     = 1.0 / 16
	costRatioBuckets = 17
)

func newCosts(scope tally.Scope) *costs {
	c := &costs{predictor: cost.New(cost.Config{}), running: map[uint64]runningCost{}}
	if scope == nil {
		return c
	}
	buckets := tally.MustMakeExponentialValueBuckets(minCostRatio, 1.4142, costRatioBuckets)
	c.metrics = costMetrics{
		streams: scope.Tagged(map[string]string{"kind": "stream"}).Histogram("cost_ratio", buckets),
		calls:   scope.Tagged(map[string]string{"kind": "call"}).Histogram("cost_ratio", buckets),
		off:     scope.Counter("cost_predictions_off"), changes: scope.Counter("cost_changes"), keys: scope.Gauge("cost_keys"),
	}
	return c
}

// enableCostPrediction switches predictions on.
func (l *Loop) enableCostPrediction() {
	l.costs = newCosts(l.config.Scope)
	l.config.Placement.RemainingWork = true
	l.config.Sections = append(l.config.Sections[:len(l.config.Sections):len(l.config.Sections)], costSection{l})
}

// predictCost predicts the cost of a request that has been placed, and its rest in the ledger.
func (l *Loop) predictCost(now time.Duration, req PlacementRequest, plan placement.Plan, a *Assignment) {
	if l.costs == nil {
		return
	}
	r := cost.Request{Route: req.Route, Account: req.Account}
	running := runningCost{tokensPerEvent: 1, startedAt: now, isRetry: req.IsRetry}
	if model, ok := l.models[req.Service.Name]; ok && req.Request.PromptTokens > 0 {
		running.tokensPerEvent = max(1, req.Service.Engine.StepsPerPass)
		r.PromptTokens, r.MaxOutputTokens, r.OutputHint = req.Request.PromptTokens, req.Request.OutputTokens, req.OutputHint
		r.MeanOutput = req.Service.Engine.MeanAnswerTokens
		r.Prefill = model.PartPrefill(r.PromptTokens, 1)
		r.TokenTime = model.PassTime(a.Load.Streams+1, a.Load.Tokens+r.PromptTokens) / time.Duration(running.tokensPerEvent)
	}
	e := l.costs.predictor.Predict(now, r)
	a.Cost = CostEstimate{Prefill: e.Prefill, Expected: e.Expected(), P10: e.P10, P50: e.P50, P90: e.P90, Samples: e.Samples, Source: e.Source, ByWork: plan.ByWork}
	l.ledger.SetSurvival(a.ID, e.Survival)
	running.request = r
	l.costs.running[a.ID] = running
}

// startCost records that the stream of a request has started.
func (l *Loop) startCost(now time.Duration, assignmentID uint64) {
	if l.costs == nil {
		return
	}
	l.ledger.StartStream(now, assignmentID)
	if r, ok := l.costs.running[assignmentID]; ok {
		r.startedAt = now
		l.costs.running[assignmentID] = r
	}
}

// observeCost learns from a request that has ended.
func (l *Loop) observeCost(now time.Duration, m sendEnded) {
	if l.costs == nil {
		return
	}
	c := l.costs
	r, ok := c.running[m.assignmentID]
	delete(c.running, m.assignmentID)
	if !ok || r.isRetry {
		return // a retry may continue a stream, so that its output is only the rest
	}
	changes := c.predictor.Drifts()
	ratio := c.predictor.Observe(now, r.request, cost.Result{OutputTokens: m.result.Events * r.tokensPerEvent, Took: now - r.startedAt, Incomplete: !m.result.Finished})
	if ratio == 0 {
		return
	}
	changes = c.predictor.Drifts() - changes
	if changes > 0 {
		klog.V(1).InfoS("request costs changed", "route", r.request.Route, "account", r.request.Account, "last_ratio", ratio)
	}
	c.metrics.record(r.request.PromptTokens > 0, ratio, changes, c.predictor.Len())
}

func (m costMetrics) record(isStream bool, ratio float64, changes, keys int) {
	if m.off == nil {
		return
	}
	histogram := m.calls
	if isStream {
		histogram = m.streams
	}
	histogram.RecordValue(ratio)
	if ratio > offRatio || ratio < 1.0/offRatio {
		m.off.Inc(1)
	}
	m.changes.Inc(int64(changes))
	m.keys.Update(float64(keys))
}

// compareWork orders replicas by the predicted remaining work per slot. While predictions are
// off, all are equal.
func (l *Loop) compareWork(a, b placement.Candidate) int {
	if l.costs == nil {
		return 0
	}
	return cmp.Compare(a.Load.Remaining*time.Duration(b.Slots), b.Load.Remaining*time.Duration(a.Slots))
}

// costSection is the part of the load report with cost estimates.
type costSection struct{ loop *Loop }

// Type returns the type of the section.
func (costSection) Type() peer.SectionType { return peer.SectionCostEstimates }

// Append appends the estimates that are due.
func (s costSection) Append(now time.Duration, data []byte) []byte {
	return s.loop.costs.predictor.AppendSection(now, data, len(s.loop.peers)+1)
}

// Merge applies the estimates of another host.
func (s costSection) Merge(now time.Duration, _ string, data []byte) error {
	return s.loop.costs.predictor.MergeSection(now, data)
}

// RemoveHost does nothing: estimates are kept for each key, not for each host, and expire.
func (costSection) RemoveHost(string) {}
