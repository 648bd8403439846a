package main

import (
	"os"

	"siskinstand.example/loadgen/bench"
)

// benchCommand holds the flags of the bench command.
type benchCommand struct {
	Seed      uint64 `long:"seed" default:"1" description:"seed of the workload"`
	Directory string `long:"out" default:"out/bench" description:"directory for the plots"`
}

// Execute runs the benchmark and returns an error if a target was missed.
func (c *benchCommand) Execute([]string) error {
	return bench.Run(bench.Config{Seed: c.Seed, Directory: c.Directory, Out: os.Stdout})
}
