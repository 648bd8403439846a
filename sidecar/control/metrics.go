package control

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/verdict"
)

// loopMetrics are the series of the loop. Outcomes are counted by verdict and
// reason, which are short fixed lists.
type loopMetrics struct {
	scope      tally.Scope
	admissions tally.Counter
	completed  tally.Counter
	freed      tally.Counter
	wait       tally.Timer
	queued     tally.Gauge
	reserved   tally.Gauge
	limit      tally.Gauge
	rate       tally.Gauge
	revision   tally.Gauge
	suspects   tally.Gauge
	last       time.Time
}

// gaugeInterval is the reporting interval of the metrics, below which a new
// gauge value is never seen.
const gaugeInterval = time.Second

func newLoopMetrics(s tally.Scope) loopMetrics {
	return loopMetrics{
		scope: s, admissions: s.Counter("admitted"), completed: s.Counter("completed"), freed: s.Counter("memory_orders"),
		wait: s.Timer("queue_wait"), queued: s.Gauge("queued_tokens"), reserved: s.Gauge("reserved_tokens"),
		limit: s.Gauge("limit_tokens"), rate: s.Gauge("prefill_tokens_per_second"), revision: s.Gauge("config_revision"),
		suspects: s.Gauge("suspects"),
	}
}

func (m *loopMetrics) admitted(waited time.Duration) {
	m.admissions.Inc(1)
	m.wait.Record(waited)
}

func (m *loopMetrics) refused(e *verdict.Error) {
	m.scope.Tagged(map[string]string{"verdict": string(e.Verdict), "reason": string(e.Reason)}).Counter("refused").Inc(1)
}

func (m *loopMetrics) ended(err error) {
	if err == nil {
		m.completed.Inc(1)
		return
	}
	m.scope.Tagged(map[string]string{"verdict": string(verdict.FromError(err))}).Counter("failed").Inc(1)
}

func (m *loopMetrics) gauges(s *Snapshot) {
	now := time.Now()
	if now.Sub(m.last) < gaugeInterval {
		return
	}
	m.last = now
	m.queued.Update(float64(s.Load.QueuedTokens))
	m.reserved.Update(float64(s.Load.ReservedTokens))
	m.limit.Update(float64(s.Capacity.LimitTokens))
	m.rate.Update(s.Capacity.PrefillRate)
	m.revision.Update(float64(s.ConfigSlice.Revision))
	m.suspects.Update(float64(len(s.Suspects)))
}
