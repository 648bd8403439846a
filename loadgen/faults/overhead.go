package faults

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// overhead compares calls through one gateway with calls of the engine.
func overhead() scenario {
	return scenario{
		name: "overhead",
		cluster: cluster.Config{
			Shape:           cluster.Shape{Gateways: 1, EnginesByZone: 1},
			EngineSwitches:  `{"prefill_tokens_per_second":1000000000,"token_time":"0s"}`,
			EngineArguments: []string{"--max-batch", "256"},
		},
		run: runOverhead,
	}
}

// runOverhead alternates between the two ways, so that both see the same other
// load on the machine.
func runOverhead(ctx context.Context, s *stage) error {
	const rate, slice, slices = 500, time.Second, 8
	through := s.clientConfig()
	direct := through
	direct.Gateways = nil
	for _, e := range s.Layout.Endpoints {
		direct.Gateways = append(direct.Gateways, "http://"+e.Backend)
	}
	var ways [2][]time.Duration
	failed := 0
	for i := range 2 * slices {
		c := []load.Config{direct, through}[i%2]
		c.Duration = slice
		c.Mix = mix.Config{Seed: s.config.Seed + uint64(i), RatePerSecond: rate, MaxPromptTokens: 64, MaxOutputTokens: 1}
		for _, r := range load.Run(ctx, c) {
			if r.Outcome != load.Complete {
				failed++
				continue
			}
			// The first second of each way warms connections and limits.
			if i > 1 {
				ways[i%2] = append(ways[i%2], r.Latency)
			}
		}
	}
	s.reportOverhead(ways, failed)
	return nil
}

func (s *stage) reportOverhead(ways [2][]time.Duration, failed int) {
	var group sync.WaitGroup
	for i := range ways {
		group.Go(func() { slices.Sort(ways[i]) })
	}
	group.Wait()
	milliseconds := func(way int, q float64) float64 {
		return float64(quantile(ways[way], q)) / float64(time.Millisecond)
	}
	s.report.figure("requests", float64(len(ways[1])), "requests", atLeast(2000))
	s.report.figure("not_whole", float64(failed), "requests", exactly(0))
	s.report.figure("direct_p50", milliseconds(0, 0.5), "ms", none)
	s.report.figure("through_p50", milliseconds(1, 0.5), "ms", none)
	s.report.figure("direct_p99", milliseconds(0, 0.99), "ms", none)
	s.report.figure("through_p99", milliseconds(1, 0.99), "ms", none)
	s.report.figure("overhead_p50", milliseconds(1, 0.5)-milliseconds(0, 0.5), "ms", below(1))
}
