// Package faults runs the programs as processes with stand-ins of the platform,
// injects faults by a seeded schedule under load and checks that the
// requirements of section 1 of docs/design.md hold.
package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"siskinstand.example/coord/invariant"
	"siskinstand.example/loadgen/cluster"
)

// Config describes a run.
type Config struct {
	// Binaries is the directory of the programs, Directory that of settings,
	// logs and the report.
	Binaries  string
	Directory string
	Seed      uint64
	// Duration is the length of the mixed scenario, Calls the number of calls
	// of the at_most_once scenario.
	Duration time.Duration
	Calls    int
	// Short shortens the scenarios for tests.
	Short bool
	// Scenarios are names of Names; empty runs all.
	Scenarios []string
	Out       io.Writer
}

// scenario is one experiment on a cluster of its own.
type scenario struct {
	name    string
	cluster cluster.Config
	run     func(context.Context, *stage) error
}

func scenarios() []scenario {
	return []scenario{
		atMostOnce(), crashRequest(), zoneCycle(), coldEndpoints(), propagation(),
		memoryOwner(), gracefulShutdown(), longPrompts(), mixed(), overhead(),
	}
}

// ScenarioNames lists the scenarios in their order.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// stage is a running cluster with what a scenario needs.
type stage struct {
	*cluster.Cluster
	config Config
	random *rand.Rand
	report *report
	// log holds the disturbances of gateways, which excuse cut answers.
	log disturbances
	// processes holds the processes that a fault has killed or paused.
	processes exclusive
}

// Run runs the scenarios one after another and returns an error that names each
// one that missed a target.
func Run(ctx context.Context, c Config) error {
	if err := os.MkdirAll(c.Directory, 0o700); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(c.Directory, "report.txt"))
	if err != nil {
		return err
	}
	defer file.Close()
	for _, name := range c.Scenarios {
		if !slices.Contains(ScenarioNames(), name) {
			return fmt.Errorf("unknown scenario %q; known: %s", name, strings.Join(ScenarioNames(), ", "))
		}
	}
	out := io.MultiWriter(c.Out, file)
	fmt.Fprintf(out, "seed=%d duration=%s calls=%d\n", c.Seed, c.Duration, c.Calls)
	var failed []error
	for _, s := range scenarios() {
		if len(c.Scenarios) > 0 && !slices.Contains(c.Scenarios, s.name) {
			continue
		}
		if err := runOne(ctx, c, s, out); err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", s.name, err))
			fmt.Fprintf(out, "%s.error %v\n", s.name, err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errors.Join(failed...)
}

func runOne(ctx context.Context, c Config, s scenario, out io.Writer) error {
	begin := time.Now()
	settings := s.cluster
	settings.Binaries, settings.Directory = c.Binaries, filepath.Join(c.Directory, s.name)
	processes, err := cluster.Start(ctx, settings)
	if err != nil {
		return err
	}
	st := &stage{
		Cluster: processes, config: c, report: &report{scenario: s.name, out: out},
		// Each scenario draws from its own sequence, so that it can be replayed
		// alone.
		random: rand.New(rand.NewPCG(c.Seed, uint64(slices.Index(ScenarioNames(), s.name)))),
	}
	err = s.run(ctx, st)
	if err == nil {
		err = st.checkInvariants(ctx)
	}
	err = errors.Join(err, processes.Processes.Early(), processes.Stop())
	st.report.figure("time", time.Since(begin).Seconds(), "s", none)
	return errors.Join(err, st.report.missed())
}

// checkInvariants reports the violations that the processes themselves found.
func (s *stage) checkInvariants(ctx context.Context) error {
	if err := s.CheckMetrics(ctx); err != nil {
		s.report.note(err.Error())
	}
	list, err := s.LoggedViolations()
	if err != nil {
		return err
	}
	count := 0
	for _, v := range list {
		if s.excused(v) {
			continue
		}
		if count++; count <= maxExamples {
			s.report.note(v.Process + ": " + v.Line)
		}
	}
	s.report.figure("late_ends_of_paused_gateways", float64(len(list)-count), "requests", none)
	s.report.figure("invariant_violations", float64(count), "violations", exactly(0))
	return nil
}

// maxExamples bounds the lines that explain a figure.
const maxExamples = 5

// excused reports whether a request of a gateway ended late because the gateway
// itself was stopped. No other violation has an excuse.
func (s *stage) excused(v cluster.Violation) bool {
	if !strings.Contains(v.Line, `invariant="`+string(invariant.RequestOutcome)+`"`) {
		return false
	}
	for _, g := range s.Layout.Gateways {
		if g.Name == v.Process {
			return s.log.excuses(gatewayURL(g), v.At, v.At)
		}
	}
	return false
}

// rest waits unless the context ends.
func rest(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
