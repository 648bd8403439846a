package dispatch

import (
	"testing"
	"time"

	"siskinstand.example/coord/verdict"
	pb "siskinstand.example/peerpb"
)

// Guards against a gateway that was paused and starts a call after its
// deadline. The attempt has no stream, so sending a message would panic.
func TestNoStartAfterDeadline(t *testing.T) {
	s := &attemptState{x: &execution{r: &Request{ID: "r", Deadline: time.Now().Add(-time.Second)}}}
	failure := s.admit(&pb.Admitted{StartRequired: true})
	if failure == nil || failure.Verdict != verdict.NotRun || failure.Reason != verdict.ReasonDeadlineExceeded {
		t.Errorf("admit = %v, want not_run with %s", failure, verdict.ReasonDeadlineExceeded)
	}
}
