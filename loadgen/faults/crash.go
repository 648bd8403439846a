package faults

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// Switches that slow the engines down so that long prompts have a visible cost.
// coldEngineSwitches also starts them cold.
const (
	warmEngineSwitches = `{"prefill_tokens_per_second":100000,"token_time":"5ms"}`
	coldEngineSwitches = `{"prefill_tokens_per_second":100000,"token_time":"5ms","cold":true}`
)

// crashRequest repeatedly sends a request that crashes every engine that runs it.
func crashRequest() scenario {
	return scenario{
		name:    "crash_request",
		cluster: cluster.Config{Topology: cluster.Topology{Gateways: 3, EnginesPerZone: 2}, EngineSwitches: warmEngineSwitches},
		run:     runCrashRequest,
	}
}

const (
	crashRequestCount = 50
	// crashMarker is the prompt text that makes a fake engine crash.
	crashMarker = "crash-this-engine"
)

func runCrashRequest(ctx context.Context, s *scenarioRun) error {
	const requestsPerSecond, requestInterval = 40, 50 * time.Millisecond
	duration := 16 * time.Second
	if s.config.Short {
		duration = 12 * time.Second
	}
	background := s.startLoad(ctx, requestsPerSecond, duration, shortPromptMix())
	client := load.NewClient(s.clientConfig())
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	send := func(prompt string, i int) {
		item := mix.Item{Index: i, Class: mix.Class1k, Prompt: prompt, MaxOutputTokens: 16}
		client.Send(ctx, item, time.Now())
	}
	previousCrashes := []int64{0}
	phases := []struct {
		name string
		run  func(prompt string)
	}{
		{"endpoints_lost_at_once", func(prompt string) {
			var group sync.WaitGroup
			for i := range crashRequestCount {
				group.Go(func() { send(prompt, i) })
			}
			group.Wait()
		}},
		{"endpoints_lost_one_by_one", func(prompt string) {
			for i := range crashRequestCount {
				send(prompt, i)
				_ = sleep(ctx, requestInterval)
			}
		}},
	}
	for i, p := range phases {
		p.run(fmt.Sprintf("%s %d %d %s", crashMarker, s.config.Seed, i, strings.Repeat("wood ", 100)))
		counters, err := s.EngineCounters(ctx)
		if err != nil {
			// A crashed engine doesn't respond until it has restarted.
			if err := sleep(ctx, 3*time.Second); err != nil {
				return err
			}
			if counters, err = s.EngineCounters(ctx); err != nil {
				return err
			}
		}
		var crashes int64
		for name, c := range counters {
			crashes += c.Crashes
			if c.Crashes > 0 {
				s.report.comment(fmt.Sprintf("%s has crashed %d times", name, c.Crashes))
			}
		}
		s.report.record(p.name, float64(crashes-previousCrashes[i]), "endpoints", atMost(2))
		s.report.record(p.name+"_shown", float64(crashes-previousCrashes[i]), "endpoints", atLeast(1))
		previousCrashes = append(previousCrashes, crashes)
		if err := sleep(ctx, 3*time.Second); err != nil {
			return err
		}
	}
	results, _, err := background.collect(ctx)
	if err != nil {
		return err
	}
	complete := load.CountComplete(results)
	s.report.record("other_requests", float64(len(results)), "requests", atLeast(100))
	s.report.record("other_requests_not_whole", float64(len(results)-complete), "requests", exactly(0))
	return nil
}
