package cluster

import (
	"os"
	"testing"
	"time"

	"siskinstand.example/adapters/engine"
	tables "siskinstand.example/coord/config"
	gatewayconfig "siskinstand.example/gateway/config"
	sidecarconfig "siskinstand.example/sidecar/config"
)

// Guards against generated settings and tables that the programs reject.
func TestProgramsAcceptSettingsAndTables(t *testing.T) {
	l, err := newLayout(t.TempDir(), Topology{Gateways: 2, EnginesPerZone: 2, PlainServicesPerZone: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer l.ports.reservation.Close()
	if err := l.writeFiles(); err != nil {
		t.Fatal(err)
	}
	for _, g := range l.Gateways {
		if _, err := gatewayconfig.Load(l.Path(g.Name + ".ini")); err != nil {
			t.Error(err)
		}
	}
	for _, e := range l.Endpoints {
		if _, err := sidecarconfig.Load(l.Path(e.Name + ".ini")); err != nil {
			t.Error(err)
		}
	}
	parsed, err := tables.Parse(readFile(t, l.Path("routes.ini")), readFile(t, l.Path("pools.ini")))
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := parsed.ModelRoute("demo", Model); !ok || parsed.IsZoneOut("zone-b") {
		t.Error("no route to the model, or a zone is out at the start")
	}
}

func readFile(t *testing.T, path string) tables.File {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return tables.File{Name: path, Text: text}
}

// Guards against checks that miss a violation in the metrics or a hold that an
// engine still has.
func TestChecksFindViolations(t *testing.T) {
	for line, want := range map[string]float64{
		`gateway_invariant_violations{name="zone_out",process="p"} 2`: 2,
		`gateway_invariant_violations{name="zone_out"} 0`:             0,
		`# HELP gateway_invariant_violations 3`:                       0,
		`gateway_requests{name="zone_out"} 5`:                         0,
	} {
		if got, _ := parseViolationMetric(line); got != want {
			t.Errorf("%s: got %g, want the value for a count of violations only", line, got)
		}
	}
	if held := heldAllocation(engine.State{Allocations: []engine.Allocation{{Kind: engine.AllocationPrefix}, {Kind: engine.AllocationHold, ID: "h"}}}); held == "" {
		t.Error("got no held allocation, want the hold")
	}
}

// Guards against two clusters sharing a port block, where one could take the
// port of the other's process while that process is down.
func TestClustersHaveSeparatePorts(t *testing.T) {
	first, err := reservePortBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer first.reservation.Close()
	second, err := reservePortBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer second.reservation.Close()
	if first.basePort == second.basePort {
		t.Errorf("both clusters got the block from port %d, want separate blocks", first.basePort)
	}
}

// Guards against misread log timestamps. A violation is tolerated only if its
// gateway was disrupted at that time, so a wrong time hides a real violation or
// reports a tolerated one.
func TestLogTime(t *testing.T) {
	now := time.Now().Truncate(time.Microsecond)
	if got := logTime("E" + now.Format("0102 15:04:05.000000") + "   123 base.go:40] x"); !got.Equal(now) {
		t.Errorf("got %s, want %s", got, now)
	}
	if got := logTime("E"); !got.IsZero() {
		t.Errorf("line without a timestamp: got %s, want the zero time", got)
	}
}
