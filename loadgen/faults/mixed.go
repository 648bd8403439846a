package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// mixed injects all kinds of random faults and makes operator edits under a mixed
// load.
func mixed() scenario {
	return scenario{
		name: "mixed",
		cluster: cluster.Config{
			Topology:       cluster.Topology{Gateways: 3, EnginesPerZone: 2, PlainServicesPerZone: 1, SidecarSettings: "\n[memory]\ngrace = 5s\n"},
			EngineSwitches: coldEngineSwitches,
		},
		run: runMixed,
	}
}

func mixedFaults() []fault {
	return append(plainCallFaults(), []fault{
		{"crash_engine", 3, crashEngine},
		{"kill_engine", 2, killEngine},
		{"freeze_engine", 2, freezeEngine},
		{"pause_engine", 2, pauseBackend(config.KindModel)},
		{"cold_turn", 2, turnEngineCold},
		{"lag_load", 2, delayLoadReports},
		{"kill_model_sidecar", 3, killSidecar(config.KindModel)},
		{"pause_model_sidecar", 2, pauseSidecar(config.KindModel)},
		{"wrong_hosts", 2, corruptHostList},
		{"hosts_outage", 2, hostListOutage},
		{"zone_out", 2, zoneOut},
		{"host_leaves", 2, hostLeaves},
		{"racing_edits", 2, racingEdits},
		{"lost_edit_answers", 2, loseWriteResponses("config/")},
	}...)
}

// drainAndRestore takes a target out of service and back. An edit may fail while
// the store is down or because it lost a race. The edit that restores the target
// is tried up to 60 times.
func (s *scenarioRun) drainAndRestore(ctx context.Context, t drainTarget, downtime time.Duration) error {
	_ = s.RunSiskinctl(ctx, "edit", "pools", t.section, t.outEdit)
	_ = sleep(ctx, downtime)
	const maxAttempts = 60
	var err error
	for range maxAttempts {
		if err = s.RunSiskinctl(ctx, "edit", "pools", t.section, t.inEdit); err == nil {
			return nil
		}
		if sleep(ctx, time.Second) != nil {
			return nil
		}
	}
	return err
}

func zoneOut(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	zones := cluster.Zones()
	return s.drainAndRestore(ctx, s.zoneTarget(zones[random.IntN(len(zones))]), randomDuration(random, 2*time.Second, 6*time.Second))
}

func hostLeaves(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	return s.drainAndRestore(ctx, hostTarget(s.randomEndpoint(random, config.KindModel).Name), randomDuration(random, 2*time.Second, 5*time.Second))
}

// racingEdits makes concurrent edits of the same row. It doesn't matter which edit
// wins or whether the store responds.
func racingEdits(ctx context.Context, s *scenarioRun, random *rand.Rand) error {
	const editors = 3
	done := make(chan struct{}, editors)
	for range editors {
		weight := fmt.Sprintf("weight=%d", 1+random.IntN(100))
		go func() {
			_ = s.RunSiskinctl(ctx, "edit", "routes", "account demo", weight)
			done <- struct{}{}
		}()
	}
	for range editors {
		<-done
	}
	return nil
}

func runMixed(ctx context.Context, s *scenarioRun) error {
	c := s.clientConfig()
	c.Duration = s.config.Duration
	c.Mix = mix.Config{
		Seed: s.config.Seed, RatePerSecond: 40, PlainShare: 0.3,
		MaxPromptTokens: 100_000, MaxOutputTokens: 32, SharedPrefixes: 16,
	}
	background := &backgroundLoad{scenarioRun: s, config: c, results: make(chan []load.Result, 1)}
	go func() { background.results <- load.Run(ctx, c) }()
	if err := s.injectFaults(ctx, s.config.Duration-5*time.Second, 1500*time.Millisecond, mixedFaults()); err != nil {
		return err
	}
	results := <-background.results
	runs, err := s.RunCounts(ctx)
	if err != nil {
		return err
	}
	s.reportMixedResults(results, runs, c.RunID)
	begin := time.Now()
	var fleetErr error
	for time.Since(begin) < 15*time.Second {
		if fleetErr = s.CheckFleetStatus(ctx); fleetErr == nil {
			break
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	if fleetErr != nil {
		s.report.comment(fleetErr.Error())
	}
	s.report.record("fleet_healthy_after", time.Since(begin).Seconds(), "s", atMost(15))
	if err := s.awaitMemoryReleased(ctx); err != nil {
		return err
	}
	held, example, err := s.HeldTokens(ctx)
	if held > 0 {
		s.report.comment("still held: " + example)
	}
	s.report.record("held_after_expiry", float64(held), "tokens", exactly(0))
	return err
}

func (s *scenarioRun) reportMixedResults(results []load.Result, runs map[string]int, runID string) {
	count := map[load.Outcome]int{}
	illegal, ranTwice, falseNotRun := 0, 0, 0
	for _, r := range results {
		count[r.Outcome]++
		if !s.isAllowed(r) {
			illegal++
			s.report.comment(fmt.Sprintf("request %d (%s) at %s through %s ended as %s after %s: %s", r.Item.Index, r.Item.Class,
				r.Started.Format("05.000"), r.Gateway, r.Outcome, r.Latency.Round(time.Millisecond), r.Reason))
		}
		if r.Item.Class != mix.ClassPlain {
			continue
		}
		n := runs[r.Item.IdempotencyKey(runID)]
		if n > 1 {
			ranTwice++
		}
		if r.Outcome == load.NotRun && n > 0 {
			falseNotRun++
		}
	}
	s.report.comment(fmt.Sprintf("outcomes of %d requests: %v", len(results), count))
	s.report.record("requests", float64(len(results)), "requests", atLeast(100))
	s.report.record("whole", float64(count[load.Complete])/float64(max(1, len(results))), "of requests", atLeast(0.5))
	s.report.record("illegal_outcomes", float64(illegal), "requests", exactly(0))
	s.report.record("run_twice", float64(ranTwice), "calls", exactly(0))
	s.report.record("not_run_had_run", float64(falseNotRun), "calls", exactly(0))
}
