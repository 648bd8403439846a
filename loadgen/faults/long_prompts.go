package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"siskinstand.example/adapters/engine"
	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
)

// longPrompts sends prompts that don't fit into the memory of one engine and need
// a group of engines, and kills members of the groups and a gateway.
func longPrompts() scenario {
	return scenario{
		name: "long_prompts",
		cluster: cluster.Config{
			Topology:        cluster.Topology{Gateways: 2, EnginesPerZone: 2},
			EngineSwitches:  warmEngineSwitches,
			EngineArguments: []string{"--memory-tokens", fmt.Sprint(engineMemoryTokens)},
		},
		run: runLongPrompts,
	}
}

// A long prompt exceeds the memory of one engine and fits into that of two.
const (
	engineMemoryTokens = 120_000
	// maxHoldTokens is the largest part of an engine's memory that a group can
	// reserve.
	maxHoldTokens    = engineMemoryTokens * 9 / 10
	longPromptTokens = 180_000
	// longPromptOutputTokens exceeds the longest output of a fake engine, 63 tokens.
	longPromptOutputTokens = 300
)

// maxHoldLifetime bounds the time until an abandoned hold is released: its
// longest time to live, the interval at which the sidecar reconciles engine memory
// and one probe of the engine.
const maxHoldLifetime = 10*time.Second + 5*time.Second + time.Second

// groupFault is a fault that is injected some time after the group has formed, into
// a member of the group or a random gateway.
type groupFault struct {
	name       string
	delay      time.Duration
	hitsLeader bool
	inject     func(ctx context.Context, s *scenarioRun, member cluster.Endpoint, random *rand.Rand) error
}

// groupFaults returns faults during the dispatch and during the run of a prompt.
// A run takes about 2.1 s: 1.8 s of prefill and up to 63 output tokens of 5 ms each.
// It ends before the first renewal of its holds, which is due after
// group.RenewInterval (3 s), so the scenario does not test renewals.
func groupFaults() []groupFault {
	crash := func(ctx context.Context, _ *scenarioRun, member cluster.Endpoint, _ *rand.Rand) error {
		return ignoreError(cluster.PostControl(ctx, member.BackendAddress, "/control/crash", `{}`))
	}
	sidecar := func(ctx context.Context, s *scenarioRun, member cluster.Endpoint, _ *rand.Rand) error {
		return s.killAndRestart(ctx, member.Name, 300*time.Millisecond)
	}
	gateway := func(ctx context.Context, s *scenarioRun, _ cluster.Endpoint, random *rand.Rand) error {
		return killGateway(ctx, s, random)
	}
	const early, late = 100 * time.Millisecond, 800 * time.Millisecond
	return []groupFault{
		{name: "engine", delay: early, hitsLeader: true, inject: crash},
		{name: "sidecar", delay: early, hitsLeader: true, inject: sidecar},
		{name: "engine", delay: late, hitsLeader: true, inject: crash},
		{name: "engine", delay: late, hitsLeader: false, inject: crash},
		{name: "sidecar", delay: late, hitsLeader: true, inject: sidecar},
		{name: "sidecar", delay: late, hitsLeader: false, inject: sidecar},
		{name: "gateway", delay: late, hitsLeader: true, inject: gateway},
	}
}

