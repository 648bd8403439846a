package main

import (
	"encoding/json"
	"fmt"
	"os"

	hostlistapi "siskinstand.example/adapters/hostlist"
	"siskinstand.example/fakes/engine"
	"siskinstand.example/fakes/hostlist"
	"siskinstand.example/fakes/kvstore"
	"siskinstand.example/fakes/plainservice"
	"siskinstand.example/fakes/weightstore"
)

type engineCommand struct {
	listenOptions
	Model        string `long:"model" default:"siskin-small" description:"model at start"`
	MemoryTokens int64  `long:"memory-tokens" default:"600000" description:"memory in tokens"`
	MaxBatch     int    `long:"max-batch" default:"64" description:"most requests that run at once"`
	ChunkTokens  int64  `long:"chunk-tokens" default:"2048" description:"most prefill tokens of one step"`
}

// Execute runs the fake engine.
func (c *engineCommand) Execute([]string) error {
	config := engine.DefaultConfig()
	config.Model = c.Model
	config.MemoryTokens = c.MemoryTokens
	config.MaxBatch = c.MaxBatch
	config.ChunkTokens = c.ChunkTokens
	if err := c.applySwitches(&config.Switches); err != nil {
		return err
	}
	stopper := &serverStopper{}
	config.OnCrash = stopper.stopFor
	e := engine.New(config)
	defer e.Close()
	if err := e.SetSwitches(config.Switches); err != nil {
		return err
	}
	return c.serve(e.Handler(), stopper)
}

type kvstoreCommand struct{ listenOptions }

// Execute runs the fake key-value store.
func (c *kvstoreCommand) Execute([]string) error {
	stopper := &serverStopper{}
	config := kvstore.Config{OnRestart: stopper.stopFor}
	if err := c.applySwitches(&config.Switches); err != nil {
		return err
	}
	return c.serve(kvstore.New(config).Handler(), stopper)
}

type hostlistCommand struct {
	listenOptions
	Hosts string `long:"hosts" description:"file with a JSON array of hosts"`
}

// Execute runs the fake host list.
func (c *hostlistCommand) Execute([]string) error {
	var hosts []hostlistapi.Host
	if c.Hosts != "" {
		data, err := os.ReadFile(c.Hosts)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, &hosts); err != nil {
			return fmt.Errorf("%s: %w", c.Hosts, err)
		}
	}
	var switches hostlist.Switches
	if err := c.applySwitches(&switches); err != nil {
		return err
	}
	return c.serve(hostlist.New(hosts, switches).Handler(), nil)
}

type weightstoreCommand struct{ listenOptions }

// Execute runs the fake weight store.
func (c *weightstoreCommand) Execute([]string) error {
	const defaultBytesPerSecond = 1 << 30
	switches := weightstore.Switches{BytesPerSecond: defaultBytesPerSecond}
	if err := c.applySwitches(&switches); err != nil {
		return err
	}
	store, err := weightstore.New(switches)
	if err != nil {
		return err
	}
	return c.serve(store.Handler(), nil)
}

type plainserviceCommand struct{ listenOptions }

// Execute runs the fake plain service.
func (c *plainserviceCommand) Execute([]string) error {
	var switches plainservice.Switches
	if err := c.applySwitches(&switches); err != nil {
		return err
	}
	return c.serve(plainservice.New(switches).Handler(), nil)
}
