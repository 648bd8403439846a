// Command siskin-load generates load, runs the demo and runs experiments.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"siskinstand.example/service/buildinfo"
)

type options struct {
	Bench    benchCommand    `command:"bench" description:"drive the decision code in virtual time and check the targets"`
	Run      runCommand      `command:"run" description:"send an open-loop load to gateways and check every answer"`
	Demo     demoCommand     `command:"demo" description:"start everything on loopback, send a load and take a zone out and back"`
	Faults   faultsCommand   `command:"faults" description:"start everything on loopback, inject faults by a seeded schedule and check the targets"`
	Compare  compareCommand  `command:"compare" description:"play the same days of the users' bench with two builds and tell a difference from noise"`
	Costs    costsCommand    `command:"costs" description:"compare the times that siskin-edge predicts with those that its log shows"`
	Capacity capacityCommand `command:"capacity" description:"measure the cost of each role and project it to the design size"`
}

func newParser() *flags.Parser {
	p := flags.NewNamedParser("siskin-load", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "load and experiment tool"
	p.LongDescription = "Sends loads, runs the demo and measures the decision code."
	if _, err := p.AddGroup("Options", "", &options{}); err != nil {
		panic(err)
	}
	if _, err := p.AddGroup("Program", "", buildinfo.NewOptions(p.Name)); err != nil {
		panic(err)
	}
	return p
}

func main() {
	_, err := newParser().Parse()
	if err == nil {
		return
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Println(err)
		return
	}
	fmt.Fprintln(os.Stderr, "siskin-load:", err)
	os.Exit(1)
}
