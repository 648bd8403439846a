package main

import (
	"os"

	"github.com/rotisserie/eris"

	"siskinstand.example/loadgen/costs"
)

// costsCommand holds the flags of the costs command.
type costsCommand struct {
	Log string `long:"log" required:"yes" value-name:"FILE" description:"log of siskin-edge, or of a day of the users' bench with --log all"`
}

// Execute prints the prediction error of the cost model by class.
func (c *costsCommand) Execute([]string) error {
	f, err := os.Open(c.Log)
	if err != nil {
		return eris.Wrap(err, "open log file")
	}
	defer f.Close()
	samples, err := costs.ReadSamples(f)
	if err != nil {
		return err
	}
	return costs.WriteTable(os.Stdout, samples)
}
