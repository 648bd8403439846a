package faults

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"siskinstand.example/loadgen/load"
)

// Guards against a scenario that succeeds although a target was missed.
func TestMissedTargetsFail(t *testing.T) {
	var out strings.Builder
	r := &report{scenario: "s", out: &out}
	r.record("met", 2, "endpoints", atMost(2))
	r.record("free", 7, "s", noTarget)
	if err := r.missedTargetsError(); err != nil {
		t.Fatal(err)
	}
	for _, target := range []target{exactly(0), atMost(0.5), below(1), atLeast(2)} {
		r.record("missed", 1, "keys", target)
	}
	if err := r.missedTargetsError(); err == nil || strings.Count(err.Error(), "missed is 1 keys") != 4 {
		t.Errorf("got error %v, want the 4 missed targets", err)
	}
	if !strings.Contains(out.String(), "s.met=2 endpoints target <=2\n") || !strings.Contains(out.String(), "s.missed=1 keys target 0 MISSED\n") {
		t.Errorf("printed\n%s\nwant a line without MISSED for the met target and one with it for the missed one", out.String())
	}
}

// Guards against tolerating truncated responses of a gateway because another
// gateway was disrupted, or because of a disruption at another time.
func TestOnlyDisruptedGatewaysMayTruncate(t *testing.T) {
	s := &scenarioRun{}
	before := time.Now().Add(-time.Minute)
	end := s.disruptions.begin("a")
	truncated := load.Result{Outcome: load.Truncated, Gateway: "a", Started: before}
	if !s.isAllowed(truncated) {
		t.Error("truncated response of a disrupted gateway is not allowed")
	}
	wrong := load.Result{Outcome: load.Wrong, Gateway: "a", Started: before}
	other := load.Result{Outcome: load.Truncated, Gateway: "b", Started: before}
	if s.isAllowed(wrong) || s.isAllowed(other) {
		t.Error("wrong response, or truncated response of an undisrupted gateway, is allowed")
	}
	end()
	if s.disruptions.overlaps("a", before, before.Add(time.Second)) || s.disruptions.overlaps("a", time.Now().Add(2*recoveryTime), time.Now().Add(3*recoveryTime)) {
		t.Error("time before or after the disruption counts as disrupted")
	}
}

// Guards against a fault schedule that depends on more than the seed.
func TestSeedReplaysSchedule(t *testing.T) {
	draw := func() (names []string) {
		random := rand.New(rand.NewPCG(9, 1))
		for range 100 {
			names = append(names, pickFault(random, mixedFaults()).name)
		}
		return names
	}
	first, second := strings.Join(draw(), " "), strings.Join(draw(), " ")
	if first != second || !strings.Contains(first, "zone_out") || !strings.Contains(first, "kill_gateway") {
		t.Errorf("got %s and %s, want the same faults twice, zone_out and kill_gateway among them", first, second)
	}
}
