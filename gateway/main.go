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

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
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
