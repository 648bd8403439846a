//go:build known_red

package suspect

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a request that is refused after one strike since it last finished. The
// strike from before the clearance counts again if its report arrives in another order.
func TestClearanceEndsOlderStrikes(t *testing.T) {
	reports := []Report{
		{Fingerprint: 7, Crashes: []CrashID{1}, Strikes: 1, Age: 3 * time.Minute},
		{Fingerprint: 7, Crashes: []CrashID{1}, Strikes: 1, Age: 2 * time.Minute, Cleared: true},
		{Fingerprint: 7, Crashes: []CrashID{2}, Strikes: 1, Age: time.Minute},
	}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			tracker := New(DefaultConfig())
			for _, i := range order {
				tracker.Merge(start, reports[i:i+1])
			}
			// A strike after a clearance starts a new count.
			if got := tracker.Status(start, 7); got != StatusIsolate {
				t.Errorf("status after a strike, a clearance and a newer strike = %s, want isolate", got)
			}
		})
	}
}
