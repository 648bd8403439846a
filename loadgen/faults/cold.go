package faults

import (
	"context"
	"time"

	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/mix"
)

// coldEndpoints starts engines cold, crashes them and makes warm engines cold
// under load.
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
	const requestsPerSecond, crashes, downtime = 40, 3, 3 * time.Second
	duration := 8*time.Second + crashes*downtime + 9*time.Second
	background := s.startLoad(ctx, requestsPerSecond, duration, mix.Config{MaxPromptTokens: 30_000, MaxOutputTokens: 32, SharedPrefixes: 16})
	if err := sleep(ctx, 8*time.Second); err != nil {
		return err
	}
	afterStart, err := s.collapsedSteps(ctx)
	if err != nil {
		return err
	}
	s.report.record("collapsed_steps_after_start", afterStart, "steps", exactly(0))
	for range crashes {
		_ = crashEngine(ctx, s, s.random)
		if err := sleep(ctx, downtime); err != nil {
			return err
		}
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	afterCrashes, err := s.collapsedSteps(ctx)
	if err != nil {
		return err
	}
	s.report.record("collapsed_steps_after_crashes", afterCrashes-afterStart, "steps", exactly(0))
	// An engine that turns cold still has requests that were admitted while it was
	// warm, so its first steps may collapse and the figure has no target. No further
	// requests may be sent to it, which is not checked.
	for range 2 {
		if err := turnEngineCold(ctx, s, s.random); err != nil {
			return err
		}
		if err := sleep(ctx, 3*time.Second); err != nil {
			return err
		}
	}
	afterColdTurns, err := s.collapsedSteps(ctx)
	if err != nil {
		return err
	}
	s.report.record("collapsed_steps_after_cold_turns", afterColdTurns-afterCrashes, "steps", noTarget)
	return s.reportLost(ctx, background)
}
