// Package daemon is the command line that the long-running programs share:
// --config, --check and --sample.
package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of a daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Config describes one program with settings of type T.
type Config[T any] struct {
	Name string
	// Summary is one line, Description the text of the manual page.
	Summary     string
	Description string
	// DefaultConfigFile is read if --config is not given.
	DefaultConfigFile string
	Sample            func() string
	Load              func(path string) (T, error)
	// Check looks further than Load, for example at files that settings name.
	Check func(T) error
	Run   func(T) error
	// RunWithReload is run in place of Run by a program that reads its settings again.
	RunWithReload func(settings T, reload func() (T, error)) error
}

// options are the flags of the command line.
type options struct {
	Config string `long:"config" value-name:"FILE" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings and the files they name, then exit"`
	Sample bool   `long:"sample" description:"print a commented settings file and exit"`
}

// Parser returns the option parser, from which the manual page is made.
func (c Config[T]) Parser() *flags.Parser { return c.parser(&options{}) }

func (c Config[T]) parser(o *options) *flags.Parser {
	p := flags.NewNamedParser(c.Name, flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription, p.LongDescription = c.Summary, c.Description
	if _, err := p.AddGroup("Options", "", o); err != nil {
		panic(err)
	}
	p.FindOptionByLongName("config").Default = []string{c.DefaultConfigFile}
	return p
}

// Main runs the program and exits.
func (c Config[T]) Main() { os.Exit(c.Execute(os.Args[1:], os.Stdout, os.Stderr)) }

// Execute runs one command line and returns the exit code: 0 after success, 1
// after a failure, 2 for a command line that is not valid.
func (c Config[T]) Execute(args []string, out, errs io.Writer) int {
	var o options
	if _, err := c.parser(&o).ParseArgs(args); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Fprintln(out, usage.Message)
			return exitOK
		}
		fmt.Fprintf(errs, "%s: %v\n", c.Name, err)
		return exitUsage
	}
	if err := c.start(o, out); err != nil {
		fmt.Fprintf(errs, "%s: %v\n", c.Name, err)
		return exitFailed
	}
	return exitOK
}

func (c Config[T]) start(o options, out io.Writer) error {
	if o.Sample {
		fmt.Fprint(out, c.Sample())
		return nil
	}
	s, err := c.Load(o.Config)
	if err != nil {
		return err
	}
	if o.Check {
		return c.Check(s)
	}
	if c.RunWithReload != nil {
		return c.RunWithReload(s, func() (T, error) { return c.Load(o.Config) })
	}
	return c.Run(s)
}
