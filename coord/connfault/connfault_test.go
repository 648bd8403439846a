package connfault

import (
	"net"
	"os"
	"syscall"
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
		"no route, bytes heard":             {NoRoute, Signs{Heard: true}, atLimit},
		"no route, other connection open":   {NoRoute, Signs{Open: true}, Effect{State: Unreachable, CloseIdle: true, MoveSilent: true, Listen: true}},
		"no route, no sign":                 {NoRoute, Signs{}, Effect{State: Unreachable, CloseIdle: true, MoveSilent: true, Listen: true}},
		"other, bytes heard":                {Other, Signs{Heard: true}, atLimit},
		"other, no sign":                    {Other, Signs{}, Effect{State: Unreachable, CloseIdle: true, MoveSilent: true, Listen: true}},
		"late, no sign":                     {Late, Signs{}, Effect{State: Unreachable, CloseIdle: true, MoveSilent: true, Listen: true}},
		"late, bytes heard":                 {Late, Signs{Heard: true}, atLimit},
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

// Guards against errors of a dial that are taken for silence, or for an answer of the replica.
func TestFailureOf(t *testing.T) {
	for err, want := range map[error]Failure{
		syscall.ECONNREFUSED: Refused, syscall.ECONNRESET: Reset, syscall.ECONNABORTED: Reset,
		syscall.ETIMEDOUT: Unanswered, os.ErrDeadlineExceeded: Unanswered,
		syscall.EHOSTUNREACH: NoRoute, syscall.ENETUNREACH: NoRoute, syscall.EPERM: NoRoute, syscall.EACCES: NoRoute,
		syscall.EMFILE: Local, syscall.EADDRNOTAVAIL: Local, syscall.EPROTO: Other,
	} {
		if got := FailureOf(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}); got != want {
			t.Errorf("%v is %s, want %s", err, got, want)
		}
	}
}
