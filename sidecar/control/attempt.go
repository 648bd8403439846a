package control

import (
	"strconv"
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/verdict"
)

// StartLimit is the time between Admitted and Start after which an attempt no
// longer starts, by the sidecar's own monotonic clock.
const StartLimit = 2 * time.Second

// Offer is one attempt as the gateway offered it.
type Offer struct {
	RequestID       string
	Attempt         uint32
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
}

// ID identifies the attempt on its endpoint.
func (o Offer) ID() string {
	return o.RequestID + "/" + strconv.FormatUint(uint64(o.Attempt), 10)
}

// StartRequired reports whether the attempt waits for the gateway's Start.
func (o Offer) StartRequired() bool { return !o.Repeatable || o.BodyFollows }

func (o Offer) item() admission.Item {
	return admission.Item{
		ID: o.ID(), Account: o.Account, Weight: o.Weight,
		PromptTokens: max(o.PromptTokens, 1), OutputTokens: o.MaxOutputTokens,
		Deadline: o.Deadline, Fingerprint: o.Fingerprint, Isolated: o.Isolated,
	}
}

type stage int

const (
	stageQueued stage = iota
	stageAdmitted
	stageRunning
	stageEnded
)

// Decision answers an offer. A second decision with a Refusal takes back an
// admission that has not started.
type Decision struct {
	Refusal    *verdict.Error
	AdmittedAt time.Time
}

// Ticket is an attempt known to the loop. Only the loop uses the fields below
// Offer.
type Ticket struct {
	Offer Offer

	decisions  chan Decision
	stage      stage
	admittedAt time.Time
}

// Decisions delivers the admission or refusal, and possibly the withdrawal of
// an admission.
func (t *Ticket) Decisions() <-chan Decision { return t.decisions }

// decide never blocks: a ticket gets at most an admission and one refusal.
func (t *Ticket) decide(d Decision) { t.decisions <- d }

// Offer asks for admission. The decision arrives on the ticket.
func (l *Loop) Offer(o Offer) (*Ticket, error) {
	t := &Ticket{Offer: o, decisions: make(chan Decision, 2)}
	return t, l.send(offerMessage{t})
}

type offerMessage struct{ ticket *Ticket }

func (m offerMessage) apply(l *Loop, now time.Time) {
	t := m.ticket
	id := t.Offer.ID()
	if refusal := l.gate(now, t); refusal != nil {
		t.stage = stageEnded
		t.decide(Decision{Refusal: refusal})
		return
	}
	l.attempts[id] = t
	if refusal := l.queue.Offer(now, t.Offer.item()); refusal != nil {
		l.refuse(t, refusal)
	}
}

// gate refuses what may not be admitted at present.
func (l *Loop) gate(_ time.Time, t *Ticket) *verdict.Error {
	if l.state != StateServing {
		return verdict.New(verdict.NotRun, verdict.ReasonStarting, "endpoint is %s", l.state)
	}
	if l.attempts[t.Offer.ID()] != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicate, "attempt %s is already here", t.Offer.ID())
	}
	return nil
}

// Dispatch asks for permission to hand an admitted attempt to the engine. An
// error means that the attempt did not run.
func (l *Loop) Dispatch(t *Ticket) *verdict.Error {
	answer := make(chan *verdict.Error, 1)
	refusal, err := call(l, dispatchMessage{t, answer}, answer)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "sidecar has stopped")
	}
	return refusal
}

type dispatchMessage struct {
	ticket *Ticket
	answer chan<- *verdict.Error
}

func (m dispatchMessage) apply(l *Loop, now time.Time) { m.answer <- l.dispatch(now, m.ticket) }

func (l *Loop) dispatch(now time.Time, t *Ticket) *verdict.Error {
	if t.stage != stageAdmitted {
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "attempt is no longer admitted")
	}
	if t.Offer.StartRequired() && now.Sub(t.admittedAt) > StartLimit {
		l.drop(now, t)
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "start arrived later than %s", StartLimit)
	}
	t.stage = stageRunning
	return nil
}

// drop ends a ticket that did not run.
func (l *Loop) drop(now time.Time, t *Ticket) {
	if t.stage == stageQueued {
		l.queue.Cancel(t.Offer.ID())
	} else {
		l.queue.Finish(now, t.Offer.ID(), 0)
	}
	t.stage = stageEnded
	delete(l.attempts, t.Offer.ID())
}

// Cancel ends an attempt that is not running. It reports whether the attempt
// certainly did not run.
func (l *Loop) Cancel(t *Ticket) bool {
	answer := make(chan bool, 1)
	notRun, err := call(l, cancelMessage{t, answer}, answer)
	return err == nil && notRun
}

type cancelMessage struct {
	ticket *Ticket
	answer chan<- bool
}

func (m cancelMessage) apply(l *Loop, now time.Time) {
	switch m.ticket.stage {
	case stageQueued, stageAdmitted:
		l.drop(now, m.ticket)
		m.answer <- true
	default:
		m.answer <- m.ticket.stage == stageEnded
	}
}

// FirstToken reports that the engine has begun to answer.
func (l *Loop) FirstToken(t *Ticket) { _ = l.send(firstTokenMessage{t}) }

type firstTokenMessage struct{ ticket *Ticket }

func (m firstTokenMessage) apply(l *Loop, now time.Time) {
	l.queue.FirstToken(now, m.ticket.Offer.ID())
}

// Done ends a dispatched attempt.
func (l *Loop) Done(t *Ticket, outputTokens int64, err error) {
	_ = l.send(doneMessage{t, outputTokens, err})
}

type doneMessage struct {
	ticket       *Ticket
	outputTokens int64
	err          error
}

func (m doneMessage) apply(l *Loop, now time.Time) {
	l.queue.Finish(now, m.ticket.Offer.ID(), m.outputTokens)
	m.ticket.stage = stageEnded
	delete(l.attempts, m.ticket.Offer.ID())
}
