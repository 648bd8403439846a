// Package demo starts platform fakes, gateways and sidecars as processes on
// loopback, sends a mixed load, takes an availability zone out of service and
// back, and checks the invariants. It also sends requests through siskin-edge.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/cluster"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
	"siskinstand.example/loadgen/report"
)

// Config holds the parameters of the demo.
type Config struct {
	// Binaries is the directory of the programs. Settings, tables and logs are
	// written to Directory.
	Binaries  string
	Directory string
	Rate      float64
	Seed      uint64
	// KeepRunning keeps the processes of the cluster running after the checks until
	// the context ends. siskin-edge is stopped before.
	KeepRunning bool
	// Plot is the path of an SVG plot. If it is empty, no plot is written.
	Plot string
	Out  io.Writer
	// CallerAddress is the address on which the first gateway serves callers. If
	// it is empty, a free port is used.
	CallerAddress string
}

// Durations of the phases of the demo. An availability zone that was taken out of
// service may still receive new requests for drainGrace.
const (
	timeInService   = 4 * time.Second
	drainGrace      = 3 * time.Second
	timeDrained     = 4 * time.Second
	timeAfterReturn = 5 * time.Second
	loadDuration    = timeInService + drainGrace + timeDrained + timeAfterReturn
)

// drainedZone is the availability zone that the demo takes out of service. One of
// the gateways is in it, but the state of a zone affects endpoints only.
const drainedZone = "zone-b"

// engineSwitches slow the engines down so that long prompts have a visible cost,
// and start them cold, like freshly started engines.
const engineSwitches = `{"prefill_tokens_per_second":100000,"token_time":"5ms","cold":true}`

type demoRun struct {
	config  Config
	cluster *cluster.Cluster
}

// Run runs the demo. It returns an error if a check fails.
func Run(ctx context.Context, c Config) (err error) {
	cl, err := cluster.Start(ctx, cluster.Config{
		Binaries: c.Binaries, Directory: c.Directory, EngineSwitches: engineSwitches, CallerAddress: c.CallerAddress,
		Topology: cluster.Topology{Gateways: 2, EnginesPerZone: 2, PlainServicesPerZone: 1},
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, cl.Stop()) }()
	r := &demoRun{config: c, cluster: cl}
	l := cl.Layout
	fmt.Fprintf(c.Out, "started %d endpoints and %d gateways; settings, tables and logs are in %s\n", len(l.Endpoints), len(l.Gateways), c.Directory)
	err = errors.Join(r.runLoadAndCheck(ctx), runEdgeAndCheck(ctx, c))
	if err == nil {
		fmt.Fprintln(c.Out, "every invariant held")
	} else {
		fmt.Fprintln(c.Out, "failed:", err)
	}
	if c.KeepRunning && ctx.Err() == nil {
		r.printExample()
		<-ctx.Done()
	}
	return err
}

func (r *demoRun) loadConfig() load.Config {
	const maxPromptTokens = 200_000
	c := load.Config{
		Token: cluster.Token, Model: cluster.Model, Service: cluster.PlainService,
		RunID:    "demo-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Deadline: 60 * time.Second, PlainDeadline: 5 * time.Second, Duration: loadDuration, MaxInFlight: 1024,
		Mix: mix.Config{
			Seed: r.config.Seed, RatePerSecond: r.config.Rate, PlainShare: 0.15,
			MaxPromptTokens: maxPromptTokens, MaxOutputTokens: 32, SharedPrefixes: 16,
		},
	}
	for _, g := range r.cluster.Layout.Gateways {
		c.Gateways = append(c.Gateways, "http://"+g.CallerAddress)
	}
	return c
}

// runLoadAndCheck sends the load, takes the availability zone out of service and back
// meanwhile, prints and plots the results and checks the invariants.
func (r *demoRun) runLoadAndCheck(ctx context.Context) error {
	c := r.loadConfig()
	results := make(chan []load.Result, 1)
	go func() { results <- load.Run(ctx, c) }()
	zoneErr := r.cycleZone(ctx)
	all := <-results
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: %w", ctx.Err())
	}
	rows := report.Summarize(all)
	if err := report.WriteTable(r.config.Out, rows); err != nil {
		return err
	}
	report.WriteFailureReasons(r.config.Out, all)
	if r.config.Plot != "" {
		if err := report.SavePlot(r.config.Plot, rows); err != nil {
			return err
		}
	}
	return errors.Join(
		zoneErr,
		load.CheckOutcomes(all),
		checkCoverage(all),
		r.checkRunCounts(ctx, c.RunID, all),
		r.cluster.CheckNoColdOverload(ctx),
		r.cluster.CheckMemoryReleased(ctx),
		r.cluster.CheckViolationMetrics(ctx),
		r.cluster.CheckFleetStatus(ctx),
		r.cluster.Processes.EarlyExit(),
	)
}

// cycleZone takes the availability zone out of service and back, each with one
// edit of the pools table. It checks that its backends receive requests before and
// after, and none while it is out of service once drainGrace has passed.
func (r *demoRun) cycleZone(ctx context.Context) error {
	steps := []struct {
		wait time.Duration
		edit func() error
	}{
		{timeInService, func() error { return r.setZoneState(ctx, config.ZoneOut) }},
		{drainGrace, nil},
		{timeDrained, func() error { return r.setZoneState(ctx, config.ZoneIn) }},
		{timeAfterReturn, nil},
	}
	var received []int64
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.wait):
		}
		n, err := r.cluster.ReceivedRequests(ctx, drainedZone)
		if err != nil {
			return err
		}
		received = append(received, n)
		if s.edit == nil {
			continue
		}
		if err := s.edit(); err != nil {
			return err
		}
	}
	fmt.Fprintf(r.config.Out, "%s received %d requests before it was taken out, %d within %s after, %d in the next %s, and %d after its return\n",
		drainedZone, received[0], received[1]-received[0], drainGrace, received[2]-received[1], timeDrained, received[3]-received[2])
	switch {
	case received[0] == 0:
		return fmt.Errorf("%s received no requests before it was taken out of service, so the drain was not tested", drainedZone)
	case received[2] != received[1]:
		return fmt.Errorf("invariant zone_out broken: %s received %d requests more than %s after it was taken out of service", drainedZone, received[2]-received[1], drainGrace)
	case received[3] == received[2]:
		return fmt.Errorf("%s received no requests after its return to service", drainedZone)
	}
	return nil
}

// setZoneState sets the state of drainedZone in the pools table.
func (r *demoRun) setZoneState(ctx context.Context, state config.ZoneState) error {
	return r.cluster.RunSiskinctl(ctx, "edit", string(config.TablePools), "zone "+drainedZone, "state="+string(state))
}

func (r *demoRun) printExample() {
	fmt.Fprintf(r.config.Out, `
Everything keeps running. Try:

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \
  -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"Which birds visit the feeder?"}]}'

export SISKINCTL_SETTINGS=%s
%s/siskinctl edit pools "zone %s" state=out
%s/siskinctl burn --html burn.html

Stop with Ctrl-C.
`, r.cluster.Layout.Gateways[0].CallerAddress, cluster.Token, cluster.Model, r.cluster.Layout.Path(cluster.OperatorSettingsFile), r.config.Binaries, drainedZone, r.config.Binaries)
}
