// Package demo starts stand-ins, gateways and sidecars as processes on
// loopback, sends a mixed load, takes an availability zone out and back, and
// checks the invariants.
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

// Config describes a demo.
type Config struct {
	// Binaries is the directory of the programs, Directory that of settings,
	// tables and logs.
	Binaries  string
	Directory string
	Rate      float64
	Seed      uint64
	// Stay keeps everything running until the context ends.
	Stay bool
	// Plot is the file for an SVG, if set.
	Plot string
	Out  io.Writer
	// Callers is the address of the first gateway for callers; empty takes a free
	// port.
	Callers string
}

// Times of the demo. A zone that was taken out may get new work for zoneGrace.
const (
	beforeOut = 4 * time.Second
	zoneGrace = 3 * time.Second
	outWatch  = 4 * time.Second
	afterOut  = 5 * time.Second
	loadTime  = beforeOut + zoneGrace + outWatch + afterOut
)

// outZone is the zone that the demo takes out. No gateway depends on it.
const outZone = "zone-b"

// engineSwitches make engines slow enough that long prompts matter, and cold,
// as they are after a start.
const engineSwitches = `{"prefill_tokens_per_second":100000,"token_time":"5ms","cold":true}`

type run struct {
	config  Config
	cluster *cluster.Cluster
}

// Run runs the demo. It returns an error if an invariant was broken.
func Run(ctx context.Context, c Config) (err error) {
	all, err := cluster.Start(ctx, cluster.Config{
		Binaries: c.Binaries, Directory: c.Directory, EngineSwitches: engineSwitches, Callers: c.Callers,
		Shape: cluster.Shape{Gateways: 2, EnginesByZone: 2, PlainByZone: 1},
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, all.Stop()) }()
	r := &run{config: c, cluster: all}
	l := all.Layout
	fmt.Fprintf(c.Out, "started %d endpoints and %d gateways; settings, tables and logs are in %s\n", len(l.Endpoints), len(l.Gateways), c.Directory)
	err = errors.Join(r.exercise(ctx), platformPath(ctx, c))
	if err == nil {
		fmt.Fprintln(c.Out, "every invariant held")
	} else {
		fmt.Fprintln(c.Out, "failed:", err)
	}
	if c.Stay && ctx.Err() == nil {
		r.printExample()
		<-ctx.Done()
	}
	return err
}

func (r *run) loadConfig() load.Config {
	const maxPromptTokens = 200_000
	c := load.Config{
		Token: cluster.Token, Model: cluster.Model, Service: cluster.PlainService,
		RunID:    "demo-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Deadline: 60 * time.Second, PlainDeadline: 5 * time.Second, Duration: loadTime, MaxOpen: 1024,
		Mix: mix.Config{
			Seed: r.config.Seed, RatePerSecond: r.config.Rate, PlainShare: 0.15,
			MaxPromptTokens: maxPromptTokens, MaxOutputTokens: 32, SharedPrefixes: 16,
		},
	}
	for _, g := range r.cluster.Layout.Gateways {
		c.Gateways = append(c.Gateways, "http://"+g.Callers)
	}
	return c
}

// exercise sends the load, takes the zone out and back meanwhile, prints the
// table and checks the invariants.
func (r *run) exercise(ctx context.Context) error {
	c := r.loadConfig()
	results := make(chan []load.Result, 1)
	go func() { results <- load.Run(ctx, c) }()
	zoneError := r.cycleZone(ctx)
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
		zoneError,
		load.CheckOutcomes(all),
		checkUseful(all),
		r.checkRuns(ctx, c.RunID, all),
		r.cluster.CheckCold(ctx),
		r.cluster.CheckMemory(ctx),
		r.cluster.CheckMetrics(ctx),
		r.cluster.CheckFleet(ctx),
		r.cluster.Processes.Early(),
	)
}

// cycleZone takes the zone out and back with one edit of the pools table each,
// and checks the work that its endpoints start.
func (r *run) cycleZone(ctx context.Context) error {
	steps := []struct {
		wait time.Duration
		edit func() error
	}{
		{beforeOut, func() error { return r.setZone(ctx, config.ZoneOut) }},
		{zoneGrace, nil},
		{outWatch, func() error { return r.setZone(ctx, config.ZoneIn) }},
		{afterOut, nil},
	}
	var started []int64
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.wait):
		}
		n, err := r.cluster.Started(ctx, outZone)
		if err != nil {
			return err
		}
		started = append(started, n)
		if s.edit == nil {
			continue
		}
		if err := s.edit(); err != nil {
			return err
		}
	}
	fmt.Fprintf(r.config.Out, "%s started %d requests before it was taken out, %d within %s after, %d in the next %s, and %d after its return\n",
		outZone, started[0], started[1]-started[0], zoneGrace, started[2]-started[1], outWatch, started[3]-started[2])
	switch {
	case started[0] == 0:
		return fmt.Errorf("%s got no work before it was taken out, so the check shows nothing", outZone)
	case started[2] != started[1]:
		return fmt.Errorf("invariant zone_out broken: %s started %d requests after %s", outZone, started[2]-started[1], zoneGrace)
	case started[3] == started[2]:
		return fmt.Errorf("%s got no work after its return", outZone)
	}
	return nil
}

// setZone makes one edit of the pools table.
func (r *run) setZone(ctx context.Context, state config.ZoneState) error {
	return r.cluster.Control(ctx, "edit", string(config.TablePools), "zone "+outZone, "state="+string(state))
}

func (r *run) printExample() {
	fmt.Fprintf(r.config.Out, `
Everything keeps running. Try:

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \
  -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"Which birds visit the feeder?"}]}'

export SISKINCTL_SETTINGS=%s
%s/siskinctl edit pools "zone %s" state=out
%s/siskinctl burn --html burn.html

Stop with Ctrl-C.
`, r.cluster.Layout.Gateways[0].Callers, cluster.Token, cluster.Model, r.cluster.Layout.Path(cluster.OperatorSettings), r.config.Binaries, outZone, r.config.Binaries)
}
