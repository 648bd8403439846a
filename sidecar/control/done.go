package control

import (
	"errors"
	"time"

	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

// decodeWeight follows the decode speed of single streams.
const decodeWeight = 0.1

// minDecodeTokens is the least answer from which a decode speed is learnt.
const minDecodeTokens = 8

// EndAttempt ends a dispatched attempt. After an error that may come from the death
// of the engine it waits until that is known, and returns the suspects.
func (l *Loop) EndAttempt(t *Attempt, outputTokens int64, err error) []suspect.Report {
	answer := make(chan []suspect.Report, 1)
	suspects, _ := call(l, doneMessage{ticket: t, outputTokens: outputTokens, err: err, answer: answer}, answer)
	return suspects
}

type doneMessage struct {
	ticket       *Attempt
	outputTokens int64
	err          error
	answer       chan []suspect.Report
	// at is the time of the failure, before which a probe proves nothing.
	at time.Time
}

func (m doneMessage) apply(l *Loop, now time.Time) {
	t := m.ticket
	if t.stage != stageRunning {
		m.answer <- nil
		return
	}
	if m.err != nil && verdict.FromError(m.err) == verdict.NotRun {
		l.notReached(t)
	}
	if t.dead && m.err != nil {
		l.finish(now, m, true)
		m.answer <- l.suspects.Reports(now, maxReports)
		return
	}
	if m.err != nil && engineFault(m.err) {
		m.at = now
		t.stage = stageFailing
		l.watch.failing = append(l.watch.failing, m)
		l.probe(now)
		return
	}
	if m.err == nil {
		l.suspects.Clear(now, suspect.Fingerprint(t.Offer.Fingerprint))
		l.learnDecode(now, m)
	}
	l.finish(now, m, false)
	m.answer <- nil
}

// notReached takes back that an attempt may have run, because the engine did
// not take it. Another attempt of the request can then run here.
func (l *Loop) notReached(t *Attempt) {
	t.ran = false
	l.seen.forget(t.Offer.ID())
	if !t.Offer.Repeatable {
		l.seen.forget(t.Offer.RequestID)
	}
}

// finish gives the reservation of an attempt back.
func (l *Loop) finish(now time.Time, m doneMessage, engineFailed bool) {
	id := m.ticket.Offer.ID()
	l.queue.Finish(now, id, m.outputTokens)
	l.limiter.RecordEnd(now, id, engineFailed)
	l.ledger.Release(id)
	m.ticket.stage = stageEnded
	if l.attempts[id] == m.ticket {
		delete(l.attempts, id)
	}
	l.endHold(m.ticket)
	l.metrics.ended(m.err)
}

// learnDecode follows the speed of one stream from first token to end.
func (l *Loop) learnDecode(now time.Time, m doneMessage) {
	streamed := now.Sub(m.ticket.firstToken).Seconds()
	if m.ticket.firstToken.IsZero() || streamed <= 0 || m.outputTokens < minDecodeTokens {
		return
	}
	sample := float64(m.outputTokens) / streamed
	if l.decode == 0 {
		l.decode = sample
		return
	}
	l.decode += decodeWeight * (sample - l.decode)
}

// engineFault reports whether an error can come from the death of the engine
// rather than from the request or its caller.
func engineFault(err error) bool {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return true
	}
	switch e.Reason {
	case verdict.ReasonEngineDown, verdict.ReasonEngineFailed, verdict.ReasonConnectionLost, verdict.ReasonInternal:
		return true
	}
	return false
}
