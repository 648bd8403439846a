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

// longPrompts sends prompts beyond one engine's memory and kills members of
// their groups.
func longPrompts() scenario {
	return scenario{
		name: "long_prompts",
		cluster: cluster.Config{
			Shape:           cluster.Shape{Gateways: 2, EnginesByZone: 2},
			EngineSwitches:  warmEngines,
			EngineArguments: []string{"--memory-tokens", fmt.Sprint(memoryTokens)},
		},
		run: runLongPrompts,
	}
}

// The long prompts exceed the memory of one engine and fit into that of two.
const (
	memoryTokens = 120_000
	// largestHold is the part of an engine's memory that a group may use.
	largestHold = memoryTokens * 9 / 10
	longTokens  = 180_000
	longOutput  = 300
)

// holdLimit is the longest life of a hold, an interval of the sweep and a
// probe of the engine.
const holdLimit = 10*time.Second + 5*time.Second + time.Second

// step is a moment in the life of a group and what happens to a member there.
type step struct {
	name   string
	after  time.Duration
	leader bool
	kill   func(ctx context.Context, s *stage, member cluster.Endpoint, random *rand.Rand) error
}

// steps cover the dispatch and the run, which takes about 3.5 s and so includes
// a renewal of the holds.
func steps() []step {
	crash := func(ctx context.Context, _ *stage, member cluster.Endpoint, _ *rand.Rand) error {
		return ignoreDown(cluster.Switch(ctx, member.Backend, "/control/crash", `{}`))
	}
	sidecar := func(ctx context.Context, s *stage, member cluster.Endpoint, _ *rand.Rand) error {
		return s.kill(ctx, member.Name, 300*time.Millisecond)
	}
	gateway := func(ctx context.Context, s *stage, _ cluster.Endpoint, random *rand.Rand) error {
		return killGateway(ctx, s, random)
	}
	const early, late = 100 * time.Millisecond, 800 * time.Millisecond
	return []step{
		{"engine", early, true, crash}, {"sidecar", early, true, sidecar},
		{"engine", late, true, crash}, {"engine", late, false, crash},
		{"sidecar", late, true, sidecar}, {"sidecar", late, false, sidecar},
		{"gateway", late, true, gateway},
	}
}

