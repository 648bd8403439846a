package caller

import (
	"errors"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/service/http1"
	"siskinstand.example/service/membudget"
)

// incompleteCause says why a caller did not get a whole response. Apart from the causes below, it
// is the reason of the failure that ended a response which had begun.
type incompleteCause string

const (
	causeCallerLeft   incompleteCause = "caller_left"
	causeClosedByHost incompleteCause = "closed_by_host"
	causeMemory       incompleteCause = "memory"
)

// recordIncomplete records that the response ends without being whole.
func (q *request) recordIncomplete(reason verdict.Reason) {
	if q.incomplete != "" {
		return
	}
	q.incomplete = incompleteCause(reason)
	if reason == verdict.ReasonCancelled {
		q.incomplete = causeCallerLeft
		if http1.ClosedByServer(q.httpRequest.Context()) {
			q.incomplete = causeClosedByHost
		}
	}
}

// recordWriteFailure records that the body of a buffered response could not be written whole.
func (q *request) recordWriteFailure(err error) {
	q.detail = err.Error()
	if errors.Is(err, membudget.ErrEvicted) {
		q.incomplete = causeMemory
		return
	}
	q.detail = q.disconnectCause() + ": " + q.detail
	q.recordIncomplete(verdict.ReasonCancelled)
}
