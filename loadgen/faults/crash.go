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

// Engines of the scenarios are slow enough that long prompts matter. They are
// cold at the start where coldEngines says so.
const (
	warmEngines = `{"prefill_tokens_per_second":100000,"token_time":"5ms"}`
	coldEngines = `{"prefill_tokens_per_second":100000,"token_time":"5ms","cold":true}`
)

// crashRequest sends a request that crashes each engine that runs it.
func crashRequest() scenario {
	return scenario{
		name:    "crash_request",
		cluster: cluster.Config{Shape: cluster.Shape{Gateways: 3, EnginesByZone: 2}, EngineSwitches: warmEngines},
		run:     runCrashRequest,
	}
}

const (
	crashSends = 50
	// crashMarker is the text that makes the engine crash.
	crashMarker = "crash-this-engine"
)

// traffic is a load in the background of a scenario.
type traffic struct {
	stage   *stage
	config  load.Config
	results chan []load.Result
}

// sendLoad sends a mix without plain calls for a time.
func (s *stage) sendLoad(ctx context.Context, rate float64, length time.Duration, m mix.Config) *traffic {
	c := s.clientConfig()
	c.Duration = length
	c.Mix = m
	c.Mix.Seed, c.Mix.RatePerSecond = s.config.Seed, rate
	t := &traffic{stage: s, config: c, results: make(chan []load.Result, 1)}
	go func() { t.results <- load.Run(ctx, c) }()
	return t
}

// shortMix has prompts of up to 4k tokens.
func shortMix() mix.Config {
	return mix.Config{MaxPromptTokens: 4_096, MaxOutputTokens: 32, SharedPrefixes: 16}
}

// judge waits for the answers and reports them. Lost counts what broke a
// requirement or ended without an answer after it was admitted.
func (t *traffic) judge(ctx context.Context) (results []load.Result, lost int, err error) {
	select {
	case results = <-t.results:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	count := map[load.Outcome]int{}
	for _, r := range results {
		count[r.Outcome]++
		excused := t.stage.allowed(r) && (r.Outcome == load.Truncated || r.Outcome == load.Late)
		if excused || r.Outcome == load.Complete || r.Outcome == load.NotRun || r.Outcome == load.Unsent {
			continue
		}
		lost++
		t.stage.report.note(fmt.Sprintf("request %d at %s through %s ended as %s after %s: %s",
			r.Item.Index, r.Started.Format("05.000"), r.Gateway, r.Outcome, r.Latency.Round(time.Millisecond), r.Reason))
	}
	t.stage.report.note(fmt.Sprintf("outcomes of %d requests: %v", len(results), count))
	return results, lost, nil
}

func runCrashRequest(ctx context.Context, s *stage) error {
	const rate, pause = 40, 50 * time.Millisecond
	length := 16 * time.Second
	if s.config.Short {
		length = 12 * time.Second
	}
	background := s.sendLoad(ctx, rate, length, shortMix())
	client := load.NewClient(s.clientConfig())
	if err := rest(ctx, 2*time.Second); err != nil {
		return err
	}
	send := func(prompt string, i int) {
		item := mix.Item{Index: i, Class: mix.Class1k, Prompt: prompt, MaxOutputTokens: 16}
		client.Send(ctx, item, time.Now())
	}
	lost := []int64{0}
	phases := []struct {
		name string
		run  func(prompt string)
	}{
		{"endpoints_lost_at_once", func(prompt string) {
			var group sync.WaitGroup
			for i := range crashSends {
				group.Go(func() { send(prompt, i) })
			}
			group.Wait()
		}},
		{"endpoints_lost_one_by_one", func(prompt string) {
			for i := range crashSends {
				send(prompt, i)
				_ = rest(ctx, pause)
			}
		}},
	}
	for i, p := range phases {
		p.run(fmt.Sprintf("%s %d %d %s", crashMarker, s.config.Seed, i, strings.Repeat("wood ", 100)))
		counters, err := s.EngineCounters(ctx)
		if err != nil {
			// An engine that has crashed does not answer until it is back.
			if err := rest(ctx, 3*time.Second); err != nil {
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
				s.report.note(fmt.Sprintf("%s has crashed %d times", name, c.Crashes))
			}
		}
		s.report.figure(p.name, float64(crashes-lost[i]), "endpoints", atMost(2))
		s.report.figure(p.name+"_shown", float64(crashes-lost[i]), "endpoints", atLeast(1))
		lost = append(lost, crashes)
		if err := rest(ctx, 3*time.Second); err != nil {
			return err
		}
	}
	results, _, err := background.judge(ctx)
	if err != nil {
		return err
	}
	whole := load.CountComplete(results)
	s.report.figure("other_requests", float64(len(results)), "requests", atLeast(100))
	s.report.figure("other_requests_not_whole", float64(len(results)-whole), "requests", exactly(0))
	return nil
}
