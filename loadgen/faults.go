package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"siskinstand.example/loadgen/faults"
)

// faultsCommand holds the flags of the faults command.
type faultsCommand struct {
	Binaries  string        `long:"bin" default:"bin" description:"directory of the programs"`
	Directory string        `long:"dir" default:"out/faults" description:"directory for settings, logs and report.txt"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the loads and of the schedules of faults"`
	Duration  time.Duration `long:"duration" default:"2m" description:"length of the mixed scenario"`
	Calls     int           `long:"calls" default:"100000" description:"calls of the at_most_once scenario"`
	Scenarios []string      `long:"scenario" description:"run only this scenario; may be repeated"`
	List      bool          `long:"list" description:"print the names of the scenarios"`
}

// Execute runs the scenarios and returns an error if one failed or missed a target.
// With --list, it only prints their names.
func (c *faultsCommand) Execute([]string) error {
	if c.List {
		for _, name := range faults.ScenarioNames() {
			if _, err := os.Stdout.WriteString(name + "\n"); err != nil {
				return err
			}
		}
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return faults.Run(ctx, faults.Config{
		Binaries: c.Binaries, Directory: c.Directory, Seed: c.Seed, Duration: c.Duration, Calls: c.Calls,
		Scenarios: c.Scenarios, Out: os.Stdout,
	})
}
