package control

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskinstand.example/coord/verdict"
)

// loopMetrics holds the metrics of the loop. Refusals are tagged by verdict and
// reason, failures by verdict only. Both tags have few fixed values.
type loopMetrics struct {
	scope           tally.Scope
	admissions      tally.Counter
	completed       tally.Counter
	memoryActions   tally.Counter
	queueWait       tally.Timer
	queuedTokens    tally.Gauge
	reservedTokens  tally.Gauge
	limitTokens     tally.Gauge
	prefillRate     tally.Gauge
	configRevision  tally.Gauge
	suspects        tally.Gauge
	gaugesUpdatedAt time.Time
}

// gaugeInterval is the reporting interval of the metrics. Updating a gauge more
// often has no effect.
const gaugeInterval = time.Second

func newLoopMetrics(s tally.Scope) loopMetrics {
	return loopMetrics{
		scope: s, admissions: s.Counter("admitted"), completed: s.Counter("completed"), memoryActions: s.Counter("memory_orders"),
		queueWait: s.Timer("queue_wait"), queuedTokens: s.Gauge("queued_tokens"), reservedTokens: s.Gauge("reserved_tokens"),
		limitTokens: s.Gauge("limit_tokens"), prefillRate: s.Gauge("prefill_tokens_per_second"), configRevision: s.Gauge("config_revision"),
		suspects: s.Gauge("suspects"),
	}
}

func (m *loopMetrics) recordAdmission(waited time.Duration) {
	m.admissions.Inc(1)
	m.queueWait.Record(waited)
}

func (m *loopMetrics) recordRefusal(e *verdict.Error) {
	m.scope.Tagged(map[string]string{"verdict": string(e.Verdict), "reason": string(e.Reason)}).Counter("refused").Inc(1)
}

func (m *loopMetrics) recordEnd(err error) {
	if err == nil {
		m.completed.Inc(1)
		return
	}
	m.scope.Tagged(map[string]string{"verdict": string(verdict.FromError(err))}).Counter("failed").Inc(1)
}

func (m *loopMetrics) updateGauges(s *Snapshot) {
	now := time.Now()
	if now.Sub(m.gaugesUpdatedAt) < gaugeInterval {
		return
	}
	m.gaugesUpdatedAt = now
	m.queuedTokens.Update(float64(s.Load.QueuedTokens))
	m.reservedTokens.Update(float64(s.Load.ReservedTokens))
	m.limitTokens.Update(float64(s.Capacity.LimitTokens))
	m.prefillRate.Update(s.Capacity.PrefillRate)
	m.configRevision.Update(float64(s.ConfigSlice.Revision))
	m.suspects.Update(float64(len(s.Suspects)))
}
