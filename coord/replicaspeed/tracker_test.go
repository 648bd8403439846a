package replicaspeed

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const predicted = 80 * time.Millisecond

// observeRatio lets one request to a replica, in a zone of its own, take ratio times as long as
// predicted.
func observeRatio(t *Tracker, now time.Duration, id uint32, ratio float64) {
	number := uint64(now) + uint64(id)
	t.Begin(number, Request{Replica: id, Zone: fmt.Sprint(id), SentAt: now, Predicted: predicted})
	t.FirstEvent(now, number, now+time.Duration(ratio*float64(predicted)))
}

// slowFactor returns the factor of a replica, 1 if it is nominal.
func slowFactor(t *Tracker, now time.Duration, id uint32) float64 {
	t.refreshedAt = now - refreshInterval
	t.Refresh(now)
	if f, ok := t.Slow()[id]; ok {
		return f
	}
	return 1
}

func checkFactor(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.05*want {
		t.Errorf("%s: factor %.2f, want %.2f", what, got, want)
	}
}

func TestOwnEvidence(t *testing.T) {
	// Load patterns: results without any report of another host. Guards against one outlier
	// that moves the factor, and against hosts that learn nothing by themselves if all reports
	// are lost.
	for name, c := range map[string]struct {
		ratios []float64
		want   float64
	}{
		"unknown":           {nil, 1},
		"one outlier":       {[]float64{8}, 1},
		"two slow":          {[]float64{4, 4}, 4},
		"outlier after one": {[]float64{1, 16}, 1},
		"two outliers":      {[]float64{1, 16, 1, 16, 1}, 1},
		"slow with one fast": {
			[]float64{4, 4, 1, 4, 4}, 4,
		},
		"bounded": {[]float64{100, 100, 100}, 16},
		"fast":    {[]float64{0.4, 0.4, 0.4}, 1},
		"usual":   {[]float64{1.2, 0.8, 1.2, 1.1}, 1},
	} {
		tracker := New(DefaultConfig())
		for i, ratio := range c.ratios {
			observeRatio(tracker, time.Duration(i)*time.Millisecond, 1, ratio)
		}
		checkFactor(t, name, slowFactor(tracker, 10*time.Millisecond, 1), c.want)
	}
}

func TestEvidenceAgesOut(t *testing.T) {
	// Guards against a replica that is never tried again, and against state that stays.
	tracker := New(DefaultConfig())
	for i := range time.Duration(3) {
		observeRatio(tracker, i, 1, 4)
	}
	last := 16.0
	for now := time.Duration(0); now < 12*time.Second; now += time.Second {
		f := slowFactor(tracker, now, 1)
		if f > last {
			t.Errorf("factor grows from %.2f to %.2f without new evidence", last, f)
		}
		last = f
		if now == 5*time.Second {
			checkFactor(t, "half of MaxAge", f, 2)
		}
	}
	if last != 1 || len(tracker.replicas) != 0 || len(tracker.zones) != 0 {
		t.Errorf("after 11 s: factor %.2f, %d replicas, %d zones; want nominal and no state", last, len(tracker.replicas), len(tracker.zones))
	}
}

func TestSlowZoneFades(t *testing.T) {
	// Guards against blaming the replicas of a slow zone, by the results before it was found to
	// be slow, and against an added delay that stays until the evidence is gone.
	tracker := New(DefaultConfig())
	tracker.zoneCount = 2
	for number := range uint64(6) {
		tracker.Begin(number, Request{Replica: uint32(number % 3), Zone: "z", Predicted: predicted})
	}
	for _, number := range []uint64{0, 3, 1, 4, 2, 5} {
		tracker.FirstEvent(0, number, 4*predicted)
	}
	for _, c := range []struct{ at, want time.Duration }{{0, 240 * time.Millisecond}, {5 * time.Second, 120 * time.Millisecond}, {11 * time.Second, 0}} {
		for id := range uint32(3) {
			checkFactor(t, "replica of a slow zone", slowFactor(tracker, c.at, id), 1)
		}
		if got := tracker.Delays()["z"]; got != c.want {
			t.Errorf("added delay after %v is %v, want %v", c.at, got, c.want)
		}
	}
}

func TestOverdueRequestIsEvidence(t *testing.T) {
	// Guards against a host that learns of a very slow replica only after its first events, and
	// against one request that counts twice.
	tracker := New(DefaultConfig())
	notFull := func(Request) bool { return false }
	for number := range uint64(2) {
		tracker.Begin(number, Request{Replica: 1, Zone: "z", Predicted: predicted})
	}
	tracker.ObserveOverdue(170*time.Millisecond, func(Request) bool { return true })
	checkFactor(t, "while the replica is full", slowFactor(tracker, 170*time.Millisecond, 1), 1)
	tracker.End(1)
	for _, now := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		tracker.ObserveOverdue(now, notFull)
	}
	checkFactor(t, "one overdue request", slowFactor(tracker, 400*time.Millisecond, 1), 1)
	tracker.Begin(2, Request{Replica: 1, Zone: "z", SentAt: 400 * time.Millisecond, Predicted: predicted})
	tracker.ObserveOverdue(600*time.Millisecond, notFull)
	if f := slowFactor(tracker, 600*time.Millisecond, 1); f < 2 {
		t.Errorf("two overdue requests: factor %.2f, want at least 2", f)
	}
}

