// Command siskin-sidecar admits work to the endpoint on its host.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"siskinstand.example/service/logging"
	"siskinstand.example/sidecar/config"
)

type options struct {
	Config string `long:"config" value-name:"FILE" default:"sidecar.ini" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings file and exit"`
	Sample bool   `long:"sample" description:"print a commented settings file and exit"`
}

func newParser(o *options) *flags.Parser {
	p := flags.NewNamedParser("siskin-sidecar", flags.Default)
	p.ShortDescription = "process that admits work to the endpoint on its host"
	p.LongDescription = "Queues the offers of gateways and passes them to the engine or plain service beside it. SIGTERM and SIGINT end it after its streams; a second one ends it at once."
	if _, err := p.AddGroup("Options", "", o); err != nil {
		panic(err)
	}
	return p
}

func main() {
	var o options
	if _, err := newParser(&o).Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := start(o); err != nil {
		fmt.Fprintln(os.Stderr, "siskin-sidecar:", err)
		os.Exit(1)
	}
}

func start(o options) error {
	if o.Sample {
		fmt.Print(config.Sample())
		return nil
	}
	s, err := config.Load(o.Config)
	if err != nil || o.Check {
		return err
	}
	if err := logging.Setup(s.Logging); err != nil {
		return err
	}
	return run(s)
}