// member waits until endpoints hold memory for a group and returns its leader,
// which has the lowest name, or another member.
func (s *stage) member(ctx context.Context, leader bool, answered <-chan struct{}) (e cluster.Endpoint, formed bool, err error) {
	for {
		holding := s.holding(ctx)
		if len(holding) > 1 && leader {
			return holding[0], true, nil
		}
		if len(holding) > 1 {
			return holding[1+s.random.IntN(len(holding)-1)], true, nil
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

// holding returns the endpoints with holds or runs, in order of their names.
func (s *stage) holding(ctx context.Context) []cluster.Endpoint {
	var holding []cluster.Endpoint
	for _, e := range s.Layout.Endpoints {
		var state engine.State
		if err := cluster.GetJSON(ctx, "http://"+e.Backend+"/engine/state", &state); err != nil {
			continue
		}
		for _, p := range state.Allocations {
			if p.Kind == engine.AllocationHold || p.Kind == engine.AllocationRunning {
				holding = append(holding, e)
				break
			}
		}
	}
	return holding
}

func runLongPrompts(ctx context.Context, s *stage) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := s.clientConfig()
	c.Ready = newBalancer(ctx, s).Ready
	client := load.NewClient(c)
	all := steps()
	if s.config.Short {
		all = all[:2]
	}
	t := trials{stage: s, client: client, counts: map[load.Outcome]int{}}
	for i, st := range append([]step{{name: "none"}}, all...) {
		if err := t.run(ctx, i, st); err != nil {
			return err
		}
	}
	s.report.figure("prompts", float64(len(all)+1), "requests", atLeast(3))
	s.report.figure("repeated_trials", float64(t.repeated), "trials", none)
	s.report.figure("whole", float64(t.counts[load.Complete]), "requests", atLeast(1))
	s.report.figure("illegal_outcomes", float64(t.illegal), "requests", exactly(0))
	s.report.figure("not_run_had_run", float64(t.notRunRan), "requests", exactly(0))
	s.report.figure("longest_hold_after_the_end", t.longest.Seconds(), "s", atMost(holdLimit.Seconds()))
	return nil
}

// trials sends one long prompt after another and disturbs each at a step.
type trials struct {
	stage  *stage
	client *load.Client

	counts    map[load.Outcome]int
	illegal   int
	notRunRan int
	repeated  int
	longest   time.Duration
}

// run makes one trial. It is repeated if the prompt was refused before its
// group had formed, because the endpoints' limits are low after a restart.
func (t *trials) run(ctx context.Context, i int, st step) error {
	const tries = 4
	for range tries {
		formed, err := t.once(ctx, i, st)
		if err != nil || formed {
			return err
		}
		t.repeated++
	}
	return fmt.Errorf("no group formed in %d tries", tries)
}

func (t *trials) once(ctx context.Context, i int, st step) (formed bool, err error) {
	s := t.stage
	if err := s.warm(ctx); err != nil {
		return false, err
	}
	before, err := s.totalStarted(ctx)
	if err != nil {
		return false, err
	}
	var r load.Result
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		item := mix.Item{Index: i, Class: mix.Class256k, PromptTokens: longTokens, Seed: s.config.Seed<<8 + uint64(i), MaxOutputTokens: longOutput}
		r = t.client.Send(ctx, item, time.Now())
	}()
	formed, err = s.takeStep(ctx, st, answered)
	<-answered
	if err != nil {
		return false, err
	}
	ended := time.Now()
	if err := s.awaitFree(ctx); err != nil {
		return false, err
	}
	t.longest = max(t.longest, time.Since(ended))
	after, err := s.totalStarted(ctx)
	if err != nil {
		return false, err
	}
	if r.Outcome == load.NotRun && after > before {
		t.notRunRan++
	}
	if !s.allowed(r) {
		t.illegal++
	}
	if formed {
		t.counts[r.Outcome]++
	}
	s.report.note(strings.TrimSpace(fmt.Sprintf("%s, leader %t, %s after the holds, formed %t: %s after %s with %d runs %s",
		st.name, st.leader, st.after, formed, r.Outcome, r.Latency.Round(time.Millisecond), after-before, r.Reason)))
	return formed, nil
}

// warm sends prompts until the concurrency limits of all endpoints, also of
// those that have just restarted, admit a hold of the largest size.
func (s *stage) warm(ctx context.Context) error {
	const rate, burst, limit = 200, 2 * time.Second, 24 * time.Second
	short := mix.Config{MaxPromptTokens: 4_096, MaxOutputTokens: 4}
	for begin := time.Now(); time.Since(begin) < limit; {
		t := s.sendLoad(ctx, rate, burst, short)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.results:
		}
		if s.lowestLimit(ctx) >= largestHold {
			break
		}
	}
	return s.awaitFree(ctx)
}

// lowestLimit returns the lowest concurrency limit of the endpoints in tokens.
func (s *stage) lowestLimit(ctx context.Context) float64 {
	lowest := float64(memoryTokens)
	for _, e := range s.Layout.Endpoints {
		value, _ := cluster.Gauge(ctx, e.Admin, "limit_tokens")
		lowest = min(lowest, value)
	}
	return lowest
}

// takeStep disturbs the group once it has formed, unless the prompt is answered
// before.
func (s *stage) takeStep(ctx context.Context, st step, answered <-chan struct{}) (formed bool, err error) {
	victim, formed, err := s.member(ctx, st.leader, answered)
	if err != nil || !formed || st.kill == nil {
		return formed, err
	}
	if err := rest(ctx, st.after); err != nil {
		return false, err
	}
	return true, st.kill(ctx, s, victim, rand.New(rand.NewPCG(s.random.Uint64(), 5)))
}

// totalStarted counts the runs that engines have started. An engine that is
// down is waited for.
func (s *stage) totalStarted(ctx context.Context) (sum int64, err error) {
	const limit = 5 * time.Second
	for begin := time.Now(); ; {
		counters, err := s.EngineCounters(ctx)
		if err == nil {
			for _, c := range counters {
				sum += c.Started
			}
			return sum, nil
		}
		if time.Since(begin) > limit {
			return 0, err
		}
		if err := rest(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
}

// awaitFree waits until no engine holds memory; the caller judges the time.
func (s *stage) awaitFree(ctx context.Context) error {
	const interval = 100 * time.Millisecond
	for begin := time.Now(); time.Since(begin) < 2*holdLimit; {
		held, _, err := s.HeldTokens(ctx)
		if err == nil && held == 0 {
			return nil
		}
		if err := rest(ctx, interval); err != nil {
			return err
		}
	}
	return nil
}