// reportAbout returns the report of a host that has seen n requests to a replica.
func reportAbout(now time.Duration, id uint32, ratio float64, n int) []byte {
	other := New(DefaultConfig())
	for i := range n {
		observeRatio(other, now-time.Duration(i), id, ratio)
	}
	return other.AppendReport(now, nil, 512)
}

func TestReports(t *testing.T) {
	now := time.Second
	merge := func(tracker *Tracker, now time.Duration, host string, ratio float64, n int) {
		t.Helper()
		data := reportAbout(now, 1, ratio, n)
		if len(data) == 0 {
			t.Fatal("empty report")
		}
		if err := tracker.MergeReport(now, host, data); err != nil {
			t.Fatal(err)
		}
	}
	t.Run("two hosts", func(t *testing.T) {
		// Guards against evidence of one sample at each of several hosts that gets lost, and
		// against reports that stay after their host has restarted or is silent.
		tracker := New(DefaultConfig())
		merge(tracker, now, "a", 4, 1)
		checkFactor(t, "one host", slowFactor(tracker, now, 1), 1)
		merge(tracker, now, "b", 4, 1)
		checkFactor(t, "two hosts", slowFactor(tracker, now, 1), 4)
		checkFactor(t, "silent hosts", slowFactor(tracker, now+4*time.Second, 1), 1)
		merge(tracker, now, "b", 4, 1)
		merge(tracker, now, "a", 4, 1)
		tracker.RemoveHost("b")
		checkFactor(t, "one host restarted", slowFactor(tracker, now, 1), 1)
	})
	t.Run("own evidence contradicts", func(t *testing.T) {
		// Guards against false reports that take a replica out of use which answers this host
		// in time.
		tracker := New(DefaultConfig())
		for _, host := range []string{"a", "b", "c"} {
			merge(tracker, now, host, 16, 5)
		}
		for i := range time.Duration(2) {
			observeRatio(tracker, now+i, 1, 1)
		}
		checkFactor(t, "own results are nominal", slowFactor(tracker, now, 1), 1)
		if data := tracker.AppendReport(now, nil, 512); len(data) != entryBytes || decodeFactor(data[4]) != 1 {
			t.Errorf("report %v, want the contradicting evidence", data)
		}
	})
	t.Run("restart", func(t *testing.T) {
		// Guards against the factor of the old process for the new one, also from hosts that
		// learn of the restart later.
		tracker := New(DefaultConfig())
		merge(tracker, now, "a", 4, 5)
		merge(tracker, now, "b", 4, 5)
		observeRatio(tracker, now, 1, 4)
		for number := range uint64(2) {
			tracker.Begin(number, Request{Replica: 1, Zone: "z", SentAt: now, Predicted: predicted})
		}
		tracker.Reset(now, 1)
		merge(tracker, now, "a", 4, 5)
		merge(tracker, now, "b", 4, 5)
		for number := range uint64(2) {
			tracker.FirstEvent(now, number, now+time.Second)
		}
		checkFactor(t, "restarted", slowFactor(tracker, now, 1), 1)
	})
	t.Run("invalid and many", func(t *testing.T) {
		// Guards against a crash by a malformed report and against state without bound.
		tracker := New(DefaultConfig())
		if tracker.MergeReport(now, "a", make([]byte, 7)) == nil {
			t.Error("report of an odd length accepted")
		}
		for i := range maxReplicas + 100 {
			_ = tracker.MergeReport(now, "a", []byte{1, byte(i >> 16), byte(i >> 8), byte(i), 255, 1})
		}
		for i := range 2 * maxReportsPerReplica {
			_ = tracker.MergeReport(now, fmt.Sprint(i), []byte{1, 0, 0, 0, 255, 1})
		}
		if n, reports := len(tracker.replicas), len(tracker.replicas[1<<24].reports); n > maxReplicas || reports > maxReportsPerReplica {
			t.Errorf("%d replicas, %d reports about one; want at most %d and %d", n, reports, maxReplicas, maxReportsPerReplica)
		}
	})
	t.Run("rotation", func(t *testing.T) {
		// Guards against entries that are never sent if not all fit into a section.
		tracker := New(DefaultConfig())
		for id := range uint32(200) {
			observeRatio(tracker, now, id, 4+float64(id%3))
		}
		seen := map[uint32]bool{}
		for i := range time.Duration(8) {
			data := tracker.AppendReport(now+i*time.Second, nil, 512)
			if len(data) > 512 {
				t.Fatalf("report of %d bytes", len(data))
			}
			for ; len(data) > 0; data = data[entryBytes:] {
				seen[uint32(data[2])<<8|uint32(data[3])] = true
			}
		}
		if len(seen) != 200 {
			t.Errorf("%d of 200 replicas reported in 8 reports", len(seen))
		}
	})
}
