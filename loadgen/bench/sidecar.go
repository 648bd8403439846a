package bench

import (
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/ramp"
	"siskinstand.example/coord/verdict"
	pb "siskinstand.example/peerpb"
)

// The intervals follow sidecar/control and docs/design.md, section 5.
const (
	tickInterval     = 20 * time.Millisecond
	reportInterval   = 200 * time.Millisecond
	idleInterval     = 4 * time.Second
	significantShare = 0.05
	decodeWeight     = 0.1
	// inlineTokens is the prompt whose body of 64 KiB is sent with the offer.
	inlineTokens = 16_384
)

// sidecar runs the decision code of one endpoint in virtual time, as
// sidecar/control does in real time.
type sidecar struct {
	world   *world
	engine  *engine
	queue   *admission.Queue
	limiter *ramp.Limiter
	decode  float64
	zoneOut bool
	items   map[string]*attempt

	reported   reportState
	reportedAt time.Time
	// overLimit counts admissions above the concurrency limit, other than of
	// one item alone.
	overLimit int
	maxWait   time.Duration
}

// reportState is what decides whether a report is significant.
type reportState struct{ tokens, limit int64 }

// attempt is one offer at a sidecar.
type attempt struct {
	request *request
	job     *job
	offered time.Time
	first   time.Time
	// refuse tells the gateway that the attempt did not run.
	refuse func(*verdict.Error)
	finish func()
	// observe hands the gateway the load that each message carries.
	observe func(*pb.Load)
}

func newSidecar(w *world, e *engine) *sidecar {
	s := &sidecar{world: w, engine: e, items: map[string]*attempt{}}
	s.reset()
	w.clock.every(tickInterval, s.tick)
	return s
}

// reset starts over with an engine that may be cold. The engine reports the
// nominal rate of its kind, whatever its actual speed.
func (s *sidecar) reset() {
	s.queue = admission.New(admission.DefaultConfig())
	c := s.engine.config
	s.limiter = ramp.New(s.world.clock.now, ramp.DefaultConfig(c.memoryTokens, defaultEngine().prefillRate))
	s.items, s.decode = map[string]*attempt{}, 0
}

func (s *sidecar) tick() {
	s.limiter.Tick(s.world.clock.now)
	s.settle()
}

func (s *sidecar) capacity() admission.Capacity {
	return admission.Capacity{
		MemoryTokens: s.engine.config.memoryTokens, LimitTokens: s.limiter.Limit(),
		PrefillRate: s.limiter.PrefillRate(), DecodeRate: s.decode,
	}
}

func (s *sidecar) offer(a *attempt) {
	now := s.world.clock.now
	if s.zoneOut {
		s.reply(a, verdict.New(verdict.NotRun, verdict.ReasonZoneOut, "availability zone is out"))
		return
	}
	s.queue.SetCapacity(s.capacity())
	r := a.request
	item := admission.Item{
		ID: r.id, Account: r.account.name, Weight: 1, PromptTokens: r.estimate, OutputTokens: r.bound,
		Deadline: r.deadline, Fingerprint: r.fingerprint,
	}
	if refusal := s.queue.Enqueue(now, item); refusal != nil {
		s.reply(a, refusal)
		return
	}
	a.offered = now
	s.items[r.id] = a
	s.settle()
}

func (s *sidecar) reply(a *attempt, refusal *verdict.Error) {
	load := s.load()
	s.world.clock.after(peerLatency, func() {
		a.observe(load)
		a.refuse(refusal)
	})
}

func (s *sidecar) settle() {
	s.queue.SetCapacity(s.capacity())
	if s.zoneOut {
		return
	}
	for _, o := range s.queue.Admit(s.world.clock.now) {
		a := s.items[o.Item.ID]
		if o.Refusal != nil {
			delete(s.items, o.Item.ID)
			s.reply(a, o.Refusal)
			continue
		}
		s.admit(a, o)
	}
}

func (s *sidecar) admit(a *attempt, o admission.Outcome) {
	a.request.admitted, a.request.admittedAt = true, s.world.clock.now
	load := s.queue.Load()
	if load.ReservedTokens > s.limiter.Limit() && load.RunningItems > 1 {
		s.overLimit++
	}
	s.maxWait = max(s.maxWait, o.Waited)
	delay := engineLatency
	if o.Item.PromptTokens > inlineTokens {
		// The gateway sends the body and Start only after Admitted.
		delay += 2 * peerLatency
	}
	s.world.clock.after(delay, func() { s.dispatch(a, o) })
}

func (s *sidecar) dispatch(a *attempt, o admission.Outcome) {
	id := o.Item.ID
	if s.items[id] != a {
		return
	}
	now := s.world.clock.now
	s.world.started(s.engine)
	s.limiter.RecordAdmission(now, id, o.Item.PromptTokens, o.Item.Cost(), s.queue.Load().ReservedTokens)
	a.job = &job{request: a.request, priority: o.Priority}
	a.job.first = func() {
		a.first = s.world.clock.now
		s.queue.RecordFirstToken(a.first, id)
		s.limiter.RecordFirstToken(a.first, id)
		s.world.firstToken(a.request, engineLatency+peerLatency)
		s.send(a)
		s.settle()
	}
	a.job.done = func() { s.done(a) }
	s.engine.submit(a.job)
}

// send hands the gateway a message that carries the load.
func (s *sidecar) send(a *attempt) {
	load := s.load()
	s.world.clock.after(peerLatency+s.world.scenario.ReportLag, func() { a.observe(load) })
}

func (s *sidecar) done(a *attempt) {
	now, r := s.world.clock.now, a.request
	if streamed := now.Sub(a.first).Seconds(); streamed > 0 && r.output >= 8 {
		sample := float64(r.output) / streamed
		if s.decode == 0 {
			s.decode = sample
		}
		s.decode += decodeWeight * (sample - s.decode)
	}
	s.queue.Finish(now, r.id, r.output)
	s.limiter.RecordEnd(now, r.id, false)
	delete(s.items, r.id)
	a.finish()
	s.send(a)
	s.settle()
}

// cancel gives an attempt up, in the queue or in the engine.
func (s *sidecar) cancel(a *attempt) {
	id := a.request.id
	if s.items[id] != a {
		return
	}
	delete(s.items, id)
	if s.queue.Cancel(id) {
		return
	}
	if a.job != nil {
		s.engine.cancel(a.job)
	}
	s.queue.Finish(s.world.clock.now, id, 0)
	s.limiter.RecordEnd(s.world.clock.now, id, false)
	s.settle()
}

// setZone applies the operators' change; queued work goes back as not run.
func (s *sidecar) setZone(out bool) {
	s.zoneOut = out
	if !out {
		return
	}
	for _, o := range s.queue.RefuseAll(verdict.ReasonZoneOut, "availability zone is out") {
		a := s.items[o.Item.ID]
		delete(s.items, o.Item.ID)
		s.reply(a, o.Refusal)
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

// reportDue decides whether a control report is sent now.
func (s *sidecar) reportDue() bool {
	l := s.queue.Load()
	state := reportState{l.QueuedTokens + l.ReservedTokens, s.limiter.Limit()}
	change := max(abs(state.tokens-s.reported.tokens), abs(state.limit-s.reported.limit))
	now := s.world.clock.now
	significant := float64(change) > significantShare*float64(s.engine.config.memoryTokens)
	if !significant && now.Sub(s.reportedAt) < idleInterval {
		return false
	}
	s.reported, s.reportedAt = state, now
	return true
}

func abs(x int64) int64 { return max(x, -x) }
