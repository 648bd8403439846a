package control

import (
	"strconv"
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/memory"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

// StartTimeout is the time between Admitted and Start after which an attempt no
// longer starts, by the sidecar's own monotonic clock.
const StartTimeout = 2 * time.Second

// Offer is one attempt as the gateway offered it.
type Offer struct {
	RequestID       string
	AttemptNumber   uint32
	Account         string
	Weight          float64
	PromptTokens    int64
	MaxOutputTokens int64
	Deadline        time.Time
	Fingerprint     uint64
	Repeatable      bool
	Isolated        bool
	// BodyFollows means that the body is sent only after Admitted.
	BodyFollows bool
	// Revision is the configuration revision of the gateway.
	Revision uint64
	// HoldID and HeldTokens are this endpoint's part of a group.
	HoldID     string
	HoldTokens int64
}

// ID identifies the attempt on its endpoint.
func (o Offer) ID() string {
	return o.RequestID + "/" + strconv.FormatUint(uint64(o.AttemptNumber), 10)
}

// StartRequired reports whether the attempt waits for the gateway's Start.
func (o Offer) StartRequired() bool { return !o.Repeatable || o.BodyFollows }

func (o Offer) item() admission.Item {
	item := admission.Item{
		ID: o.ID(), Account: o.Account, Weight: o.Weight,
		PromptTokens: max(o.PromptTokens, 1), OutputTokens: o.MaxOutputTokens,
		Deadline: o.Deadline, Fingerprint: o.Fingerprint, Isolated: o.Isolated,
	}
	if o.HoldID != "" {
		item.HasHold = true
		item.PromptTokens, item.OutputTokens = o.HoldTokens, 0
	}
	return item
}

type stage int

const (
	stageQueued stage = iota
	stageAdmitted
	stageRunning
	stageFailing
	stageEnded
)

// Decision answers an offer. A second decision with a Refusal takes back an
// admission that has not started.
type Decision struct {
	Refusal    *verdict.Error
	Suspects   []suspect.Report
	AdmittedAt time.Time
	Priority   int
}

// Attempt is an attempt known to the loop. Only the loop uses the fields below
// Offer.
type Attempt struct {
	Offer Offer

	decisions chan Decision
	aborted   chan struct{}
	stage     stage
	ran       bool
	overdue   bool
	// dead means that the engine died while it ran the attempt.
	dead       bool
	admittedAt time.Time
	firstToken time.Time
}

// Decisions delivers the admission or refusal, and possibly the withdrawal of
// an admission.
func (t *Attempt) Decisions() <-chan Decision { return t.decisions }

// Aborted is closed when the engine that runs the attempt has died.
func (t *Attempt) Aborted() <-chan struct{} { return t.aborted }

// decide never blocks: a ticket gets at most an admission and one refusal.
func (t *Attempt) decide(d Decision) { t.decisions <- d }

// Offer asks for admission. The decision arrives on the ticket.
func (l *Loop) Offer(o Offer) (*Attempt, error) {
	t := &Attempt{Offer: o, decisions: make(chan Decision, 2), aborted: make(chan struct{})}
	return t, l.send(offerMessage{t})
}

type offerMessage struct{ ticket *Attempt }

func (m offerMessage) apply(l *Loop, now time.Time) {
	t := m.ticket
	if refusal := l.gate(now, t); refusal != nil {
		l.refuse(t, refusal)
		return
	}
	if l.suspects.Status(now, suspect.Fingerprint(t.Offer.Fingerprint)) == suspect.StatusIsolate {
		t.Offer.Isolated = true
	}
	if refusal := l.takeHold(now, t); refusal != nil {
		l.refuse(t, refusal)
		return
	}
	l.refreshCapacity()
	l.attempts[t.Offer.ID()] = t
	if refusal := l.queue.Enqueue(now, t.Offer.item()); refusal != nil {
		l.refuse(t, refusal)
		l.endHold(t)
	}
}

// Dispatch asks for permission to hand an admitted attempt to the engine. An
// error means that the attempt did not run.
func (l *Loop) Dispatch(t *Attempt) *verdict.Error {
	answer := make(chan *verdict.Error, 1)
	refusal, err := call(l, dispatchMessage{t, answer}, answer)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "sidecar has stopped")
	}
	return refusal
}

