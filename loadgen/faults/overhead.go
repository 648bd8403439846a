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

// overhead compares the latency of calls through a gateway with that of direct
// calls to the engines.
func overhead() scenario {
	return scenario{
		name: "overhead",
		cluster: cluster.Config{
			Topology:        cluster.Topology{Gateways: 1, EnginesPerZone: 1},
			EngineSwitches:  `{"prefill_tokens_per_second":1000000000,"token_time":"0s"}`,
			EngineArguments: []string{"--max-batch", "256"},
		},
		run: runOverhead,
	}
}

// runOverhead alternates between direct calls and calls through the gateway, so
// that other load on the machine affects both equally.
func runOverhead(ctx context.Context, s *scenarioRun) error {
	const requestsPerSecond, sliceDuration, sliceCount = 500, time.Second, 8
	through := s.clientConfig()
	direct := through
	direct.Gateways = nil
	for _, e := range s.Layout.Endpoints {
		direct.Gateways = append(direct.Gateways, "http://"+e.BackendAddress)
	}
	var latencies [2][]time.Duration
	failed := 0
	for i := range 2 * sliceCount {
		c := []load.Config{direct, through}[i%2]
		c.Duration = sliceDuration
		c.Mix = mix.Config{Seed: s.config.Seed + uint64(i), RatePerSecond: requestsPerSecond, MaxPromptTokens: 64, MaxOutputTokens: 1}
		for _, r := range load.Run(ctx, c) {
			if r.Outcome != load.Complete {
				failed++
				continue
			}
			// The first slice on each path is not measured. In it, the gateway connects
			// to the sidecars and the concurrency limits rise.
			if i > 1 {
				latencies[i%2] = append(latencies[i%2], r.Latency)
			}
		}
	}
	s.reportOverhead(latencies, failed)
	return nil
}

func (s *scenarioRun) reportOverhead(latencies [2][]time.Duration, failed int) {
	var group sync.WaitGroup
	for i := range latencies {
		group.Go(func() { slices.Sort(latencies[i]) })
	}
	group.Wait()
	milliseconds := func(i int, q float64) float64 {
		return float64(quantile(latencies[i], q)) / float64(time.Millisecond)
	}
	s.report.record("requests", float64(len(latencies[1])), "requests", atLeast(2000))
	s.report.record("not_whole", float64(failed), "requests", exactly(0))
	s.report.record("direct_p50", milliseconds(0, 0.5), "ms", noTarget)
	s.report.record("through_p50", milliseconds(1, 0.5), "ms", noTarget)
	s.report.record("direct_p99", milliseconds(0, 0.99), "ms", noTarget)
	s.report.record("through_p99", milliseconds(1, 0.99), "ms", noTarget)
	s.report.record("overhead_p50", milliseconds(1, 0.5)-milliseconds(0, 0.5), "ms", below(1))
}
