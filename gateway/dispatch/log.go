package dispatch

import (
	"k8s.io/klog/v2"

	"siskinstand.example/coord/verdict"
	"siskinstand.example/service/logging"
)

// attemptVerbosity is the klog verbosity at which every attempt whose offer was
// sent is logged.
const attemptVerbosity = 2

// logOutcome logs the outcome of an attempt. The failure message is omitted,
// because it can contain text from an engine.
func (s *attemptState) logOutcome(failure *verdict.Error) {
	if !klog.V(attemptVerbosity).Enabled() {
		return
	}
	fields := []any{
		logging.FieldRequestID, s.execution.request.ID, logging.FieldAttempt, s.number,
		logging.FieldAccount, s.execution.request.Account.Name, logging.FieldEndpoint, s.target.endpoint.Name,
	}
	if failure != nil {
		fields = append(fields, logging.FieldVerdict, failure.Verdict, logging.FieldReason, failure.Reason)
	}
	klog.InfoS("attempt", fields...)
}