// awaitGroupMember waits until at least two endpoints hold memory for a group. It
// returns the leader, which is the member with the lowest name, or a random other
// member. formed is false if the prompt was answered before.
func (s *scenarioRun) awaitGroupMember(ctx context.Context, wantLeader bool, answered <-chan struct{}) (e cluster.Endpoint, formed bool, err error) {
	for {
		endpoints := s.endpointsWithAllocations(ctx)
		if len(endpoints) > 1 && wantLeader {
			return endpoints[0], true, nil
		}
		if len(endpoints) > 1 {
			return endpoints[1+s.random.IntN(len(endpoints)-1)], true, nil
		}
		select {
		case <-answered:
			return cluster.Endpoint{}, false, nil
		case <-ctx.Done():
			return cluster.Endpoint{}, false, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

// endpointsWithAllocations returns the endpoints whose engines have memory
// allocated for holds or running requests, ordered by name.
func (s *scenarioRun) endpointsWithAllocations(ctx context.Context) []cluster.Endpoint {
	var endpoints []cluster.Endpoint
	for _, e := range s.Layout.Endpoints {
		var state engine.State
		if err := cluster.GetJSON(ctx, "http://"+e.BackendAddress+"/engine/state", &state); err != nil {
			continue
		}
		for _, a := range state.Allocations {
			if a.Kind == engine.AllocationHold || a.Kind == engine.AllocationRunning {
				endpoints = append(endpoints, e)
				break
			}
		}
	}
	return endpoints
}

func runLongPrompts(ctx context.Context, s *scenarioRun) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := s.clientConfig()
	c.IsReady = newBalancer(ctx, s).isReady
	client := load.NewClient(c)
	faults := groupFaults()
	if s.config.Short {
		faults = faults[:2]
	}
	t := trialSeries{scenarioRun: s, client: client, counts: map[load.Outcome]int{}}
	for i, f := range append([]groupFault{{name: "none"}}, faults...) {
		if err := t.run(ctx, i, f); err != nil {
			return err
		}
	}
	s.report.record("prompts", float64(len(faults)+1), "requests", atLeast(3))
	s.report.record("repeated_trials", float64(t.repeated), "trials", noTarget)
	s.report.record("whole", float64(t.counts[load.Complete]), "requests", atLeast(1))
	s.report.record("illegal_outcomes", float64(t.illegal), "requests", exactly(0))
	s.report.record("not_run_had_run", float64(t.falseNotRun), "requests", exactly(0))
	s.report.record("longest_hold_after_the_end", t.longestHold.Seconds(), "s", atMost(maxHoldLifetime.Seconds()))
	return nil
}

// trialSeries sends long prompts one at a time and injects a fault into the group
// of each.
type trialSeries struct {
	scenarioRun *scenarioRun
	client      *load.Client

	counts      map[load.Outcome]int
	illegal     int
	falseNotRun int
	repeated    int
	longestHold time.Duration
}

// run runs one trial. It repeats the trial up to three times if the prompt was
// refused before its group had formed, which happens because the concurrency limits
// of endpoints are low after a restart.
func (t *trialSeries) run(ctx context.Context, i int, f groupFault) error {
	const attempts = 4
	for range attempts {
		formed, err := t.runOnce(ctx, i, f)
		if err != nil || formed {
			return err
		}
		t.repeated++
	}
	return fmt.Errorf("no group of engines formed for a long prompt in %d attempts", attempts)
}

func (t *trialSeries) runOnce(ctx context.Context, i int, f groupFault) (formed bool, err error) {
	s := t.scenarioRun
	if err := s.warmUp(ctx); err != nil {
		return false, err
	}
	before, err := s.startedRuns(ctx)
	if err != nil {
		return false, err
	}
	var r load.Result
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		item := mix.Item{Index: i, Class: mix.Class256k, PromptTokens: longPromptTokens, Seed: s.config.Seed<<8 + uint64(i), MaxOutputTokens: longPromptOutputTokens}
		r = t.client.Send(ctx, item, time.Now())
	}()
	formed, err = s.injectGroupFault(ctx, f, answered)
	<-answered
	if err != nil {
		return false, err
	}
	ended := time.Now()
	if err := s.awaitMemoryReleased(ctx); err != nil {
		return false, err
	}
	t.longestHold = max(t.longestHold, time.Since(ended))
	after, err := s.startedRuns(ctx)
	if err != nil {
		return false, err
	}
	if r.Outcome == load.NotRun && after > before {
		t.falseNotRun++
	}
	if !s.isAllowed(r) {
		t.illegal++
	}
	if formed {
		t.counts[r.Outcome]++
	}
	s.report.comment(strings.TrimSpace(fmt.Sprintf("%s, leader %t, %s after the holds, formed %t: %s after %s with %d runs %s",
		f.name, f.hitsLeader, f.delay, formed, r.Outcome, r.Latency.Round(time.Millisecond), after-before, r.Reason)))
	return formed, nil
}

// warmUp sends short prompts until the concurrency limits of all endpoints,
// including those that have just restarted, admit a hold of maxHoldTokens, or until
// 24 s have passed. It then waits until the engines hold no memory.
func (s *scenarioRun) warmUp(ctx context.Context) error {
	const requestsPerSecond, burstDuration, warmUpTimeout = 200, 2 * time.Second, 24 * time.Second
	short := mix.Config{MaxPromptTokens: 4_096, MaxOutputTokens: 4}
	for begin := time.Now(); time.Since(begin) < warmUpTimeout; {
		t := s.startLoad(ctx, requestsPerSecond, burstDuration, short)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.results:
		}
		if s.lowestConcurrencyLimit(ctx) >= maxHoldTokens {
			break
		}
	}
	return s.awaitMemoryReleased(ctx)
}

// lowestConcurrencyLimit returns the lowest concurrency limit of all endpoints in
// tokens, at most engineMemoryTokens. A limit that can't be read counts as 0.
func (s *scenarioRun) lowestConcurrencyLimit(ctx context.Context) float64 {
	lowest := float64(engineMemoryTokens)
	for _, e := range s.Layout.Endpoints {
		value, _ := cluster.ReadGauge(ctx, e.AdminAddress, "limit_tokens")
		lowest = min(lowest, value)
	}
	return lowest
}

// injectGroupFault waits for the group to form and injects the fault, unless the
// prompt is answered before.
func (s *scenarioRun) injectGroupFault(ctx context.Context, f groupFault, answered <-chan struct{}) (formed bool, err error) {
	victim, formed, err := s.awaitGroupMember(ctx, f.hitsLeader, answered)
	if err != nil || !formed || f.inject == nil {
		return formed, err
	}
	if err := sleep(ctx, f.delay); err != nil {
		return false, err
	}
	return true, f.inject(ctx, s, victim, rand.New(rand.NewPCG(s.random.Uint64(), 5)))
}

// startedRuns returns the number of runs that all engines have started. It waits
// up to 5 s for engines that are down.
func (s *scenarioRun) startedRuns(ctx context.Context) (sum int64, err error) {
	const engineTimeout = 5 * time.Second
	for begin := time.Now(); ; {
		counters, err := s.EngineCounters(ctx)
		if err == nil {
			for _, c := range counters {
				sum += c.Started
			}
			return sum, nil
		}
		if time.Since(begin) > engineTimeout {
			return 0, err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
}

// awaitMemoryReleased waits until no engine holds memory other than cached prefixes
// or twice maxHoldLifetime has passed. It returns no error in the second case, so the
// caller checks how long it took or whether memory is still held.
func (s *scenarioRun) awaitMemoryReleased(ctx context.Context) error {
	const checkInterval = 100 * time.Millisecond
	for begin := time.Now(); time.Since(begin) < 2*maxHoldLifetime; {
		held, _, err := s.HeldTokens(ctx)
		if err == nil && held == 0 {
			return nil
		}
		if err := sleep(ctx, checkInterval); err != nil {
			return err
		}
	}
	return nil
}
