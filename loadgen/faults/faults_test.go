package faults

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"siskinstand.example/loadgen/load"
)

// Guards against a missed target that does not fail the scenario.
func TestMissedTargetsFail(t *testing.T) {
	var out strings.Builder
	r := &report{scenario: "s", out: &out}
	r.figure("met", 2, "endpoints", atMost(2))
	r.figure("free", 7, "s", none)
	if err := r.missed(); err != nil {
		t.Fatal(err)
	}
	for _, target := range []target{exactly(0), atMost(0.5), below(1), atLeast(2)} {
		r.figure("missed", 1, "keys", target)
	}
	if err := r.missed(); err == nil || strings.Count(err.Error(), "missed is 1 keys") != 4 {
		t.Errorf("got %v", err)
	}
	if !strings.Contains(out.String(), "s.met=2 endpoints target <=2\n") || !strings.Contains(out.String(), "s.missed=1 keys target 0 MISSED\n") {
		t.Errorf("printed\n%s", out.String())
	}
}

// Guards against a fault of one gateway that excuses the answers of another, or
// those from before and after it.
func TestOnlyDisturbedGatewaysExcuse(t *testing.T) {
	s := &stage{}
	before := time.Now().Add(-time.Minute)
	end := s.log.begin("a")
	cut := load.Result{Outcome: load.Truncated, Gateway: "a", Started: before}
	if !s.allowed(cut) {
		t.Error("answer of a killed gateway is not excused")
	}
	wrong := load.Result{Outcome: load.Wrong, Gateway: "a", Started: before}
	other := load.Result{Outcome: load.Truncated, Gateway: "b", Started: before}
	if s.allowed(wrong) || s.allowed(other) {
		t.Error("wrong answer, or answer of another gateway, is excused")
	}
	end()
	if s.log.excuses("a", before, before.Add(time.Second)) || s.log.excuses("a", time.Now().Add(2*settle), time.Now().Add(3*settle)) {
		t.Error("answer before or after the fault is excused")
	}
}

// Guards against a schedule that the seed does not replay.
func TestSeedReplaysSchedule(t *testing.T) {
	draw := func() (names []string) {
		random := rand.New(rand.NewPCG(9, 1))
		for range 100 {
			names = append(names, pickFault(random, allFaults()).name)
		}
		return names
	}
	first, second := strings.Join(draw(), " "), strings.Join(draw(), " ")
	if first != second || !strings.Contains(first, "zone_out") || !strings.Contains(first, "kill_gateway") {
		t.Errorf("got %s and %s", first, second)
	}
}
