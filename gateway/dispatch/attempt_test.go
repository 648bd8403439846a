package dispatch

import (
	"testing"
	"time"

	"siskinstand.example/coord/verdict"
	pb "siskinstand.example/peerpb"
)

// Guards against starting a call after its deadline, when the gateway process
// was paused before it read the admission. The attempt has no stream, so sending
// a message would panic.
func TestNoStartAfterDeadline(t *testing.T) {
	s := &attemptState{execution: &execution{request: &Request{ID: "r", Deadline: time.Now().Add(-time.Second)}}}
	failure := s.handleAdmitted(&pb.Admitted{StartRequired: true})
	if failure == nil || failure.Verdict != verdict.NotRun || failure.Reason != verdict.ReasonDeadlineExceeded {
		t.Errorf("admit = %v, want not_run with %s", failure, verdict.ReasonDeadlineExceeded)
	}
}
