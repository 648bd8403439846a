// Package faults runs the programs as processes with fakes of the platform
// services and injects faults on a seeded schedule under load. It checks the
// requirements in docs/design.md, section 1: no process may report an unexpected
// invariant violation, and each scenario has to meet its targets.
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

// Config holds the parameters of a run.
type Config struct {
	// Binaries is the directory of the programs. Settings, logs and the report are
	// written to Directory.
	Binaries  string
	Directory string
	Seed      uint64
	// Duration is the duration of the mixed scenario. Calls is the number of calls
	// in the at_most_once scenario.
	Duration time.Duration
	Calls    int
	// Short shortens the scenarios for tests.
	Short bool
	// Scenarios are the names of the scenarios to run. If it is empty, all of them
	// run. ScenarioNames lists the names.
	Scenarios []string
	Out       io.Writer
}

// scenario is a fault experiment that runs on its own cluster.
type scenario struct {
	name    string
	cluster cluster.Config
	run     func(context.Context, *scenarioRun) error
}

func scenarios() []scenario {
	return []scenario{
		atMostOnce(), crashRequest(), zoneCycle(), coldEndpoints(), propagation(),
		memoryOwner(), gracefulShutdown(), longPrompts(), mixed(), overhead(),
	}
}

// ScenarioNames returns the names of all scenarios in the order in which they run.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// scenarioRun is one execution of a scenario on a running cluster.
type scenarioRun struct {
	*cluster.Cluster
	config Config
	random *rand.Rand
	report *report
	// disruptions records when gateways were killed or paused, because truncated
	// or late responses are allowed only then.
	disruptions disruptionLog
	// locks marks the processes that a fault is killing or pausing.
	locks processLocks
}

// Run runs the scenarios in sequence and returns an error that names each
// scenario that failed or missed a target.
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
		if err := runScenario(ctx, c, s, out); err != nil {
			failed = append(failed, fmt.Errorf("%s: %w", s.name, err))
			fmt.Fprintf(out, "%s.error %v\n", s.name, err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errors.Join(failed...)
}

func runScenario(ctx context.Context, c Config, s scenario, out io.Writer) error {
	begin := time.Now()
	clusterConfig := s.cluster
	clusterConfig.Binaries, clusterConfig.Directory = c.Binaries, filepath.Join(c.Directory, s.name)
	cl, err := cluster.Start(ctx, clusterConfig)
	if err != nil {
		return err
	}
	run := &scenarioRun{
		Cluster: cl, config: c, report: &report{scenario: s.name, out: out},
		// Each scenario has its own random sequence, so that it can be replayed
		// without the others.
		random: rand.New(rand.NewPCG(c.Seed, uint64(slices.Index(ScenarioNames(), s.name)))),
	}
	err = s.run(ctx, run)
	if err == nil {
		err = run.checkInvariants(ctx)
	}
	err = errors.Join(err, cl.Processes.EarlyExit(), cl.Stop())
	run.report.record("time", time.Since(begin).Seconds(), "s", noTarget)
	return errors.Join(err, run.report.missedTargetsError())
}

// checkInvariants reports the invariant violations that the processes detected
// and logged. Expected violations are reported separately.
func (s *scenarioRun) checkInvariants(ctx context.Context) error {
	if err := s.CheckViolationMetrics(ctx); err != nil {
		s.report.comment(err.Error())
	}
	list, err := s.LoggedViolations()
	if err != nil {
		return err
	}
	count := 0
	for _, v := range list {
		if s.isExpectedViolation(v) {
			continue
		}
		if count++; count <= maxPrintedViolations {
			s.report.comment(v.Process + ": " + v.Line)
		}
	}
	s.report.record("late_ends_of_paused_gateways", float64(len(list)-count), "requests", noTarget)
	s.report.record("invariant_violations", float64(count), "violations", exactly(0))
	return nil
}

// maxPrintedViolations bounds the violations that are printed per scenario.
const maxPrintedViolations = 5

// isExpectedViolation reports whether a violation is a request that ended late
// because its gateway was killed or paused. No other violation is expected.
func (s *scenarioRun) isExpectedViolation(v cluster.Violation) bool {
	if !strings.Contains(v.Line, `invariant="`+string(invariant.RequestOutcome)+`"`) {
		return false
	}
	for _, g := range s.Layout.Gateways {
		if g.Name == v.Process {
			return s.disruptions.overlaps(gatewayURL(g), v.LoggedAt, v.LoggedAt)
		}
	}
	return false
}

// sleep waits for d. It returns an error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
