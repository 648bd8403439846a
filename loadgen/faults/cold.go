package faults

import (
	"context"
	"time"

	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/mix"
)

// coldEndpoints starts engines cold, crashes them and turns them cold under
// load.
func coldEndpoints() scenario {
	return scenario{
		name:    "cold_endpoints",
		cluster: cluster.Config{Topology: cluster.Topology{Gateways: 3, EnginesPerZone: 2}, EngineSwitches: coldEngineSwitches},
		run:     runColdEndpoints,
	}
}

func (s *scenarioRun) collapsedSteps(ctx context.Context) (float64, error) {
	counters, err := s.EngineCounters(ctx)
	var sum int64
	for _, c := range counters {
		sum += c.CollapsedSteps
	}
	return float64(sum), err
}

func runColdEndpoints(ctx context.Context, s *scenarioRun) error {
	const rate, crashes, down = 40, 3, 3 * time.Second
	length := 8*time.Second + crashes*down + 9*time.Second
	background := s.startLoad(ctx, rate, length, mix.Config{MaxPromptTokens: 30_000, MaxOutputTokens: 32, SharedPrefixes: 16})
	if err := sleep(ctx, 8*time.Second); err != nil {
		return err
	}
	started, err := s.collapsedSteps(ctx)
	if err != nil {
		return err
	}
	s.report.record("collapsed_steps_after_start", started, "steps", exactly(0))
	for range crashes {
		_ = crashEngine(ctx, s, s.random)
		if err := sleep(ctx, down); err != nil {
			return err
		}
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	crashed, err := s.collapsedSteps(ctx)
	if err != nil {
		return err
	}
	s.report.record("collapsed_steps_after_crashes", crashed-started, "steps", exactly(0))
	// The work that an engine holds when it turns cold was admitted to a warm
	// one, so its first steps may collapse; nothing may be added to it.
	for range 2 {
		if err := turnEngineCold(ctx, s, s.random); err != nil {
			return err
		}
		if err := sleep(ctx, 3*time.Second); err != nil {
			return err
		}
	}
	turned, err := s.collapsedSteps(ctx)
	if err != nil {
		return err
	}
	s.report.record("collapsed_steps_after_cold_turns", turned-crashed, "steps", noTarget)
	return s.reportLost(ctx, background)
}
