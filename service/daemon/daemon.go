// Package daemon implements the command line of the long-running programs: --config,
// --check, --sample and --version.
package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"siskinstand.example/service/buildinfo"
)

// Exit codes of a daemon.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Program is the command line of a program with settings of type T.
type Program[T any] struct {
	Name string
	// Summary is a one-line summary. Description is the text of the manual page.
	Summary     string
	Description string
	// DefaultConfigFile is the settings file unless --config is given.
	DefaultConfigFile string
	// Sample returns the settings file that --sample prints.
	Sample func() string
	Load   func(path string) (T, error)
	// Check performs further checks for --check, for example of the files that the
	// settings refer to.
	Check func(T) error
	Run   func(T) error
	// RunWithReload, if set, is called instead of Run. It is for programs that reload
	// their settings while they run.
	RunWithReload func(settings T, reload func() (T, error)) error
}

// options are the command-line flags.
type options struct {
	Config string `long:"config" value-name:"FILE" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings and the files they name, then exit"`
	Sample bool   `long:"sample" description:"print a commented settings file and exit"`
}

// Parser returns the option parser, from which the manual page is generated.
func (p Program[T]) Parser() *flags.Parser { return p.parser(&options{}) }

func (p Program[T]) parser(o *options) *flags.Parser {
	parser := flags.NewNamedParser(p.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription, parser.LongDescription = p.Summary, p.Description
	if _, err := parser.AddGroup("Options", "", o); err != nil {
		panic(err)
	}
	if _, err := parser.AddGroup("Program", "", buildinfo.NewOptions(p.Name)); err != nil {
		panic(err)
	}
	parser.FindOptionByLongName("config").Default = []string{p.DefaultConfigFile}
	return parser
}

// Main executes the command line of the process and exits.
func (p Program[T]) Main() { os.Exit(p.Execute(os.Args[1:], os.Stdout, os.Stderr)) }

// Execute executes a command line and returns the exit code: 0 after success, 1
// after a failure, 2 for an invalid command line.
func (p Program[T]) Execute(args []string, out, errOut io.Writer) int {
	var o options
	if _, err := p.parser(&o).ParseArgs(args); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Fprintln(out, usage.Message)
			return exitOK
		}
		fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return exitUsage
	}
	if err := p.runCommand(o, out); err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return exitFailed
	}
	return exitOK
}

func (p Program[T]) runCommand(o options, out io.Writer) error {
	if o.Sample {
		fmt.Fprint(out, p.Sample())
		return nil
	}
	s, err := p.Load(o.Config)
	if err != nil {
		return err
	}
	if o.Check {
		return p.Check(s)
	}
	if p.RunWithReload != nil {
		return p.RunWithReload(s, func() (T, error) { return p.Load(o.Config) })
	}
	return p.Run(s)
}