type dispatchMessage struct {
	ticket *Attempt
	answer chan<- *verdict.Error
}

func (m dispatchMessage) apply(l *Loop, now time.Time) {
	refusal := l.mayStart(now, m.ticket)
	if refusal != nil {
		l.drop(now, m.ticket)
	} else {
		l.startRun(now, m.ticket)
	}
	m.answer <- refusal
}

// mayStart is the last check before an attempt runs.
func (l *Loop) mayStart(now time.Time, t *Attempt) *verdict.Error {
	switch {
	case t.stage != stageAdmitted:
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "attempt is no longer admitted")
	case t.Offer.StartRequired() && now.Sub(t.admittedAt) > StartTimeout:
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "start arrived later than %s", StartTimeout)
	case !now.Before(t.Offer.Deadline):
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineExceeded, "deadline passed before the start")
	case !t.Offer.Repeatable && l.seen.has(now, t.Offer.RequestID):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "another attempt of the request was dispatched")
	case l.suspects.Status(now, suspect.Fingerprint(t.Offer.Fingerprint)) == suspect.StatusRefuse:
		// The second strike may have been learnt while the attempt waited.
		return l.gateSuspect(now, t.Offer)
	}
	return l.open()
}

// startRun records the dispatch of an attempt. From here on it may have run.
func (l *Loop) startRun(now time.Time, t *Attempt) {
	l.checkPlacement(now, t)
	again := !t.Offer.Repeatable && l.seen.has(now, t.Offer.RequestID)
	l.config.Invariants.Check(!again && !t.ran, invariant.AtMostOnce, "request %s is dispatched again", t.Offer.RequestID)
	t.stage = stageRunning
	t.ran = true
	l.seen.add(now, t.Offer.ID())
	if !t.Offer.Repeatable {
		l.seen.add(now, t.Offer.RequestID)
	}
	item := t.Offer.item()
	l.limiter.RecordAdmission(now, item.ID, item.PromptTokens, item.Cost(), l.queue.Load().ReservedTokens)
	l.ledger.Put(now, memory.Entry{
		ID: item.ID, Kind: memory.KindRunning, Owner: item.ID, Tokens: item.Cost(), Expires: t.Offer.Deadline.Add(outcomeGrace),
	})
}

// drop ends a ticket that did not run.
func (l *Loop) drop(now time.Time, t *Attempt) {
	id := t.Offer.ID()
	switch t.stage {
	case stageQueued:
		l.queue.Cancel(id)
	case stageAdmitted:
		l.queue.Finish(now, id, 0)
	default:
		return
	}
	t.stage = stageEnded
	delete(l.attempts, id)
	l.endHold(t)
}

// Cancel ends an attempt that is not running. It reports whether the attempt
// certainly did not run.
func (l *Loop) Cancel(t *Attempt) bool {
	answer := make(chan bool, 1)
	notRun, err := call(l, cancelMessage{t, answer}, answer)
	return err == nil && notRun
}

type cancelMessage struct {
	ticket *Attempt
	answer chan<- bool
}

func (m cancelMessage) apply(l *Loop, now time.Time) {
	l.drop(now, m.ticket)
	m.answer <- !m.ticket.ran
}

// RecordFirstToken reports that the engine has begun to answer.
func (l *Loop) RecordFirstToken(t *Attempt) { _ = l.send(firstTokenMessage{t}) }

type firstTokenMessage struct{ ticket *Attempt }

func (m firstTokenMessage) apply(l *Loop, now time.Time) {
	if m.ticket.stage != stageRunning {
		return
	}
	m.ticket.firstToken = now
	l.queue.RecordFirstToken(now, m.ticket.Offer.ID())
	l.limiter.RecordFirstToken(now, m.ticket.Offer.ID())
}
