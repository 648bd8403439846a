package control

import (
	"testing"
	"time"

	pb "siskinstand.example/peerpb"
)

// Guards against delaying a change that affects an endpoint, and against sending a
// message to every endpoint for each change that does not affect it.
func TestQueueUpdateDelaysRevisionOnlyChanges(t *testing.T) {
	start := time.Unix(1000, 0)
	s := &controlStream{requests: make(chan *pb.ControlRequest, 1)}
	slice := func(revision uint64, out bool) *pb.Slice {
		return &pb.Slice{Revision: revision, Pool: "p", ZoneOut: out}
	}
	steps := []struct {
		name  string
		after time.Duration
		slice *pb.Slice
		sent  bool
	}{
		{"first slice", 0, slice(1, false), true},
		{"revision only", time.Second, slice(2, false), false},
		{"zone out", 2 * time.Second, slice(3, true), true},
		{"revision only again", 3 * time.Second, slice(4, true), false},
		{"interval elapsed", 2*time.Second + minRevisionInterval, slice(5, true), true},
		{"unchanged", time.Hour, slice(5, true), false},
	}
	for _, step := range steps {
		due := s.queueUpdate(start.Add(step.after), step.slice, nil, 1)
		sent := len(s.requests) > 0
		if sent {
			<-s.requests
		}
		if sent != step.sent || (!sent && step.name != "unchanged" && due.IsZero()) {
			t.Errorf("%s: sent %t, due %v; want the sent value of the step, and a due time for a delayed slice", step.name, sent, due)
		}
	}
}
