package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"siskinstand.example/loadgen/demo"
)

// demoCommand holds the flags of the demo command.
type demoCommand struct {
	Binaries      string  `long:"bin" default:"bin" description:"directory of the programs"`
	Directory     string  `long:"dir" default:"out/demo" description:"directory for settings, tables and logs"`
	Rate          float64 `long:"rate" default:"30" description:"requests a second"`
	Seed          uint64  `long:"seed" default:"1" description:"seed of the mix"`
	Plot          string  `long:"plot" description:"file for an SVG of the times to first token"`
	CallerAddress string  `long:"callers" value-name:"HOST:PORT" description:"address of the first gateway for callers; default: a free port"`
	KeepRunning   bool    `long:"stay" description:"keep everything running and print an example call"`
}

// Execute runs the demo and returns an error if a check failed.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return demo.Run(ctx, demo.Config{
		Binaries: c.Binaries, Directory: c.Directory, Rate: c.Rate, Seed: c.Seed,
		KeepRunning: c.KeepRunning, Plot: c.Plot, CallerAddress: c.CallerAddress, Out: os.Stdout,
	})
}
