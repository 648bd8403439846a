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

// capacityCommand holds the flags of the capacity command.
type capacityCommand struct {
	Binaries  string `long:"bin" default:"bin" description:"directory of the programs"`
	Directory string `long:"dir" default:"out/capacity" description:"directory for settings and logs"`
	Seed      uint64 `long:"seed" default:"1" description:"seed of tables, keys and choices"`
	PageFile  string `long:"page" value-name:"FILE" description:"page whose marked part is replaced by the tables"`
}

// Execute measures the cost of each role, prints the tables and updates the page, if
// one is given.
func (c *capacityCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// Components that run in this process write to klog as the programs do. Their
	// log is discarded.
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	return capacity.Run(ctx, capacity.Config{
		Binaries: c.Binaries, Directory: c.Directory, Seed: c.Seed, Page: c.PageFile, Out: os.Stdout,
	})
}
