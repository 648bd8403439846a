package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"siskinstand.example/loadgen/compare"
	"siskinstand.example/loadgen/fleetbench"
)

// compareCommand holds the flags of the compare command.
type compareCommand struct {
	Bench     string   `long:"bench" required:"yes" value-name:"PROGRAM" description:"the users' bench"`
	Before    string   `long:"before" required:"yes" value-name:"DIR" description:"checkout to compare with"`
	After     string   `long:"after" default:"." value-name:"DIR" description:"checkout to compare"`
	Sites     []string `long:"site" required:"yes" value-name:"FILE" description:"site file; may come more than once"`
	Days      []string `long:"day" value-name:"NAME" description:"day of the sites or a day file; may come more than once" default:"quiet-1" default:"trouble-1" default:"scale-1" default:"trouble-2" default:"scale-2" default:"trouble-3"`
	Seeds     []uint64 `long:"seed" description:"seed of the days; may come more than once" default:"11" default:"22"`
	Jobs      int      `long:"jobs" default:"3" description:"days played at a time"`
	Directory string   `long:"out" default:"out/compare" description:"directory for reports and plots"`
}

// Execute runs the days on both checkouts, prints the comparison and writes the
// plots.
func (c *compareCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	config := compare.Config{
		Before: fleetbench.Bench{Program: c.Bench, Checkout: c.Before}, After: fleetbench.Bench{Program: c.Bench, Checkout: c.After},
		Jobs: c.Jobs, Directory: c.Directory, Out: os.Stdout,
	}
	for _, site := range c.Sites {
		for _, day := range c.Days {
			for _, seed := range c.Seeds {
				config.Days = append(config.Days, fleetbench.Day{Site: site, Name: day, Seed: seed})
			}
		}
	}
	return compare.Run(ctx, config)
}
