package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"siskinstand.example/loadgen/load"
	"siskinstand.example/loadgen/mix"
	"siskinstand.example/loadgen/report"
)

// runCommand holds the flags of the run command.
type runCommand struct {
	Gateways        []string      `long:"gateway" required:"yes" description:"base URL of a gateway; repeat it to use several in turn"`
	Token           string        `long:"token" env:"SISKIN_TOKEN" description:"bearer token"`
	Model           string        `long:"model" default:"siskin-small" description:"model"`
	Service         string        `long:"service" default:"booking" description:"plain service"`
	Rate            float64       `long:"rate" default:"20" description:"requests a second"`
	Duration        time.Duration `long:"duration" default:"10s" description:"time over which requests start"`
	Seed            uint64        `long:"seed" default:"1" description:"seed of the mix"`
	PlainShare      float64       `long:"plain-share" default:"0.1" description:"share of calls that must not be repeated"`
	MaxPromptTokens int64         `long:"max-prompt-tokens" description:"longest prompt; 0 sets no limit"`
	MaxOutputTokens int64         `long:"max-output-tokens" default:"32" description:"output bound of each request"`
	SharedPrefixes  int           `long:"shared-prefixes" default:"16" description:"prefixes that prompts share; 0 gives each its own"`
	Deadline        time.Duration `long:"deadline" default:"60s" description:"deadline of model requests"`
	PlainDeadline   time.Duration `long:"plain-deadline" default:"5s" description:"deadline of plain calls"`
	MaxInFlight     int           `long:"max-open" default:"4096" description:"most requests in flight"`
	Plot            string        `long:"plot" description:"file for an SVG of the times to first token"`
}

func (c *runCommand) config() load.Config {
	return load.Config{
		Gateways: c.Gateways, Token: c.Token, Model: c.Model, Service: c.Service,
		RunID:    "load-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Deadline: c.Deadline, PlainDeadline: c.PlainDeadline, Duration: c.Duration, MaxInFlight: c.MaxInFlight,
		Mix: mix.Config{
			Seed: c.Seed, RatePerSecond: c.Rate, PlainShare: c.PlainShare,
			MaxPromptTokens: c.MaxPromptTokens, MaxOutputTokens: c.MaxOutputTokens, SharedPrefixes: c.SharedPrefixes,
		},
	}
}

// Execute sends the load and returns an error if a response broke an invariant or
// the run was interrupted.
func (c *runCommand) Execute([]string) error {
	if c.Rate <= 0 {
		return fmt.Errorf("invalid --rate: must be positive")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	results := load.Run(ctx, c.config())
	rows := report.Summarize(results)
	if err := report.WriteTable(os.Stdout, rows); err != nil {
		return err
	}
	report.WriteFailureReasons(os.Stdout, results)
	if c.Plot != "" {
		if err := report.SavePlot(c.Plot, rows); err != nil {
			return err
		}
	}
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: requests in flight were abandoned, so their responses can't be checked")
	}
	return load.CheckOutcomes(results)
}
