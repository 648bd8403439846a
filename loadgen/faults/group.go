package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
	"siskinstand.example/platform/engine"
)

// longPrompts sends prompts beyond one engine's memory and kills members of
// their groups.
func longPrompts() scenario {
	return scenario{
		name: "long_prompts",
		cluster: cluster.Config{
			Shape:           cluster.Shape{Gateways: 2, EnginesByZone: 2},
			EngineSwitches:  warmEngines,
			EngineArguments: []string{"--memory-tokens", "120000"},
		},
		run: runLongPrompts,
	}
}

// holdLimit is the longest life of a hold, an interval of the sweep and a
// probe of the engine.
const holdLimit = 10*time.Second + 5*time.Second + time.Second

// step is a moment in the life of a group and what happens to a member there.
type step struct {
	name  string
	after time.Duration
	kill  func(ctx context.Context, s *stage, member cluster.Endpoint, random *rand.Rand) error
}

// steps cover the time before the holds, during them, and during the run, which
// takes about 2 s.
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
	var list []step
	for _, after := range []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond} {
		list = append(list, step{"engine", after, crash}, step{"sidecar", after, sidecar}, step{"gateway", after, gateway})
	}
	return list
}

// member returns an endpoint that holds memory for a group, or any.
func (s *stage) member(ctx context.Context) cluster.Endpoint {
	var holding []cluster.Endpoint
	for _, e := range s.Layout.Endpoints {
		var state engine.State
		if err := cluster.GetJSON(ctx, "http://"+e.Backend+"/engine/state", &state); err != nil {
			continue
		}
		for _, p := range state.Pieces {
			if p.Kind == engine.PieceHold || p.Kind == engine.PieceRunning {
				holding = append(holding, e)
				break
			}
		}
	}
	if len(holding) == 0 {
		return s.anyEndpoint(s.random, false)
	}
	return holding[s.random.IntN(len(holding))]
}

func runLongPrompts(ctx context.Context, s *stage) error {
	const tokens, output = 180_000, 16
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := s.clientConfig()
	c.Ready = newBalancer(ctx, s).Ready
	client := load.NewClient(c)
	all := steps()
	counts := map[load.Outcome]int{}
	wrong, notRunRan := 0, 0
	longest := time.Duration(0)
	for i, st := range append([]step{{name: "none"}}, all...) {
		if err := s.warm(ctx); err != nil {
			return err
		}
		before, err := s.totalStarted(ctx)
		if err != nil {
			return err
		}
		results := make(chan load.Result, 1)
		go func() {
			item := mix.Item{Index: i, Class: mix.Class256k, Tokens: tokens, Seed: s.config.Seed<<8 + uint64(i), Output: output}
			results <- client.Send(ctx, item, time.Now())
		}()
		if err := s.takeStep(ctx, st); err != nil {
			return err
		}
		r := <-results
		counts[r.Outcome]++
		ended := time.Now()
		if !s.allowed(r) || (i == 0 && r.Outcome != load.Whole) {
			wrong++
		}
		s.report.note(strings.TrimSpace(fmt.Sprintf("%s at %s: %s after %s %s", st.name, st.after, r.Outcome, r.Total.Round(time.Millisecond), r.Reason)))
		if err := s.awaitFree(ctx); err != nil {
			return err
		}
		longest = max(longest, time.Since(ended))
		after, err := s.totalStarted(ctx)
		if err != nil {
			return err
		}
		if r.Outcome == load.NotRun && after > before {
			notRunRan++
		}
	}
	s.report.figure("prompts", float64(len(all)+1), "requests", atLeast(5))
	s.report.figure("whole", float64(counts[load.Whole]), "requests", atLeast(1))
	s.report.figure("illegal_outcomes", float64(wrong), "requests", exactly(0))
	s.report.figure("not_run_had_run", float64(notRunRan), "requests", exactly(0))
	s.report.figure("longest_hold_after_the_end", longest.Seconds(), "s", atMost(holdLimit.Seconds()))
	return nil
}

// warm sends prompts until the concurrency limits of all endpoints, also of
// those that have just restarted, admit a hold of the size of the long prompt.
func (s *stage) warm(ctx context.Context) error {
	const rate, length = 120, 5 * time.Second
	short := mix.Config{MaxPromptTokens: 8_192, MaxOutputTokens: 4}
	t := s.sendLoad(ctx, rate, length, short)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.results:
	}
	return s.awaitFree(ctx)
}

func (s *stage) takeStep(ctx context.Context, st step) error {
	if st.kill == nil {
		return nil
	}
	if err := rest(ctx, st.after); err != nil {
		return err
	}
	return st.kill(ctx, s, s.member(ctx), rand.New(rand.NewPCG(s.random.Uint64(), 5)))
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
