package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// mixed runs every fault and operators' edits below a mixed load.
func mixed() scenario {
	return scenario{
		name: "mixed",
		cluster: cluster.Config{
			Shape:          cluster.Shape{Gateways: 3, EnginesByZone: 2, PlainByZone: 1, SidecarSettings: "\n[memory]\ngrace = 5s\n"},
			EngineSwitches: coldEngines,
		},
		run: runMixed,
	}
}

func allFaults() []fault {
	return append(callFaults(), []fault{
		{"crash_engine", 3, crashEngine},
		{"kill_engine", 2, killEngine},
		{"freeze_engine", 2, freezeEngine},
		{"pause_engine", 2, pauseBackend(false)},
		{"cold_turn", 2, coldTurn},
		{"lag_load", 2, lagLoad},
		{"kill_model_sidecar", 3, killSidecar(false)},
		{"pause_model_sidecar", 2, pauseSidecar(false)},
		{"wrong_hosts", 2, wrongHosts},
		{"hosts_outage", 2, hostsOutage},
		{"zone_out", 2, zoneOut},
		{"host_leaves", 2, hostLeaves},
		{"racing_edits", 2, racingEdits},
		{"lost_edit_answers", 2, loseWrites("config/")},
	}...)
}

// editPlace takes a place out and back. An edit may fail while the store is
// down or lose a race; the edit back is repeated until it is accepted.
func (s *stage) editPlace(ctx context.Context, p place, length time.Duration) error {
	_ = s.Control(ctx, "edit", "pools", p.section, p.out)
	_ = rest(ctx, length)
	const tries = 60
	var err error
	for range tries {
		if err = s.Control(ctx, "edit", "pools", p.section, p.in); err == nil {
			return nil
		}
		if rest(ctx, time.Second) != nil {
			return nil
		}
	}
	return err
}

func zoneOut(ctx context.Context, s *stage, random *rand.Rand) error {
	zones := cluster.Zones()
	return s.editPlace(ctx, s.zonePlace(zones[random.IntN(len(zones))]), between(random, 2*time.Second, 6*time.Second))
}

func hostLeaves(ctx context.Context, s *stage, random *rand.Rand) error {
	return s.editPlace(ctx, hostPlace(s.anyEndpoint(random, false).Name), between(random, 2*time.Second, 5*time.Second))
}

// racingEdits makes edits of one row at once. Which one wins, or whether the
// store answers, does not matter here.
func racingEdits(ctx context.Context, s *stage, random *rand.Rand) error {
	const editors = 3
	done := make(chan struct{}, editors)
	for range editors {
		weight := fmt.Sprintf("weight=%d", 1+random.IntN(100))
		go func() {
			_ = s.Control(ctx, "edit", "routes", "account demo", weight)
			done <- struct{}{}
		}()
	}
	for range editors {
		<-done
	}
	return nil
}

func runMixed(ctx context.Context, s *stage) error {
	c := s.clientConfig()
	c.Duration = s.config.Duration
	c.Mix = mix.Config{
		Seed: s.config.Seed, RatePerSecond: 40, PlainShare: 0.3,
		MaxPromptTokens: 100_000, MaxOutputTokens: 32, SharedPrefixes: 16,
	}
	t := &traffic{stage: s, config: c, results: make(chan []load.Result, 1)}
	go func() { t.results <- load.Run(ctx, c) }()
	if err := s.inject(ctx, s.config.Duration-5*time.Second, 1500*time.Millisecond, allFaults()); err != nil {
		return err
	}
	results := <-t.results
	runs, err := s.AllRuns(ctx)
	if err != nil {
		return err
	}
	s.judgeMixed(results, runs, c.RunID)
	begin := time.Now()
	var fleet error
	for time.Since(begin) < 15*time.Second {
		if fleet = s.CheckFleet(ctx); fleet == nil {
			break
		}
		if err := rest(ctx, time.Second); err != nil {
			return err
		}
	}
	if fleet != nil {
		s.report.note(fleet.Error())
	}
	s.report.figure("fleet_healthy_after", time.Since(begin).Seconds(), "s", atMost(15))
	if err := s.awaitFree(ctx); err != nil {
		return err
	}
	held, example, err := s.HeldTokens(ctx)
	if held > 0 {
		s.report.note("still held: " + example)
	}
	s.report.figure("held_after_expiry", float64(held), "tokens", exactly(0))
	return err
}

func (s *stage) judgeMixed(results []load.Result, runs map[string]int, runID string) {
	count := map[load.Outcome]int{}
	illegal, twice, notRunRan := 0, 0, 0
	for _, r := range results {
		count[r.Outcome]++
		if !s.allowed(r) {
			illegal++
			s.report.note(fmt.Sprintf("request %d (%s) at %s through %s ended as %s after %s: %s", r.Item.Index, r.Item.Class,
				r.Started.Format("05.000"), r.Gateway, r.Outcome, r.Latency.Round(time.Millisecond), r.Reason))
		}
		if r.Item.Class != mix.ClassPlain {
			continue
		}
		n := runs[r.Item.IdempotencyKey(runID)]
		if n > 1 {
			twice++
		}
		if r.Outcome == load.NotRun && n > 0 {
			notRunRan++
		}
	}
	s.report.note(fmt.Sprintf("outcomes of %d requests: %v", len(results), count))
	s.report.figure("requests", float64(len(results)), "requests", atLeast(100))
	s.report.figure("whole", float64(count[load.Complete])/float64(max(1, len(results))), "of requests", atLeast(0.5))
	s.report.figure("illegal_outcomes", float64(illegal), "requests", exactly(0))
	s.report.figure("run_twice", float64(twice), "calls", exactly(0))
	s.report.figure("not_run_had_run", float64(notRunRan), "calls", exactly(0))
}
