package bench

import (
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/config"
	"siskinstand.example/coord/ramp"
	"siskinstand.example/coord/verdict"
	pb "siskinstand.example/peerpb"
)

// The intervals and decodeRateWeight match sidecar/control and sidecar/grpcserver
// (docs/design.md, section 5). significantChangeShare is lower than the threshold
// of 0.1 there.
const (
	tickInterval           = 20 * time.Millisecond
	reportInterval         = 200 * time.Millisecond
	idleReportInterval     = 4 * time.Second
	significantChangeShare = 0.05
	decodeRateWeight       = 0.1
	// maxInlineTokens is the largest prompt whose body, at most 64 KiB, is sent
	// with the offer.
	maxInlineTokens = 16_384
)

// sidecar runs the admission code of one endpoint in virtual time, as
// sidecar/control does in real time.
type sidecar struct {
	simulation *simulation
	engine     *engine
	queue      *admission.Queue
	limiter    *ramp.Limiter
	decodeRate float64
	zoneOut    bool
	attempts   map[string]*attempt

	lastReport   reportState
	lastReportAt time.Time
	// overLimitAdmissions counts admissions that exceed the concurrency limit,
	// except those of an item that runs alone.
	overLimitAdmissions int
	maxWait             time.Duration
}

// reportState holds the reported values; a report is due when they change
// significantly.
type reportState struct{ tokens, limit int64 }

// attempt is one attempt to run a request at a sidecar.
type attempt struct {
	request      *request
	job          *job
	enqueuedAt   time.Time
	firstTokenAt time.Time
	// onRefused notifies the gateway that the attempt was refused before it ran.
	onRefused  func(*verdict.Error)
	onFinished func()
	// onLoad passes the load that a message carries to the gateway.
	onLoad func(*pb.Load)
}

func newSidecar(sim *simulation, e *engine) *sidecar {
	s := &sidecar{simulation: sim, engine: e, attempts: map[string]*attempt{}}
	s.reset()
	sim.clock.every(tickInterval, s.tick)
	return s
}

// reset sets up an empty queue, a new limiter and no attempts, at the start and
// after an engine restart. The ramp starts from the nominal prefill rate, because an
// engine reports that rate whatever its actual speed.
func (s *sidecar) reset() {
	s.queue = admission.New(admission.DefaultConfig())
	c := s.engine.config
	s.limiter = ramp.New(s.simulation.clock.now, ramp.DefaultConfig(c.memoryTokens, defaultEngine().prefillRate))
	s.attempts, s.decodeRate = map[string]*attempt{}, 0
}

func (s *sidecar) tick() {
	s.limiter.Tick(s.simulation.clock.now)
	s.admitQueued()
}

func (s *sidecar) capacity() admission.Capacity {
	return admission.Capacity{
		MemoryTokens: s.engine.config.memoryTokens, LimitTokens: s.limiter.Limit(),
		PrefillRate: s.limiter.PrefillRate(), DecodeRate: s.decodeRate,
	}
}

func (s *sidecar) enqueue(a *attempt) {
	now := s.simulation.clock.now
	if s.zoneOut {
		s.sendRefusal(a, verdict.New(verdict.NotRun, verdict.ReasonZoneOut, "availability zone is out"))
		return
	}
	s.queue.SetCapacity(s.capacity())
	r := a.request
	item := admission.Item{
		ID: r.id, Account: r.account.name, Weight: 1, PromptTokens: r.estimatedPromptTokens, OutputTokens: r.outputLimit,
		Deadline: r.deadline, Fingerprint: r.fingerprint,
	}
	if refusal := s.queue.Enqueue(now, item); refusal != nil {
		s.sendRefusal(a, refusal)
		return
	}
	a.enqueuedAt = now
	s.attempts[r.id] = a
	s.admitQueued()
}

func (s *sidecar) sendRefusal(a *attempt, refusal *verdict.Error) {
	load := s.load()
	s.simulation.clock.after(peerLatency, func() {
		a.onLoad(load)
		a.onRefused(refusal)
	})
}

func (s *sidecar) admitQueued() {
	s.queue.SetCapacity(s.capacity())
	if s.zoneOut {
		return
	}
	for _, o := range s.queue.Admit(s.simulation.clock.now) {
		a := s.attempts[o.Item.ID]
		if o.Refusal != nil {
			delete(s.attempts, o.Item.ID)
			s.sendRefusal(a, o.Refusal)
			continue
		}
		s.admit(a, o)
	}
}

