package control

import (
	"errors"
	"time"

	"siskinstand.example/coord/suspect"
	"siskinstand.example/coord/verdict"
)

// decodeRateSmoothing is the weight of a new sample in the moving average of
// the per-stream decode rate.
const decodeRateSmoothing = 0.1

// minDecodeSampleTokens is the shortest output that gives a decode rate sample.
const minDecodeSampleTokens = 8

// EndAttempt ends a dispatched attempt. If the error may come from an engine
// crash, it waits until a probe has shown the engine's state, and returns the
// crash suspects if the engine has crashed.
func (l *Loop) EndAttempt(a *Attempt, outputTokens int64, err error) []suspect.Report {
	reply := make(chan []suspect.Report, 1)
	suspects, _ := sendAndWait(l, endAttemptMessage{attempt: a, outputTokens: outputTokens, err: err, reply: reply}, reply)
	return suspects
}

type endAttemptMessage struct {
	attempt      *Attempt
	outputTokens int64
	err          error
	reply        chan []suspect.Report
	// failedAt is the time of the failure. A probe that started earlier does
	// not show whether the engine survived it.
	failedAt time.Time
}

func (m endAttemptMessage) apply(l *Loop, now time.Time) {
	a := m.attempt
	if a.stage != stageRunning {
		m.reply <- nil
		return
	}
	if m.err != nil && verdict.FromError(m.err) == verdict.NotRun {
		l.undoDispatch(a)
	}
	if a.engineCrashed && m.err != nil {
		l.finishAttempt(now, m, true)
		m.reply <- l.suspects.Reports(now, maxSuspectReports)
		return
	}
	if m.err != nil && mayBeEngineFailure(m.err) {
		m.failedAt = now
		a.stage = stageAwaitingProbe
		l.monitor.awaitingProbe = append(l.monitor.awaitingProbe, m)
		l.probe(now)
		return
	}
	if m.err == nil {
		l.suspects.Clear(now, suspect.Fingerprint(a.Offer.Fingerprint))
		l.updateDecodeRate(now, m)
	}
	l.finishAttempt(now, m, false)
	m.reply <- nil
}

// undoDispatch reverts the record of a dispatch after the engine rejected the
// attempt without running it, so that another attempt of the request can run on
// this endpoint.
func (l *Loop) undoDispatch(a *Attempt) {
	a.mayHaveRun = false
	l.dispatches.remove(a.Offer.ID())
	if !a.Offer.Repeatable {
		l.dispatches.remove(a.Offer.RequestID)
	}
}

// finishAttempt releases the reservation of an attempt and removes the attempt.
// With engineFailed, it asks the ramp to lower the concurrency limit: the engine
// crashed, or m.err may come from a failure of the engine.
func (l *Loop) finishAttempt(now time.Time, m endAttemptMessage, engineFailed bool) {
	id := m.attempt.Offer.ID()
	l.queue.Finish(now, id, m.outputTokens)
	l.limiter.RecordEnd(now, id, engineFailed)
	l.ledger.Release(id)
	m.attempt.stage = stageEnded
	if l.attempts[id] == m.attempt {
		delete(l.attempts, id)
	}
	l.releaseAttemptHold(m.attempt)
	l.metrics.recordEnd(m.err)
}

// updateDecodeRate updates the moving average of the decode rate of one stream, in
// tokens per second, measured from the first token to the end.
func (l *Loop) updateDecodeRate(now time.Time, m endAttemptMessage) {
	seconds := now.Sub(m.attempt.firstTokenAt).Seconds()
	if m.attempt.firstTokenAt.IsZero() || seconds <= 0 || m.outputTokens < minDecodeSampleTokens {
		return
	}
	sample := float64(m.outputTokens) / seconds
	if l.decodeRate == 0 {
		l.decodeRate = sample
		return
	}
	l.decodeRate += decodeRateSmoothing * (sample - l.decodeRate)
}

// mayBeEngineFailure reports whether an error can be caused by an engine crash
// rather than by the request or its caller.
func mayBeEngineFailure(err error) bool {
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
