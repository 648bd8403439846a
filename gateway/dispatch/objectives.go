package dispatch

import (
	"time"

	"siskinstand.example/coord/admission"
	"siskinstand.example/service/burnrate"
)

// ObjectiveRecorder receives what the service-level objectives are measured by.
type ObjectiveRecorder interface {
	RecordFirstToken(k burnrate.Key, d time.Duration)
	RecordTokenGap(k burnrate.Key, d time.Duration, n int)
	RecordAnswer(k burnrate.Key, d time.Duration, inTime bool)
}

// objectives measures one request. A refused one is not measured.
type objectives struct {
	to       ObjectiveRecorder
	key      burnrate.Key
	model    bool
	started  time.Time
	last     time.Time
	admitted bool
}

func newObjectives(to ObjectiveRecorder, r *Request, now time.Time) objectives {
	o := objectives{to: to, key: burnrate.Key{Account: r.Account.Name, Service: r.Route.Service}, started: now}
	if r.Route.Model != "" {
		o.model = true
		o.key.Service, o.key.Class = r.Route.Model, string(admission.ClassOf(r.PromptTokens))
	}
	return o
}

// chunk notes the arrival of a piece of the answer.
func (o *objectives) chunk(now time.Time, tokens int32) {
	switch {
	case !o.model:
	case o.last.IsZero():
		o.to.RecordFirstToken(o.key, now.Sub(o.started))
	case tokens > 0:
		o.to.RecordTokenGap(o.key, now.Sub(o.last)/time.Duration(tokens), int(tokens))
	}
	o.last = now
}

// end notes the end of the request.
func (o *objectives) end(now time.Time, complete bool, deadline time.Time) {
	if o.admitted || !o.last.IsZero() {
		o.to.RecordAnswer(o.key, now.Sub(o.started), complete && !now.After(deadline))
	}
}
