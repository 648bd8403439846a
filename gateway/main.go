// Command siskin-gateway is the daemon on entry hosts between callers and
// sidecars.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"siskinstand.example/gateway/config"
)

// options are the flags of the command line.
type options struct {
	Config string `long:"config" value-name:"FILE" default:"/etc/siskinstand/gateway.ini" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings and the tables they name, then exit"`
	Sample bool   `long:"sample" description:"print a commented settings file and exit"`
}

func newParser(o *options) *flags.Parser {
	p := flags.NewNamedParser("siskin-gateway", flags.Default)
	p.ShortDescription = "daemon between callers and sidecars"
	p.LongDescription = "Serves callers over HTTP and passes their requests to the sidecars of endpoints. SIGTERM and SIGINT end it after its requests; a second one ends it at once."
	if _, err := p.AddGroup("Options", "", o); err != nil {
		panic(err)
	}
	return p
}

func main() {
	var o options
	if _, err := newParser(&o).Parse(); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "siskin-gateway:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.Sample {
		fmt.Print(config.Sample())
		return nil
	}
	s, err := config.Load(o.Config)
	if err != nil {
		return err
	}
	if o.Check {
		return check(s)
	}
	return serve(s)
}
