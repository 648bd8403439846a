package demo

import (
	"os"
	"testing"

	tables "siskinstand.example/coord/config"
	gatewayconfig "siskinstand.example/gateway/config"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
	"siskinstand.example/platform/engine"
	sidecarconfig "siskinstand.example/sidecar/config"
)

// Guards against settings and tables that the programs no longer accept.
func TestProgramsAcceptSettingsAndTables(t *testing.T) {
	l, err := newLayout(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := l.writeAll(); err != nil {
		t.Fatal(err)
	}
	for _, g := range l.gateways {
		if _, err := gatewayconfig.Load(l.path(g.name + ".ini")); err != nil {
			t.Error(err)
		}
	}
	for _, e := range l.endpoints {
		if _, err := sidecarconfig.Load(l.path(e.name + ".ini")); err != nil {
			t.Error(err)
		}
	}
	parsed, err := tables.Parse(readFile(t, l.path("routes.ini")), readFile(t, l.path("pools.ini")))
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := parsed.ModelRoute("demo", model); !ok || parsed.ZoneOut(outZone) {
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

// Guards against checks that overlook a broken invariant.
func TestChecksFindViolations(t *testing.T) {
	for line, want := range map[string]float64{
		`gateway_invariant_violations{name="zone_out",process="p"} 2`: 2,
		`gateway_invariant_violations{name="zone_out"} 0`:             0,
		`# HELP gateway_invariant_violations 3`:                       0,
		`gateway_requests{name="zone_out"} 5`:                         0,
	} {
		if got, _ := violations(line); got != want {
			t.Errorf("%s: got %g", line, got)
		}
	}
	if held := heldPiece(engine.State{Pieces: []engine.Piece{{Kind: engine.PiecePrefix}, {Kind: engine.PieceHold, ID: "h"}}}); held == "" {
		t.Error("hold overlooked")
	}
	whole := load.Result{Item: mix.Item{Class: mix.Class1k}, Outcome: load.Whole}
	plain := load.Result{Item: mix.Item{Class: mix.ClassPlain}, Outcome: load.Whole}
	lost := load.Result{Item: mix.Item{Class: mix.Class1k}, Outcome: load.MayHaveRun}
	if err := checkUseful([]load.Result{whole, plain}); err != nil {
		t.Error(err)
	}
	for name, results := range map[string][]load.Result{"nothing": nil, "no plain": {whole, whole}, "lost": {whole, plain, plain, lost}} {
		if checkUseful(results) == nil {
			t.Errorf("%s accepted", name)
		}
	}
}
