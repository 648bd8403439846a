package connfault

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against ending or moving requests, and against giving up a replica, because of a
// connection that failed for want of room. One subtest for each row of the table.
func TestJudge(t *testing.T) {
	atLimit := Effect{State: AtLimit}
	none := Effect{State: Unknown}
	tests := map[string]struct {
		failure Failure
		signs   Signs
		want    Effect
	}{
		"refused, other connection open":    {Refused, Signs{Open: true}, atLimit},
		"refused, bytes heard":              {Refused, Signs{Heard: true}, atLimit},
		"refused, no sign":                  {Refused, Signs{}, Effect{State: Unreachable, CloseIdle: true}},
		"unanswered, bytes heard":           {Unanswered, Signs{Open: true, Heard: true}, atLimit},
		"unanswered, other connection open": {Unanswered, Signs{Open: true}, Effect{State: Unreachable, CloseIdle: true, MoveSilent: true}},
		"unanswered, no sign":               {Unanswered, Signs{}, Effect{State: Unreachable, CloseIdle: true, MoveSilent: true}},
		"reset, other connection open":      {Reset, Signs{Open: true}, atLimit},
		"reset, bytes heard":                {Reset, Signs{Heard: true}, atLimit},
		"reset, no sign":                    {Reset, Signs{}, none},
		"local, no sign":                    {Local, Signs{}, none},
		"local, other connection open":      {Local, Signs{Open: true}, none},
		"cancelled, no sign":                {Cancelled, Signs{}, none},
		"cancelled, other connection open":  {Cancelled, Signs{Open: true, Heard: true}, none},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, Judge(tc.failure, tc.signs)); diff != "" {
				t.Errorf("effect (-want +got):\n%s", diff)
			}
		})
	}
}
