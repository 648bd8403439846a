package faults

import (
	"context"
	"fmt"
	"time"

	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// backgroundLoad is a load that runs while a scenario injects faults.
type backgroundLoad struct {
	scenarioRun *scenarioRun
	config      load.Config
	results     chan []load.Result
}

// startLoad starts a load of the given rate and duration. Its seed is that of the
// run.
func (s *scenarioRun) startLoad(ctx context.Context, requestsPerSecond float64, duration time.Duration, m mix.Config) *backgroundLoad {
	c := s.clientConfig()
	c.Duration = duration
	c.Mix = m
	c.Mix.Seed, c.Mix.RatePerSecond = s.config.Seed, requestsPerSecond
	b := &backgroundLoad{scenarioRun: s, config: c, results: make(chan []load.Result, 1)}
	go func() { b.results <- load.Run(ctx, c) }()
	return b
}

// shortPromptMix returns a mix with prompts of up to 4k tokens.
func shortPromptMix() mix.Config {
	return mix.Config{MaxPromptTokens: 4_096, MaxOutputTokens: 32, SharedPrefixes: 16}
}

// collect waits for the end of the load and reports its outcomes. lost counts the
// requests that broke a requirement, or that were admitted and got no complete
// response. Truncated and late responses of disrupted gateways don't count.
func (b *backgroundLoad) collect(ctx context.Context) (results []load.Result, lost int, err error) {
	select {
	case results = <-b.results:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	count := map[load.Outcome]int{}
	for _, r := range results {
		count[r.Outcome]++
		isExcused := b.scenarioRun.isAllowed(r) && (r.Outcome == load.Truncated || r.Outcome == load.Late)
		if isExcused || r.Outcome == load.Complete || r.Outcome == load.NotRun || r.Outcome == load.Unsent {
			continue
		}
		lost++
		b.scenarioRun.report.comment(fmt.Sprintf("request %d at %s through %s ended as %s after %s: %s",
			r.Item.Index, r.Started.Format("05.000"), r.Gateway, r.Outcome, r.Latency.Round(time.Millisecond), r.Reason))
	}
	b.scenarioRun.report.comment(fmt.Sprintf("outcomes of %d requests: %v", len(results), count))
	return results, lost, nil
}

// reportLost waits for the end of the background load and reports how many requests
// were sent, got a complete response and were lost; see collect.
func (s *scenarioRun) reportLost(ctx context.Context, background *backgroundLoad) error {
	results, lost, err := background.collect(ctx)
	if err != nil {
		return err
	}
	complete := load.CountComplete(results)
	s.report.record("requests", float64(len(results)), "requests", atLeast(100))
	s.report.record("whole", float64(complete)/float64(max(1, len(results))), "of requests", atLeast(0.5))
	s.report.record("lost_or_late", float64(lost), "requests", exactly(0))
	return nil
}
