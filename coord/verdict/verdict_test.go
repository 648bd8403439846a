package verdict

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against the verdict not_run for an error that does not prove that the
// request did not start.
func TestFromError(t *testing.T) {
	tests := map[string]struct {
		err  error
		want Verdict
	}{
		"plain error":   {errors.New("broken pipe"), MayHaveRun},
		"owner refused": {New(NotRun, ReasonOverloaded, "queue full"), NotRun},
		"wrapped":       {fmt.Errorf("attempt 2: %w", New(Ran, ReasonInternal, "bad answer")), Ran},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := FromError(tc.err); got != tc.want {
				t.Errorf("FromError(%v) = %s, want %s", tc.err, got, tc.want)
			}
		})
	}
}

// Guards against a second run of a non-repeatable call.
func TestCanRetry(t *testing.T) {
	tests := map[string]struct {
		verdict    Verdict
		repeatable bool
		want       bool
	}{
		"not run, unrepeatable":      {NotRun, false, true},
		"may have run, unrepeatable": {MayHaveRun, false, false},
		"may have run, repeatable":   {MayHaveRun, true, true},
		"ran":                        {Ran, true, false},
		"unknown wire text":          {Parse("perhaps"), false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tc.verdict.CanRetry(tc.repeatable); got != tc.want {
				t.Errorf("CanRetry = %t, want %t", got, tc.want)
			}
		})
	}
}
