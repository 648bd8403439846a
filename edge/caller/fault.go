package caller

import (
	"cmp"
	"context"
	"errors"

	"k8s.io/klog/v2"

	"siskinstand.example/edge/control"
	"siskinstand.example/edge/replica"
)

// faultOf returns why a response whose head has arrived is not acceptable. A nil error is that of
// a complete response.
func faultOf(err error) replica.Fault {
	switch {
	case err == nil, errors.Is(err, errBadContinuation):
		return replica.FaultNotOwn
	case errors.Is(err, errNoEvents):
		return replica.FaultCut
	case errors.Is(err, errResponseTooLong), errors.Is(err, errEventTooLong), errors.Is(err, errNoEventIDs):
		return replica.FaultEndless
	}
	return cmp.Or(replica.FaultOf(err), replica.FaultCut)
}

// recordFault records a response that is not acceptable.
func (q *request) recordFault(ctx context.Context, a control.Assignment, o outcome) {
	if o.fault == replica.FaultNone || ctx.Err() != nil {
		return
	}
	q.server.metrics.scope.Tagged(map[string]string{"fault": string(o.fault)}).Counter("broken_responses").Inc(1)
	klog.V(1).InfoS("response is broken", "request_id", q.headers.AttemptID, "replica", a.Target.ID, "address", a.Target.Address, "fault", o.fault, "began", o.began, "verdict", o.err.Verdict, "err", o.err)
}
