package dispatch

import (
	"k8s.io/klog/v2"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/service/logging"
)

// attemptVerbosity is the verbosity that logs every attempt.
const attemptVerbosity = 2

// log writes the outcome of an attempt. The message of a failure is left out,
// since it can quote an engine.
func (s *attemptState) log(failure *verdict.Error) {
	if !klog.V(attemptVerbosity).Enabled() {
		return
	}
	fields := []any{
		logging.FieldRequestID, s.x.r.ID, logging.FieldAttempt, s.number,
		logging.FieldAccount, s.x.r.Account.Name, logging.FieldEndpoint, s.target.endpoint.Name,
	}
	if failure != nil {
		fields = append(fields, logging.FieldVerdict, failure.Verdict, logging.FieldReason, failure.Reason)
	}
	klog.InfoS("attempt", fields...)
}
