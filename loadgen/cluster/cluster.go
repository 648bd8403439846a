// Package cluster starts gateways, sidecars and fakes of the platform services
// as processes on loopback, injects faults into them and reads their counters.
package cluster

import (
	"context"
	"errors"
	"os"

	"siskinstand.example/loadgen/process"
)

// Config holds the parameters of a cluster.
type Config struct {
	// Binaries is the directory of the programs. Settings, tables and logs are
	// written to Directory.
	Binaries  string
	Directory string
	Topology  Topology
	// EngineSwitches is a JSON object with the initial switches of every fake
	// engine. EngineArguments are additional command-line flags.
	EngineSwitches  string
	EngineArguments []string
	// CallerAddress is the address on which the first gateway serves callers. If
	// it is empty, a free port is used.
	CallerAddress string
}

// Cluster is a set of running processes.
type Cluster struct {
	Layout    *Layout
	Processes *process.Group

	config Config
}

// Start starts all processes, applies the tables and waits until every gateway
// and sidecar is ready.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	if err := os.MkdirAll(config.Directory, 0o700); err != nil {
		return nil, err
	}
	l, err := newLayout(config.Directory, config.Topology)
	if err != nil {
		return nil, err
	}
	if config.CallerAddress != "" {
		l.Gateways[0].CallerAddress = config.CallerAddress
	}
	c := &Cluster{config: config, Layout: l, Processes: process.NewGroup(config.Binaries, config.Directory)}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

// Stop stops all processes and returns the first failure.
func (c *Cluster) Stop() error {
	defer c.Layout.ports.reservation.Close()
	return c.Processes.Stop()
}

func (c *Cluster) start(ctx context.Context) error {
	l, p := c.Layout, c.Processes
	if err := l.writeFiles(); err != nil {
		return err
	}
	commands := [][]string{
		{"kvstore", "siskin-fake", "kvstore", "--listen", l.StoreAddress},
		{"hostlist", "siskin-fake", "hostlist", "--listen", l.HostListAddress, "--hosts", l.Path("hosts.json")},
		{"weightstore", "siskin-fake", "weightstore", "--listen", l.WeightStoreAddress},
	}
	started := map[string]bool{}
	for _, e := range l.Endpoints {
		if started[e.BackendAddress] {
			continue
		}
		started[e.BackendAddress] = true
		backend := []string{e.Name + "-backend", "siskin-fake", "engine", "--listen", e.BackendAddress, "--model", Model, "--switches", c.config.EngineSwitches}
		backend = append(backend, c.config.EngineArguments...)
		if e.IsPlain {
			backend = []string{e.Name + "-backend", "siskin-fake", "plainservice", "--listen", e.BackendAddress}
		}
		commands = append(commands, backend)
	}
	for _, e := range l.Endpoints {
		commands = append(commands, []string{e.Name, "siskin-sidecar", "--config", l.Path(e.Name + ".ini")})
	}
	for _, g := range l.Gateways {
		commands = append(commands, []string{g.Name, "siskin-gateway", "--config", l.Path(g.Name + ".ini")})
	}
	for _, command := range commands {
		if err := p.Start(command[0], command[1], command[2:]...); err != nil {
			return err
		}
	}
	if err := p.AwaitReady(ctx, "kvstore", "http://"+l.StoreAddress+"/control"); err != nil {
		return err
	}
	if err := c.RunSiskinctl(ctx, "apply", "--base", "0", "--routes", l.Path("routes.ini"), "--pools", l.Path("pools.ini")); err != nil {
		return err
	}
	for name, admin := range l.AdminAddresses() {
		if err := p.AwaitReady(ctx, name, "http://"+admin+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// AdminAddresses returns the admin address of each gateway and sidecar by
// process name.
func (l *Layout) AdminAddresses() map[string]string {
	all := map[string]string{}
	for _, e := range l.Endpoints {
		all[e.Name] = e.AdminAddress
	}
	for _, g := range l.Gateways {
		all[g.Name] = g.AdminAddress
	}
	return all
}
