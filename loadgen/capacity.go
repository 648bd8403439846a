package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"siskinstand.example/loadgen/capacity"
)

// capacityCommand are the flags of capacity.
type capacityCommand struct {
	Binaries  string `long:"bin" default:"bin" description:"directory of the programs"`
	Directory string `long:"dir" default:"out/capacity" description:"directory for settings and logs"`
	Seed      uint64 `long:"seed" default:"1" description:"seed of tables, keys and choices"`
	Page      string `long:"page" value-name:"FILE" description:"page whose marked part is replaced by the tables"`
}

// Execute measures and prints the tables.
func (c *capacityCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// The parts that run in this process log as the programs do.
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	return capacity.Run(ctx, capacity.Config{
		Binaries: c.Binaries, Directory: c.Directory, Seed: c.Seed, Page: c.Page, Out: os.Stdout,
	})
}
