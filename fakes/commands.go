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

// Execute runs the engine.
func (c *engineCommand) Execute([]string) error {
	config := engine.DefaultConfig()
	config.Model = c.Model
	config.MemoryTokens = c.MemoryTokens
	config.MaxBatch = c.MaxBatch
	config.ChunkTokens = c.ChunkTokens
	if err := c.apply(&config.Switches); err != nil {
		return err
	}
	d := &downer{}
	config.OnCrash = d.down
	e := engine.New(config)
	defer e.Close()
	if err := e.SetSwitches(config.Switches); err != nil {
		return err
	}
	return c.serve(e.Handler(), d)
}

type kvstoreCommand struct{ listenOptions }

// Execute runs the key-value store.
func (c *kvstoreCommand) Execute([]string) error {
	d := &downer{}
	config := kvstore.Config{OnRestart: d.down}
	if err := c.apply(&config.Switches); err != nil {
		return err
	}
	return c.serve(kvstore.New(config).Handler(), d)
}

type hostlistCommand struct {
	listenOptions
	Hosts string `long:"hosts" description:"file with a JSON array of hosts"`
}

// Execute runs the host list.
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
	if err := c.apply(&switches); err != nil {
		return err
	}
	return c.serve(hostlist.New(hosts, switches).Handler(), nil)
}

type weightstoreCommand struct{ listenOptions }

// Execute runs the weight store.
func (c *weightstoreCommand) Execute([]string) error {
	const defaultBytesPerSecond = 1 << 30
	switches := weightstore.Switches{BytesPerSecond: defaultBytesPerSecond}
	if err := c.apply(&switches); err != nil {
		return err
	}
	store, err := weightstore.New(switches)
	if err != nil {
		return err
	}
	return c.serve(store.Handler(), nil)
}

type plainserviceCommand struct{ listenOptions }

// Execute runs the plain service.
func (c *plainserviceCommand) Execute([]string) error {
	var switches plainservice.Switches
	if err := c.apply(&switches); err != nil {
		return err
	}
	return c.serve(plainservice.New(switches).Handler(), nil)
}
