package faults

import (
	"context"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/mix"
)

// memoryOwner kills sidecars and gateways and pauses sidecars while requests run, and
// checks for leaked engine memory.
func memoryOwner() scenario {
	return scenario{
		name: "memory_owner",
		cluster: cluster.Config{
			Topology: cluster.Topology{
				Gateways: 3, EnginesPerZone: 2,
				SidecarSettings: "\n[memory]\ngrace = 5s\nprefix_expiry = 10s\n",
			},
			// With leak_tokens, each completed request leaves an export behind.
			EngineSwitches: `{"prefill_tokens_per_second":100000,"token_time":"5ms","leak_tokens":64}`,
		},
		run: runMemoryOwner,
	}
}

// memoryReleaseLimit bounds the time until an allocation without an owner is
// released: the grace period in the sidecar settings, the interval at which the
// sidecar reconciles engine memory and 2 s for its calls to the engine.
const memoryReleaseLimit = 5*time.Second + 5*time.Second + 2*time.Second

func runMemoryOwner(ctx context.Context, s *scenarioRun) error {
	duration := 15 * time.Second
	if s.config.Short {
		duration = 8 * time.Second
	}
	background := s.startLoad(ctx, 40, duration, mix.Config{MaxPromptTokens: 100_000, MaxOutputTokens: 64, SharedPrefixes: 16})
	err := s.injectFaults(ctx, duration, time.Second, []fault{
		{"kill_sidecar", 3, killSidecar(config.KindModel)},
		{"kill_gateway", 1, killGateway},
		{"pause_sidecar", 1, pauseSidecar(config.KindModel)},
	})
	if err != nil {
		return err
	}
	if _, _, err := background.collect(ctx); err != nil {
		return err
	}
	begin := time.Now()
	held, example, err := s.HeldTokens(ctx)
	for err == nil && held > 0 && time.Since(begin) < memoryReleaseLimit {
		if err = sleep(ctx, pollInterval); err == nil {
			held, example, err = s.HeldTokens(ctx)
		}
	}
	if err != nil {
		return err
	}
	if held > 0 {
		s.report.comment("still held: " + example)
	}
	counters, err := s.EngineCounters(ctx)
	if err != nil {
		return err
	}
	var completed int64
	for _, c := range counters {
		completed += c.Completed
	}
	s.report.record("exports_left_by_engines", float64(completed), "pieces", atLeast(50))
	s.report.record("held_after_expiry", float64(held), "tokens", exactly(0))
	s.report.record("time_until_free", time.Since(begin).Seconds(), "s", atMost((memoryReleaseLimit + time.Second).Seconds()))
	return nil
}
