// Command siskin-load is the load and experiment tool.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Bench  benchCommand  `command:"bench" description:"drive the decision code in virtual time and check the targets"`
	Run    runCommand    `command:"run" description:"send an open-loop load to gateways and check every answer"`
	Faults faultsCommand `command:"faults" description:"start everything on loopback, inject faults by a seeded schedule and check the targets"`
	Demo   demoCommand   `command:"demo" description:"start everything on loopback, send a load and take a zone out and back"`
}

func main() {
	parser := flags.NewParser(&options{}, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
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
