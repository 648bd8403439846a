package faults

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// gracefulShutdown stops and restarts each gateway and sidecar under load.
func gracefulShutdown() scenario {
	return scenario{
		name: "graceful_shutdown",
		cluster: cluster.Config{
			Topology:       cluster.Topology{Gateways: 3, EnginesPerZone: 2, PlainServicesPerZone: 1, ShutdownNotice: time.Second},
			EngineSwitches: warmEngineSwitches,
		},
		run: runGracefulShutdown,
	}
}

// balancer tracks the readiness of gateways, so that requests are sent only to
// ready ones, as the platform's load balancer does.
type balancer struct {
	gateways []cluster.Gateway
	ready    []atomic.Bool
}

func newBalancer(ctx context.Context, s *scenarioRun) *balancer {
	b := &balancer{gateways: s.Layout.Gateways, ready: make([]atomic.Bool, len(s.Layout.Gateways))}
	for i := range b.gateways {
		b.ready[i].Store(true)
		go b.pollReadiness(ctx, i)
	}
	return b
}

func (b *balancer) pollReadiness(ctx context.Context, i int) {
	const probeInterval = 100 * time.Millisecond
	client := &http.Client{Timeout: time.Second}
	for sleep(ctx, probeInterval) == nil {
		response, err := client.Get("http://" + b.gateways[i].AdminAddress + "/readyz")
		if err == nil {
			response.Body.Close()
		}
		b.ready[i].Store(err == nil && response.StatusCode == http.StatusOK)
	}
}

// isReady reports whether the last readiness probe of a gateway succeeded or there
// was none yet.
func (b *balancer) isReady(i int) bool { return b.ready[i].Load() }

func runGracefulShutdown(ctx context.Context, s *scenarioRun) error {
	const requestsPerSecond, settleTime = 50, 500 * time.Millisecond
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := s.clientConfig()
	c.IsReady = newBalancer(ctx, s).isReady
	c.Duration = time.Hour
	c.Mix = mix.Config{Seed: s.config.Seed, RatePerSecond: requestsPerSecond, PlainShare: 0.15, MaxPromptTokens: 16_384, MaxOutputTokens: 64, SharedPrefixes: 16}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan []load.Result, 1)
	go func() { results <- load.RunUntil(ctx, sending, c) }()
	var names []string
	for _, g := range s.Layout.Gateways {
		names = append(names, g.Name)
	}
	for _, e := range s.Layout.Endpoints {
		names = append(names, e.Name)
	}
	if s.config.Short {
		names = names[len(s.Layout.Gateways)-1:][:4]
	}
	failed := 0
	longest := time.Duration(0)
	for _, name := range names {
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
		begin := time.Now()
		if err := s.Processes.Shutdown(name); err != nil {
			failed++
			s.report.comment(err.Error())
		}
		longest = max(longest, time.Since(begin))
		if err := s.Processes.Restart(name); err != nil {
			return err
		}
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
	}
	stop()
	s.report.record("shutdowns", float64(len(names)), "processes", atLeast(4))
	s.report.record("shutdown_failures", float64(failed), "processes", exactly(0))
	s.report.record("longest_shutdown", longest.Seconds(), "s", noTarget)
	return s.reportLost(ctx, &backgroundLoad{scenarioRun: s, config: c, results: results})
}
