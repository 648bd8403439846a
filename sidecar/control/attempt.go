package control

import (
	"strconv"
	"sync/atomic"
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/coord/invariant"
	"siskinstand.example/coord/memory"
	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

// StartTimeout bounds the time between Admitted and Start, measured with the
// sidecar's monotonic clock. A Start that arrives later does not dispatch the
// attempt.
const StartTimeout = 2 * time.Second

// Offer describes one attempt that a gateway offers to the endpoint.
type Offer struct {
	RequestID       string
	AttemptNumber   uint32
	Account         string
	Weight          float64
	PromptTokens    int64
	MaxOutputTokens int64
	Deadline        time.Time
	// Fingerprint identifies the request among the crash suspects; 0 if unknown.
	Fingerprint uint64
	// Repeatable means that the request may run more than once.
	Repeatable bool
	// Isolated means that the attempt must run alone on the engine, because its
	// request was running when an engine crashed.
	Isolated bool
	// BodyFollows means that the gateway sends the body only after Admitted.
	BodyFollows bool
	// Revision is the configuration revision of the gateway.
	Revision uint64
	// HoldID identifies this endpoint's memory hold if the attempt belongs to a
	// group. The loop sets HoldTokens when it turns the hold into the attempt's
	// reservation.
	HoldID     string
	HoldTokens int64
}

// ID returns the attempt ID, which is unique on an endpoint.
func (o Offer) ID() string {
	return o.RequestID + "/" + strconv.FormatUint(uint64(o.AttemptNumber), 10)
}

// StartRequired reports whether the attempt must wait for a Start message from
// the gateway before it is dispatched.
func (o Offer) StartRequired() bool { return !o.Repeatable || o.BodyFollows }

func (o Offer) queueItem() admission.Item {
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
	stageAwaitingProbe
	stageEnded
)

// Decision is the response to an offer. A second Decision with a Refusal
// withdraws an admission that has not been dispatched.
type Decision struct {
	Refusal    *verdict.Error
	Suspects   []suspect.Report
	AdmittedAt time.Time
	Priority   int
}

// Attempt is an attempt in the control loop. The loop's goroutine may change
// Isolated and HoldTokens of the Offer until it has sent the first Decision.
// Other goroutines receive from the two channels and call RecordChunk; the fields
// below lastChunkAt belong to the loop's goroutine.
type Attempt struct {
	Offer Offer

	decisions chan Decision
	aborted   chan struct{}
	// lastChunkAt is the time of the latest bytes from the engine, or nil.
	lastChunkAt     atomic.Pointer[time.Time]
	stage           stage
	mayHaveRun      bool
	overdueReported bool
	// engineCrashed means that the engine crashed while it ran the attempt.
	engineCrashed bool
	admittedAt    time.Time
	firstTokenAt  time.Time
}

// Decisions delivers the admission or refusal, and a later refusal if the
// admission is withdrawn.
func (a *Attempt) Decisions() <-chan Decision { return a.decisions }

// Aborted returns a channel that is closed when the engine crashes while it
// runs the attempt.
func (a *Attempt) Aborted() <-chan struct{} { return a.aborted }

// RecordChunk records that bytes have arrived from the engine.
func (a *Attempt) RecordChunk(now time.Time) { a.lastChunkAt.Store(&now) }

// sendDecision never blocks: an attempt gets at most one admission and one
// refusal, and the channel is buffered for both.
func (a *Attempt) sendDecision(d Decision) { a.decisions <- d }

// Offer submits an attempt for admission. The decision arrives on Decisions.
func (l *Loop) Offer(o Offer) (*Attempt, error) {
	a := &Attempt{Offer: o, decisions: make(chan Decision, 2), aborted: make(chan struct{})}
	return a, l.send(offerMessage{a})
}

type offerMessage struct{ attempt *Attempt }

func (m offerMessage) apply(l *Loop, now time.Time) {
	a := m.attempt
	if refusal := l.checkOffer(now, a); refusal != nil {
		l.refuse(a, refusal)
		return
	}
	if l.suspects.Status(now, suspect.Fingerprint(a.Offer.Fingerprint)) == suspect.StatusIsolate {
		a.Offer.Isolated = true
	}
	if refusal := l.convertHold(now, a); refusal != nil {
		l.refuse(a, refusal)
		return
	}
	l.refreshCapacity()
	l.attempts[a.Offer.ID()] = a
	if refusal := l.queue.Enqueue(now, a.Offer.queueItem()); refusal != nil {
		l.refuse(a, refusal)
		l.releaseAttemptHold(a)
	}
}

// AuthorizeDispatch asks the loop for permission to send an admitted attempt to
// the engine. If the loop permits it, it records the attempt as dispatched, and
// the caller must run it and then call EndAttempt. If AuthorizeDispatch returns an
// error, the attempt has ended without having been dispatched.
func (l *Loop) AuthorizeDispatch(a *Attempt) *verdict.Error {
	reply := make(chan *verdict.Error, 1)
	refusal, err := sendAndWait(l, authorizeDispatchMessage{a, reply}, reply)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonShuttingDown, "sidecar has stopped")
	}
	return refusal
}