func (s *sidecar) admit(a *attempt, o admission.Outcome) {
	a.request.admitted, a.request.admittedAt = true, s.simulation.clock.now
	load := s.queue.Load()
	if load.ReservedTokens > s.limiter.Limit() && load.RunningItems > 1 {
		s.overLimitAdmissions++
	}
	s.maxWait = max(s.maxWait, o.Waited)
	delay := engineLatency
	if o.Item.PromptTokens > maxInlineTokens {
		// The gateway sends the body and Start only after it has received Admitted.
		delay += 2 * peerLatency
	}
	s.simulation.clock.after(delay, func() { s.dispatch(a, o) })
}

func (s *sidecar) dispatch(a *attempt, o admission.Outcome) {
	id := o.Item.ID
	if s.attempts[id] != a {
		return
	}
	now := s.simulation.clock.now
	s.simulation.countOutZoneStart(s.engine)
	s.limiter.RecordAdmission(now, id, o.Item.PromptTokens, o.Item.Cost(), s.queue.Load().ReservedTokens)
	a.job = &job{request: a.request, priority: o.Priority}
	a.job.onFirstToken = func() {
		a.firstTokenAt = s.simulation.clock.now
		s.queue.RecordFirstToken(a.firstTokenAt, id)
		s.limiter.RecordFirstToken(a.firstTokenAt, id)
		s.simulation.recordFirstToken(a.request, engineLatency+peerLatency)
		s.sendLoad(a)
		s.admitQueued()
	}
	a.job.onDone = func() { s.complete(a) }
	s.engine.submit(a.job)
}

// sendLoad sends the gateway a message that carries the current load.
func (s *sidecar) sendLoad(a *attempt) {
	load := s.load()
	s.simulation.clock.after(peerLatency+s.simulation.scenario.ReportDelay, func() { a.onLoad(load) })
}

func (s *sidecar) complete(a *attempt) {
	now, r := s.simulation.clock.now, a.request
	if streamed := now.Sub(a.firstTokenAt).Seconds(); streamed > 0 && r.outputTokens >= 8 {
		sample := float64(r.outputTokens) / streamed
		if s.decodeRate == 0 {
			s.decodeRate = sample
		}
		s.decodeRate += decodeRateWeight * (sample - s.decodeRate)
	}
	s.queue.Finish(now, r.id, r.outputTokens)
	s.limiter.RecordEnd(now, r.id, false)
	delete(s.attempts, r.id)
	a.onFinished()
	s.sendLoad(a)
	s.admitQueued()
}

// cancel removes an attempt from the queue or the engine without calling its
// callbacks.
func (s *sidecar) cancel(a *attempt) {
	id := a.request.id
	if s.attempts[id] != a {
		return
	}
	delete(s.attempts, id)
	if s.queue.Cancel(id) {
		return
	}
	if a.job != nil {
		s.engine.remove(a.job)
	}
	s.queue.Finish(s.simulation.clock.now, id, 0)
	s.limiter.RecordEnd(s.simulation.clock.now, id, false)
	s.admitQueued()
}

// setZoneState applies an operators' change. When the zone is taken out, it refuses
// all queued requests as not run.
func (s *sidecar) setZoneState(state config.ZoneState) {
	s.zoneOut = state == config.ZoneOut
	if !s.zoneOut {
		return
	}
	for _, o := range s.queue.RefuseAll(verdict.ReasonZoneOut, "availability zone is out") {
		a := s.attempts[o.Item.ID]
		delete(s.attempts, o.Item.ID)
		s.sendRefusal(a, o.Refusal)
	}
}

func (s *sidecar) load() *pb.Load {
	l := s.queue.Load()
	return &pb.Load{
		QueuedTokens: l.BacklogTokens(), RunningTokens: l.ReservedTokens,
		QueuedRequests: int32(l.QueuedItems), RunningRequests: int32(l.RunningItems),
		PrefillTokensPerSecond: int64(s.limiter.PrefillRate()), LimitTokens: s.limiter.Limit(),
	}
}

// markReportedIfDue reports whether a control report must be sent now because the
// load or the limit has changed significantly or the idle interval has passed. If
// so, it records the values as reported.
func (s *sidecar) markReportedIfDue() bool {
	l := s.queue.Load()
	state := reportState{l.QueuedTokens + l.ReservedTokens, s.limiter.Limit()}
	change := max(abs(state.tokens-s.lastReport.tokens), abs(state.limit-s.lastReport.limit))
	now := s.simulation.clock.now
	significant := float64(change) > significantChangeShare*float64(s.engine.config.memoryTokens)
	if !significant && now.Sub(s.lastReportAt) < idleReportInterval {
		return false
	}
	s.lastReport, s.lastReportAt = state, now
	return true
}

func abs(x int64) int64 { return max(x, -x) }
