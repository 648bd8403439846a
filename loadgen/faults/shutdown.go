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

// gracefulShutdown stops each gateway and sidecar under load.
func gracefulShutdown() scenario {
	return scenario{
		name: "graceful_shutdown",
		cluster: cluster.Config{
			Shape:          cluster.Shape{Gateways: 3, EnginesByZone: 2, PlainByZone: 1, Notice: time.Second},
			EngineSwitches: warmEngines,
		},
		run: runGracefulShutdown,
	}
}

// balancer sends requests to ready gateways only, as the platform's does.
type balancer struct {
	gateways []cluster.Gateway
	ready    []atomic.Bool
}

func newBalancer(ctx context.Context, s *stage) *balancer {
	b := &balancer{gateways: s.Layout.Gateways, ready: make([]atomic.Bool, len(s.Layout.Gateways))}
	for i := range b.gateways {
		b.ready[i].Store(true)
		go b.follow(ctx, i)
	}
	return b
}

func (b *balancer) follow(ctx context.Context, i int) {
	const interval = 100 * time.Millisecond
	client := &http.Client{Timeout: time.Second}
	for rest(ctx, interval) == nil {
		response, err := client.Get("http://" + b.gateways[i].Admin + "/readyz")
		if err == nil {
			response.Body.Close()
		}
		b.ready[i].Store(err == nil && response.StatusCode == http.StatusOK)
	}
}

// Ready implements load.Config.Ready.
func (b *balancer) Ready(i int) bool { return b.ready[i].Load() }

func runGracefulShutdown(ctx context.Context, s *stage) error {
	const rate, pause = 50, 500 * time.Millisecond
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := s.clientConfig()
	c.Ready = newBalancer(ctx, s).Ready
	c.Duration = time.Hour
	c.Mix = mix.Config{Seed: s.config.Seed, RatePerSecond: rate, PlainShare: 0.15, MaxPromptTokens: 16_384, MaxOutputTokens: 64, SharedPrefixes: 16}
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
		if err := rest(ctx, pause); err != nil {
			return err
		}
		begin := time.Now()
		if err := s.Processes.Shutdown(name); err != nil {
			failed++
			s.report.note(err.Error())
		}
		longest = max(longest, time.Since(begin))
		if err := s.Processes.Restart(name); err != nil {
			return err
		}
		if err := rest(ctx, pause); err != nil {
			return err
		}
	}
	stop()
	s.report.figure("shutdowns", float64(len(names)), "processes", atLeast(4))
	s.report.figure("shutdown_failures", float64(failed), "processes", exactly(0))
	s.report.figure("longest_shutdown", longest.Seconds(), "s", none)
	return s.reportLost(ctx, &traffic{stage: s, config: c, results: results})
}
