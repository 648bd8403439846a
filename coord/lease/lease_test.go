package lease

import (
	"testing"
	"time"
)

// Guards against a holder that acts after a pause within the last third of
// its lease, and against a renewal counted from its answer.
func TestUsable(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l := Granted(7, start, 9*time.Second)
	for _, tc := range []struct {
		second          int
		usable, expired bool
	}{{0, true, false}, {5, true, false}, {6, false, false}, {8, false, false}, {9, false, true}} {
		if l.Usable(at(tc.second)) != tc.usable || l.Expired(at(tc.second)) != tc.expired {
			t.Errorf("after %d s: usable %t, expired %t", tc.second, l.Usable(at(tc.second)), l.Expired(at(tc.second)))
		}
	}
	l = l.Renewed(at(5), 9*time.Second).Renewed(at(3), 9*time.Second)
	if !l.Usable(at(10)) || l.Usable(at(11)) || !l.RenewAt().Equal(at(8)) {
		t.Errorf("renewed lease = %+v", l)
	}
	if (Lease{}).Renewed(start, time.Hour).Usable(start) {
		t.Error("a lease that was never granted is usable")
	}
}
