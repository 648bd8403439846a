package verdict

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against "not run" being reported for an error that proves nothing.
func TestOf(t *testing.T) {
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
				t.Errorf("Of(%v) = %s, want %s", tc.err, got, tc.want)
			}
		})
	}
}

// Guards against a second run of a call that may not be repeated.
func TestCanRepeat(t *testing.T) {
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
				t.Errorf("CanRepeat = %t, want %t", got, tc.want)
			}
		})
	}
}
