package faults

import (
	"context"
	"time"

	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/mix"
)

// memoryOwner kills sidecars and gateways below running requests and looks for
// engine memory that nobody gives back.
func memoryOwner() scenario {
	return scenario{
		name: "memory_owner",
		cluster: cluster.Config{
			Shape: cluster.Shape{
				Gateways: 3, EnginesByZone: 2,
				SidecarSettings: "\n[memory]\ngrace = 5s\nprefix_expiry = 10s\n",
			},
			// Each finished request leaves an export behind.
			EngineSwitches: `{"prefill_tokens_per_second":100000,"token_time":"5ms","leak_tokens":64}`,
		},
		run: runMemoryOwner,
	}
}

// memoryExpiry is the grace for a piece without an owner in the scenario's
// settings, an interval of the sweep, and a probe of the engine.
const memoryExpiry = 5*time.Second + 5*time.Second + 2*time.Second

func runMemoryOwner(ctx context.Context, s *stage) error {
	length := 15 * time.Second
	if s.config.Short {
		length = 8 * time.Second
	}
	background := s.sendLoad(ctx, 40, length, mix.Config{MaxPromptTokens: 100_000, MaxOutputTokens: 64, SharedPrefixes: 16})
	err := s.inject(ctx, length, time.Second, []fault{
		{"kill_sidecar", 3, killSidecar(false)},
		{"kill_gateway", 1, killGateway},
		{"pause_sidecar", 1, pauseSidecar(false)},
	})
	if err != nil {
		return err
	}
	if _, _, err := background.judge(ctx); err != nil {
		return err
	}
	begin := time.Now()
	held, example, err := s.HeldTokens(ctx)
	for err == nil && held > 0 && time.Since(begin) < memoryExpiry {
		if err = rest(ctx, pollInterval); err == nil {
			held, example, err = s.HeldTokens(ctx)
		}
	}
	if err != nil {
		return err
	}
	if held > 0 {
		s.report.note("still held: " + example)
	}
	counters, err := s.EngineCounters(ctx)
	if err != nil {
		return err
	}
	var whole int64
	for _, c := range counters {
		whole += c.Completed
	}
	s.report.figure("exports_left_by_engines", float64(whole), "pieces", atLeast(50))
	s.report.figure("held_after_expiry", float64(held), "tokens", exactly(0))
	s.report.figure("time_until_free", time.Since(begin).Seconds(), "s", atMost((memoryExpiry + time.Second).Seconds()))
	return nil
}
