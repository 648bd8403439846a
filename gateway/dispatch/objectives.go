package dispatch

import (
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/service/burnrate"
)

// ObjectiveRecorder receives the measurements for the service-level objectives.
type ObjectiveRecorder interface {
	RecordFirstToken(k burnrate.Key, d time.Duration)
	RecordTokenGap(k burnrate.Key, d time.Duration, n int)
	RecordAnswer(k burnrate.Key, d time.Duration, inTime bool)
}

// requestObjectives measures one request for the service-level objectives.
// Requests that were refused before admission are not counted.
type requestObjectives struct {
	recorder  ObjectiveRecorder
	key       burnrate.Key
	isModel   bool
	started   time.Time
	lastChunk time.Time
	admitted  bool
}

func newRequestObjectives(recorder ObjectiveRecorder, r *Request, now time.Time) requestObjectives {
	o := requestObjectives{recorder: recorder, key: burnrate.Key{Account: r.Account.Name, Service: r.Route.Service}, started: now}
	if r.Route.Model != "" {
		o.isModel = true
		o.key.Service, o.key.Class = r.Route.Model, string(admission.ClassOf(r.PromptTokens))
	}
	return o
}

func (o *requestObjectives) recordChunk(now time.Time, tokens int32) {
	switch {
	case !o.isModel:
	case o.lastChunk.IsZero():
		o.recorder.RecordFirstToken(o.key, now.Sub(o.started))
	case tokens > 0:
		o.recorder.RecordTokenGap(o.key, now.Sub(o.lastChunk)/time.Duration(tokens), int(tokens))
	}
	o.lastChunk = now
}

func (o *requestObjectives) recordEnd(now time.Time, complete bool, deadline time.Time) {
	if o.admitted || !o.lastChunk.IsZero() {
		o.recorder.RecordAnswer(o.key, now.Sub(o.started), complete && !now.After(deadline))
	}
}
