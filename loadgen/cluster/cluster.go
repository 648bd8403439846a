// Package cluster starts gateways, sidecars and the stand-ins of the platform as
// processes on loopback, injects faults into them and reads their counters.
package cluster

import (
	"context"
	"errors"
	"os"

	"siskinstand.example/loadgen/process"
)

// Config describes a cluster.
type Config struct {
	// Binaries is the directory of the programs, Directory that of settings,
	// tables and logs.
	Binaries  string
	Directory string
	Shape     Shape
	// EngineSwitches are the engines' switches at start, EngineArguments
	// further flags.
	EngineSwitches  string
	EngineArguments []string
	// Callers is the address of the first gateway for callers; empty takes a
	// free port.
	Callers string
}

// Cluster is a set of running processes.
type Cluster struct {
	Layout    *Layout
	Processes *process.Group

	config Config
}

// Start starts all processes and waits until they are ready.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	if err := os.MkdirAll(config.Directory, 0o700); err != nil {
		return nil, err
	}
	l, err := newLayout(config.Directory, config.Shape)
	if err != nil {
		return nil, err
	}
	if config.Callers != "" {
		l.Gateways[0].Callers = config.Callers
	}
	c := &Cluster{config: config, Layout: l, Processes: process.NewGroup(config.Binaries, config.Directory)}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

// Stop ends all processes and returns the first failure.
func (c *Cluster) Stop() error {
	defer c.Layout.ports.reservation.Close()
	return c.Processes.Stop()
}

func (c *Cluster) start(ctx context.Context) error {
	l, p := c.Layout, c.Processes
	if err := l.writeAll(); err != nil {
		return err
	}
	starts := [][]string{
		{"kvstore", "siskin-fake", "kvstore", "--listen", l.Store},
		{"hostlist", "siskin-fake", "hostlist", "--listen", l.Hosts, "--hosts", l.Path("hosts.json")},
		{"weightstore", "siskin-fake", "weightstore", "--listen", l.Weights},
	}
	started := map[string]bool{}
	for _, e := range l.Endpoints {
		if started[e.Backend] {
			continue
		}
		started[e.Backend] = true
		backend := []string{e.Name + "-backend", "siskin-fake", "engine", "--listen", e.Backend, "--model", Model, "--switches", c.config.EngineSwitches}
		backend = append(backend, c.config.EngineArguments...)
		if e.Plain {
			backend = []string{e.Name + "-backend", "siskin-fake", "plainservice", "--listen", e.Backend}
		}
		starts = append(starts, backend)
	}
	for _, e := range l.Endpoints {
		starts = append(starts, []string{e.Name, "siskin-sidecar", "--config", l.Path(e.Name + ".ini")})
	}
	for _, g := range l.Gateways {
		starts = append(starts, []string{g.Name, "siskin-gateway", "--config", l.Path(g.Name + ".ini")})
	}
	for _, s := range starts {
		if err := p.Start(s[0], s[1], s[2:]...); err != nil {
			return err
		}
	}
	if err := p.AwaitReady(ctx, "kvstore", "http://"+l.Store+"/control"); err != nil {
		return err
	}
	if err := c.Control(ctx, "apply", "--base", "0", "--routes", l.Path("routes.ini"), "--pools", l.Path("pools.ini")); err != nil {
		return err
	}
	for name, admin := range l.Admins() {
		if err := p.AwaitReady(ctx, name, "http://"+admin+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Admins returns the admin listener of each of our processes.
func (l *Layout) Admins() map[string]string {
	all := map[string]string{}
	for _, e := range l.Endpoints {
		all[e.Name] = e.Admin
	}
	for _, g := range l.Gateways {
		all[g.Name] = g.Admin
	}
	return all
}