type authorizeDispatchMessage struct {
	attempt *Attempt
	reply   chan<- *verdict.Error
}

func (m authorizeDispatchMessage) apply(l *Loop, now time.Time) {
	refusal := l.checkDispatch(now, m.attempt)
	if refusal != nil {
		l.cancelUndispatched(now, m.attempt)
	} else {
		l.recordDispatch(now, m.attempt)
	}
	m.reply <- refusal
}

// checkDispatch is the last check before an attempt is sent to the engine.
func (l *Loop) checkDispatch(now time.Time, a *Attempt) *verdict.Error {
	switch {
	case a.stage != stageAdmitted:
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "attempt is no longer admitted")
	case a.Offer.StartRequired() && now.Sub(a.admittedAt) > StartTimeout:
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "start arrived later than %s", StartTimeout)
	case !now.Before(a.Offer.Deadline):
		return verdict.New(verdict.NotRun, verdict.ReasonDeadlineExceeded, "deadline passed before the start")
	case !a.Offer.Repeatable && l.dispatches.has(now, a.Offer.RequestID):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonDuplicateRequest, "another attempt of the request was dispatched")
	case l.suspects.Status(now, suspect.Fingerprint(a.Offer.Fingerprint)) == suspect.StatusRefuse:
		// A second strike may have been reported while the attempt was waiting.
		return l.checkSuspect(now, a.Offer)
	}
	return l.endpointRefusal()
}

// recordDispatch records that an attempt is sent to the engine. From this point
// it may have run.
func (l *Loop) recordDispatch(now time.Time, a *Attempt) {
	l.assertPlacement(now, a)
	alreadyDispatched := !a.Offer.Repeatable && l.dispatches.has(now, a.Offer.RequestID)
	l.config.Invariants.Check(!alreadyDispatched && !a.mayHaveRun, invariant.AtMostOnce, "request %s is dispatched again", a.Offer.RequestID)
	a.stage = stageRunning
	a.mayHaveRun = true
	l.dispatches.add(now, a.Offer.ID())
	if !a.Offer.Repeatable {
		l.dispatches.add(now, a.Offer.RequestID)
	}
	item := a.Offer.queueItem()
	l.limiter.RecordAdmission(now, item.ID, item.PromptTokens, item.Cost(), l.queue.Load().ReservedTokens)
	l.ledger.Put(now, memory.Entry{
		ID: item.ID, Kind: memory.KindRunning, Owner: item.ID, Tokens: item.Cost(), Expires: a.Offer.Deadline.Add(outcomeGracePeriod),
	})
}

// cancelUndispatched ends an attempt that has not been dispatched; it does
// nothing for other attempts.
func (l *Loop) cancelUndispatched(now time.Time, a *Attempt) {
	id := a.Offer.ID()
	switch a.stage {
	case stageQueued:
		l.queue.Cancel(id)
	case stageAdmitted:
		l.queue.Finish(now, id, 0)
	default:
		return
	}
	a.stage = stageEnded
	delete(l.attempts, id)
	l.releaseAttemptHold(a)
}

// Cancel ends an attempt that has not been dispatched. It returns true if the
// attempt is guaranteed not to have run.
func (l *Loop) Cancel(a *Attempt) bool {
	reply := make(chan bool, 1)
	notRun, err := sendAndWait(l, cancelMessage{a, reply}, reply)
	return err == nil && notRun
}

type cancelMessage struct {
	attempt *Attempt
	reply   chan<- bool
}

func (m cancelMessage) apply(l *Loop, now time.Time) {
	l.cancelUndispatched(now, m.attempt)
	m.reply <- !m.attempt.mayHaveRun
}

// RecordFirstToken records that the engine has sent the first token of an
// attempt.
func (l *Loop) RecordFirstToken(a *Attempt) { _ = l.send(firstTokenMessage{a}) }

type firstTokenMessage struct{ attempt *Attempt }

func (m firstTokenMessage) apply(l *Loop, now time.Time) {
	if m.attempt.stage != stageRunning {
		return
	}
	m.attempt.firstTokenAt = now
	l.queue.RecordFirstToken(now, m.attempt.Offer.ID())
	l.limiter.RecordFirstToken(now, m.attempt.Offer.ID())
}
