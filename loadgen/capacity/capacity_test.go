package capacity

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a wrong slope, a projection that is labeled as measured, and a
// row that exceeds its limit or has no value but is shown as within it.
func TestRowFit(t *testing.T) {
	points := []Point{{1, 3}, {2, 5}, {4, 9}}
	projected := Row{Points: points, DesignX: 10, Limit: 20, Remedy: "less"}.Fit()
	if projected.Kind != Projected || math.Abs(projected.Value-21) > 1e-9 || math.Abs(projected.Slope-2) > 1e-9 || !projected.ExceedsLimit() {
		t.Errorf("got %+v, want a projected 21 over its limit with slope 2", projected)
	}
	if !strings.Contains(projected.verdict(), "**over**: less") {
		t.Errorf("got verdict %q, want it over the limit with the remedy", projected.verdict())
	}
	measured := Row{Points: points, DesignX: 4, Limit: 9}.Fit()
	if measured.Kind != Measured || measured.Value != 9 || measured.ExceedsLimit() {
		t.Errorf("got %+v, want a measured 9 within its limit", measured)
	}
	if empty := (Row{Limit: 1}).Fit(); !empty.ExceedsLimit() {
		t.Errorf("a row without points is within its limit: %+v", empty)
	}
}

// Guards against an update that deletes the text around the markers or silently
// leaves old tables in place.
func TestReplaceMarked(t *testing.T) {
	page := "before\n" + beginMarker + "\nold\n" + endMarker + "\nafter\n"
	got, err := replaceMarked(page, "new\n")
	if err != nil || !strings.HasPrefix(got, "before\n") || !strings.HasSuffix(got, "\nafter\n") || strings.Contains(got, "old") || !strings.Contains(got, "\nnew\n") {
		t.Errorf("got %q, %v; want only the text between the markers replaced", got, err)
	}
	if again, err := replaceMarked(got, "new\n"); err != nil || again != got {
		t.Errorf("second replacement changed the page: %q, %v", again, err)
	}
	for _, broken := range []string{"no mark", beginMarker, endMarker + beginMarker} {
		if _, err := replaceMarked(broken, "new"); err == nil {
			t.Errorf("page %q without valid markers was accepted", broken)
		}
	}
}

// Guards against reading the wrong fields of /proc and /metrics.
func TestParsers(t *testing.T) {
	stat := "7 (a) b) S 1 7 7 0 -1 4194560 900 0 0 0 150 50 0 0 20 0 9 0 100 1 2"
	if got, err := parseCPUTime(stat); err != nil || got != 2*time.Second {
		t.Errorf("stat: got %s, %v; want 2s", got, err)
	}
	if got, err := parseResidentBytes("Name:\tx\nVmRSS:\t    2048 kB\n"); err != nil || got != 2<<20 {
		t.Errorf("status: got %g, %v; want 2 MiB", got, err)
	}
	for line, want := range map[string]float64{
		`gateway_rpc_bytes{direction="sent",method="Control",process="g"} 12`: 12,
		`gateway_rpc_bytes{direction="sent",method="Status",process="g"} 12`:  0,
		`# TYPE gateway_rpc_bytes counter`:                                    0,
	} {
		if got, _ := parseControlBytes(line); got != want {
			t.Errorf("%s: got %g, want the value for a Control call only", line, got)
		}
	}
}

// Guards against a simulation that depends on anything but its seed, and against
// changes that don't reach all gateways.
func TestPropagationIsDeterministic(t *testing.T) {
	run := func() []float64 {
		sim := newGossipSimulation(1, 10*time.Millisecond, time.Second)
		sim.run(sim.now.Add(2*time.Second), nil)
		return sim.measurePropagation(5, 10)
	}
	first := run()
	if len(first) != 10 {
		t.Errorf("%d changes are in force everywhere, want 10", len(first))
	}
	if diff := cmp.Diff(first, run()); diff != "" {
		t.Error(diff)
	}
}

// Guards against an isolated region that receives changes. Messages sent before
// the isolation once delivered them during it, and recovery then took no time.
func TestIsolationRecoveryNeedsSnapshots(t *testing.T) {
	const load = 300 * time.Millisecond
	sim := newGossipSimulation(1, time.Millisecond, load)
	if recovered := sim.measureIsolationRecovery(); recovered < load || sim.snapshots == 0 {
		t.Errorf("recovered in %s with %d snapshots, want at least 300ms and 1 snapshot", recovered, sim.snapshots)
	}
}

// Guards against loads that exceed the store's rate unnoticed: the backlog must
// stay within the burst with permits and exceed it without them.
func TestZoneReturn(t *testing.T) {
	zone := simulateZoneReturn(1, 200)
	if zone.permits != 200 || zone.peakBacklog > 1 {
		t.Errorf("with permits: got %+v, want 200 permits and a peak backlog of at most 1", zone)
	}
	start := time.Unix(0, 0)
	if _, peak := simulateStoreLoads(start, slices.Repeat([]time.Time{start}, 200)); peak <= 1 {
		t.Errorf("200 simultaneous loads: peak backlog %g, want over 1", peak)
	}
	if again := simulateZoneReturn(1, 200); again != zone {
		t.Errorf("second run: got %+v, want %+v as in the first", again, zone)
	}
}
