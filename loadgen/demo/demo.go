// Package demo starts stand-ins, gateways and sidecars as processes on
// loopback, sends a mixed load, takes an availability zone out and back, and
// checks the invariants.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"siskinstand.example/coord/config"
	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
	"siskinstand.example/loadgen/process"
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
	config    Config
	layout    *layout
	processes *process.Group
}

// Run runs the demo. It returns an error if an invariant was broken.
func Run(ctx context.Context, c Config) (err error) {
	if err := os.MkdirAll(c.Directory, 0o700); err != nil {
		return err
	}
	l, err := newLayout(c.Directory)
	if err != nil {
		return err
	}
	if c.Callers != "" {
		l.gateways[0].callers = c.Callers
	}
	r := &run{config: c, layout: l, processes: process.NewGroup(c.Binaries, c.Directory)}
	defer func() { err = errors.Join(err, r.processes.Stop()) }()
	if err := r.start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(c.Out, "started %d endpoints and %d gateways; settings, tables and logs are in %s\n", len(l.endpoints), len(l.gateways), c.Directory)
	err = r.exercise(ctx)
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

func (r *run) start(ctx context.Context) error {
	l, p := r.layout, r.processes
	if err := l.writeAll(); err != nil {
		return err
	}
	starts := [][]string{
		{"kvstore", "siskin-fake", "kvstore", "--listen", l.store},
		{"hostlist", "siskin-fake", "hostlist", "--listen", l.hosts, "--hosts", l.path("hosts.json")},
		{"weightstore", "siskin-fake", "weightstore", "--listen", l.weights},
	}
	for _, e := range l.endpoints {
		backend := []string{e.name + "-backend", "siskin-fake", "engine", "--listen", e.backend, "--model", model, "--switches", engineSwitches}
		if e.plain {
			backend = []string{e.name + "-backend", "siskin-fake", "plainservice", "--listen", e.backend}
		}
		starts = append(starts, backend)
	}
	for _, e := range l.endpoints {
		starts = append(starts, []string{e.name, "siskin-sidecar", "--config", l.path(e.name + ".ini")})
	}
	for _, g := range l.gateways {
		starts = append(starts, []string{g.name, "siskin-gateway", "--config", l.path(g.name + ".ini")})
	}
	for _, s := range starts {
		if err := p.Start(s[0], s[1], s[2:]...); err != nil {
			return err
		}
	}
	if err := p.AwaitReady(ctx, "kvstore", "http://"+l.store+"/control"); err != nil {
		return err
	}
	if err := r.control(ctx, "apply", "--base", "0", "--routes", l.path("routes.ini"), "--pools", l.path("pools.ini")); err != nil {
		return err
	}
	for name, admin := range l.admins() {
		if err := p.AwaitReady(ctx, name, "http://"+admin+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// admins returns the admin listener of each of our processes.
func (l *layout) admins() map[string]string {
	all := map[string]string{}
	for _, e := range l.endpoints {
		all[e.name] = e.admin
	}
	for _, g := range l.gateways {
		all[g.name] = g.admin
	}
	return all
}

func (r *run) loadConfig() load.Config {
	const maxPromptTokens = 200_000
	c := load.Config{
		Token: token, Model: model, Service: plainService,
		RunID:    "demo-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Deadline: 60 * time.Second, PlainDeadline: 5 * time.Second, Duration: loadTime, MaxOpen: 1024,
		Mix: mix.Config{
			Seed: r.config.Seed, RatePerSecond: r.config.Rate, PlainShare: 0.15,
			MaxPromptTokens: maxPromptTokens, MaxOutputTokens: 32, SharedPrefixes: 16,
		},
	}
	for _, g := range r.layout.gateways {
		c.Gateways = append(c.Gateways, "http://"+g.callers)
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
	report.WriteReasons(r.config.Out, all)
	if r.config.Plot != "" {
		if err := report.SavePlot(r.config.Plot, rows); err != nil {
			return err
		}
	}
	return errors.Join(
		zoneError,
		load.Check(all),
		checkUseful(all),
		r.checkRuns(ctx, c.RunID, all),
		r.checkCold(ctx),
		r.checkMemory(ctx),
		r.checkMetrics(ctx),
		r.checkFleet(ctx),
		r.processes.Early(),
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
		n, err := r.started(ctx, outZone)
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
	return r.control(ctx, "edit", string(config.TablePools), "zone "+outZone, "state="+string(state))
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
`, r.layout.gateways[0].callers, token, model, r.layout.path(operatorSettings), r.config.Binaries, outZone, r.config.Binaries)
}

// control runs siskinctl with the store and returns an error with its output.
func (r *run) control(ctx context.Context, arguments ...string) error {
	arguments = append([]string{"--store", r.layout.store}, arguments...)
	out, err := exec.CommandContext(ctx, filepath.Join(r.config.Binaries, "siskinctl"), arguments...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("siskinctl %s: %w\n%s", strings.Join(arguments, " "), err, out)
	}
	return nil
}
